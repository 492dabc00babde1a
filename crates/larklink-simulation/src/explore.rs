//! Every interleaving of a model up to a depth, breadth first, so that what breaks it comes with a shortest way there.
use std::collections::HashSet;
use std::fmt::Debug;

use xxhash_rust::xxh3::xxh3_128;

/// A model that goes from state to state by moves.
pub trait Model: Clone {
    type Move: Clone + Debug;
    /// The moves that are open.
    fn moves(&self) -> Vec<Self::Move>;
    fn go(&mut self, to: &Self::Move);
    /// What must not be, if it is so here.
    fn broken(&self) -> Option<String>;
    /// Tells states apart: alike for two that go on alike.
    fn key(&self) -> String;
}

/// What was found.
#[derive(Debug)]
pub struct Explored<M> {
    pub states: usize,
    /// What broke and the moves that led there.
    pub broken: Option<(String, Vec<M>)>,
}

/// Goes from a state by every move, and on, so many moves deep.
pub fn explore<T: Model>(start: T, depth: usize) -> Explored<T::Move> {
    let mut seen = HashSet::from([xxh3_128(start.key().as_bytes())]);
    // Each state's move and the place of the state before it, for the way back.
    let mut ways: Vec<(Option<T::Move>, usize)> = vec![(None, 0)];
    let mut edge = vec![(start, 0)];
    for _ in 0..depth {
        let mut next = Vec::new();
        for (state, at) in edge {
            for to in state.moves() {
                let mut then = state.clone();
                then.go(&to);
                if !seen.insert(xxh3_128(then.key().as_bytes())) {
                    continue;
                }
                ways.push((Some(to), at));
                let here = ways.len() - 1;
                if let Some(what) = then.broken() {
                    return Explored { states: seen.len(), broken: Some((what, way(&ways, here))) };
                }
                next.push((then, here));
            }
        }
        edge = next;
    }
    Explored { states: seen.len(), broken: None }
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
