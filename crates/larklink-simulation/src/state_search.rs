//! Every interleaving of a model up to a depth, breadth first, so that what breaks it comes with a shortest way there.
use std::collections::HashSet;
use std::fmt::Debug;

use xxhash_rust::xxh3::xxh3_128;

/// A model that goes from state to state by moves.
pub trait StateModel: Clone {
    type Step: Clone + Debug;
    /// The moves that are open.
    fn steps(&self) -> Vec<Self::Step>;
    fn apply(&mut self, to: &Self::Step);
    /// What must not be, if it is so here.
    fn violation(&self) -> Option<String>;
    /// Tells states apart: alike for two that go on alike.
    fn state_key(&self) -> String;
}

/// What was found.
#[derive(Debug)]
pub struct SearchResult<M> {
    pub states: usize,
    /// What broke and the moves that led there.
    pub violation: Option<(String, Vec<M>)>,
}

/// Goes from a state by every move, and on, so many moves deep.
pub fn search<T: StateModel>(start: T, depth: usize) -> SearchResult<T::Step> {
    let mut seen = HashSet::from([xxh3_128(start.state_key().as_bytes())]);
    // Each state's move and the place of the state before it, for the way back.
    let mut ways: Vec<(Option<T::Step>, usize)> = vec![(None, 0)];
    let mut edge = vec![(start, 0)];
    for _ in 0..depth {
        let mut next = Vec::new();
        for (state, at) in edge {
            for to in state.steps() {
                let mut then = state.clone();
                then.apply(&to);
                if !seen.insert(xxh3_128(then.state_key().as_bytes())) {
                    continue;
                }
                ways.push((Some(to), at));
                let here = ways.len() - 1;
                if let Some(what) = then.violation() {
                    return SearchResult { states: seen.len(), violation: Some((what, way(&ways, here))) };
                }
                next.push((then, here));
            }
        }
        edge = next;
    }
    SearchResult { states: seen.len(), violation: None }
}

fn way<M: Clone>(ways: &[(Option<M>, usize)], mut at: usize) -> Vec<M> {
    let mut moves = Vec::new();
    while let (Some(to), before) = &ways[at] {
        moves.push(to.clone());
        at = *before;
    }
    moves.reverse();
    moves
}
