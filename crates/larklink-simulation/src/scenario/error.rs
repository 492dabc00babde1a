//! Errors of a scenario file, with line numbers.
use std::fmt;
use std::ops::Range;

use thiserror::Error;

/// The first syntax or type error of a scenario file, or otherwise all validation problems.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub struct ScenarioError {
    /// Never empty.
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

/// One problem in a scenario file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ScenarioProblem {
    /// The line number, from 1.
    pub line: usize,
    /// The key, prefixed with its table's name if it is in a top-level table; empty if the problem has no key.
    pub key: String,
    /// Why the value is rejected.
    pub reason: String,
}

impl ScenarioProblem {
    /// Creates a problem at a byte offset. If `key` is empty, the key is taken from the line at that offset.
    pub(super) fn at(text: &str, offset: usize, key: &str, reason: &str) -> Self {
        let before = text.get(..offset).unwrap_or(text);
        let line = before.matches('\n').count() + 1;
        let key = match key {
            "" => {
                text.lines().nth(line - 1).and_then(|l| l.split_once('=')).map_or("", |(key, _)| key.trim())
            }
            key => key,
        };
        Self { line, key: key.to_owned(), reason: reason.to_owned() }
    }

    /// Creates a problem at `key`, searched from the start of `span`.
    pub(super) fn at_key(text: &str, span: &Range<usize>, key: &str, reason: &str) -> Self {
        Self::at(text, key_offset(text, span, key), key, reason)
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

/// Returns the byte offset of `key` in the table at `span`, or in the named table for a key of the form `table.key`. If
/// the key is missing, returns the start of the table.
fn key_offset(text: &str, span: &Range<usize>, key: &str) -> usize {
    let (table, key) = key.split_once('.').unwrap_or(("", key));
    let mut offset = span.start;
    let mut table_start = offset;
    let mut in_table = table.is_empty();
    for line in text.get(offset..).unwrap_or("").split_inclusive('\n') {
        let trimmed = line.trim();
        if trimmed.starts_with('[') && !table.is_empty() {
            in_table = trimmed.trim_matches(['[', ']']) == table;
            if in_table {
                table_start = offset;
            }
        } else if trimmed.starts_with('[') && offset > span.start && span.end < text.len() {
            break;
        }
        if in_table && trimmed.split(['=', ' ']).next() == Some(key) {
            return offset;
        }
        offset += line.len();
    }
    table_start
}
