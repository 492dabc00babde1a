//! What is wrong with a scenario, with its lines.
use std::fmt;
use std::ops::Range;

use thiserror::Error;

/// All that is wrong with a scenario; of its form only what comes first.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub struct ScenarioError {
    /// The problems, at least one.
    pub problems: Vec<ScenarioProblem>,
}

impl fmt::Display for ScenarioError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        for (index, problem) in self.problems.iter().enumerate() {
            let separator = if index == 0 { "" } else { "\n" };
            write!(f, "{separator}{problem}")?;
        }
        Ok(())
    }
}

/// Something wrong in a scenario, at a line of its file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ScenarioProblem {
    /// The line, from 1.
    pub line: usize,
    /// The key, with the name of its table; empty if there is none.
    pub key: String,
    /// What is wrong.
    pub reason: String,
}

impl ScenarioProblem {
    /// A problem at a byte of the text. Without a key it is the one that stands in that line.
    pub(super) fn at(text: &str, position: usize, key: &str, reason: &str) -> Self {
        let before = text.get(..position).unwrap_or(text);
        let line = before.matches('\n').count() + 1;
        let key = match key {
            "" => {
                text.lines().nth(line - 1).and_then(|l| l.split_once('=')).map_or("", |(key, _)| key.trim())
            }
            key => key,
        };
        Self { line, key: key.to_owned(), reason: reason.to_owned() }
    }

    /// A problem with a key, in the table that begins within a part of the text.
    pub(super) fn at_key(text: &str, within: &Range<usize>, key: &str, reason: &str) -> Self {
        Self::at(text, key_position(text, within, key), key, reason)
    }
}

impl fmt::Display for ScenarioProblem {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self.key.as_str() {
            "" => write!(f, "{}: {}", self.line, self.reason),
            key => write!(f, "{}: {key}: {}", self.line, self.reason),
        }
    }
}

/// Where a key stands in the table that begins within a part of the text, or in the table that it names before a dot;
/// where the table begins if the key is not there.
fn key_position(text: &str, within: &Range<usize>, key: &str) -> usize {
    let (table, key) = key.split_once('.').unwrap_or(("", key));
    let mut position = within.start;
    let mut table_start = position;
    let mut inside = table.is_empty();
    for line in text.get(position..).unwrap_or("").split_inclusive('\n') {
        let head = line.trim();
        if head.starts_with('[') && !table.is_empty() {
            inside = head.trim_matches(['[', ']']) == table;
            if inside {
                table_start = position;
            }
        } else if head.starts_with('[') && position > within.start && within.end < text.len() {
            break;
        }
        if inside && head.split(['=', ' ']).next() == Some(key) {
            return position;
        }
        position += line.len();
    }
    table_start
}
