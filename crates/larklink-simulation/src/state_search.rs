//! Breadth-first search over the states of a model, up to a depth: a violation comes with a shortest way to it.
use std::collections::HashSet;
use std::fmt::Debug;

use xxhash_rust::xxh3::xxh3_128;

/// A model that goes from state to state by steps.
pub trait StateModel: Clone {
    /// A step from one state to the next.
    type Step: Clone + Debug;

    /// The steps that are possible in this state.
    fn steps(&self) -> Vec<Self::Step>;

    /// Takes a step.
    fn apply(&mut self, step: &Self::Step);

    /// What is violated in this state, if anything is.
    fn violation(&self) -> Option<String>;

    /// Tells states apart: the same for two states from which all goes on alike.
    fn state_key(&self) -> String;
}

/// A violation and the steps that lead to it.
#[derive(Debug)]
pub struct Counterexample<S> {
    /// What is violated.
    pub violation: String,
    /// The steps from the start.
    pub path: Vec<S>,
}

/// The result of a search.
#[derive(Debug)]
pub struct SearchResult<S> {
    /// How many different states were reached.
    pub states: usize,
    /// The first violation that was found.
    pub counterexample: Option<Counterexample<S>>,
}

/// How a state was first reached.
struct Visit<S> {
    /// The step to it; none for the start.
    step: Option<S>,
    /// The index of the visit before it.
    previous: usize,
}

/// Searches all states that are reached by up to `depth` steps.
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
