//! Breadth-first search over the states of a model, up to a maximum depth. A violation is reported with a shortest path
//! to it.
use std::collections::HashSet;
use std::fmt::Debug;

use xxhash_rust::xxh3::xxh3_128;

/// A model whose state changes by discrete steps.
pub trait StateModel: Clone {
    /// A step from one state to the next.
    type Step: Clone + Debug;

    /// The steps that are possible in this state.
    fn steps(&self) -> Vec<Self::Step>;

    /// Applies a step.
    fn apply(&mut self, step: &Self::Step);

    /// Describes the violated condition, if this state violates one.
    fn violation(&self) -> Option<String>;

    /// A key that identifies the state. Two states with the same key must have the same future behaviour.
    fn state_key(&self) -> String;
}

/// A violation with the steps that lead to it.
#[derive(Debug)]
pub struct Counterexample<S> {
    /// Describes the violated condition.
    pub violation: String,
    /// The steps from the initial state.
    pub path: Vec<S>,
}

/// The result of a search.
#[derive(Debug)]
pub struct SearchResult<S> {
    /// The number of distinct states reached.
    pub states: usize,
    /// The first violation found, if any.
    pub counterexample: Option<Counterexample<S>>,
}

/// How a state was first reached.
struct Visit<S> {
    /// The step that led to it; `None` for the initial state.
    step: Option<S>,
    /// The index of the preceding visit.
    previous: usize,
}

/// Searches all states that are reachable in up to `depth` steps, and stops at the first violation.
pub fn search<M: StateModel>(start: M, depth: usize) -> SearchResult<M::Step> {
    let mut seen = HashSet::from([xxh3_128(start.state_key().as_bytes())]);
    let mut visits: Vec<Visit<M::Step>> = vec![Visit { step: None, previous: 0 }];
    let mut frontier = vec![(start, 0)];
    for _ in 0..depth {
        let mut next_frontier = Vec::new();
        for (state, visit) in frontier {
            for step in state.steps() {
                let mut next = state.clone();
                next.apply(&step);
                if !seen.insert(xxh3_128(next.state_key().as_bytes())) {
                    continue;
                }
                visits.push(Visit { step: Some(step), previous: visit });
                let next_visit = visits.len() - 1;
                if let Some(violation) = next.violation() {
                    let counterexample = Counterexample { violation, path: path_to(&visits, next_visit) };
                    return SearchResult { states: seen.len(), counterexample: Some(counterexample) };
                }
                next_frontier.push((next, next_visit));
            }
        }
        frontier = next_frontier;
    }
    SearchResult { states: seen.len(), counterexample: None }
}

fn path_to<S: Clone>(visits: &[Visit<S>], mut visit: usize) -> Vec<S> {
    let mut path = Vec::new();
    while let Visit { step: Some(step), previous } = &visits[visit] {
        path.push(step.clone());
        visit = *previous;
    }
    path.reverse();
    path
}
