//! What can be wrong with the input.
use std::io;

use thiserror::Error;

/// A frame's bytes do not hold what they should.
#[derive(Debug, Error)]
pub enum MalformedFrame {
    /// The input ends within a header.
    #[error("the header has {present} of {needed} bytes")]
    HeaderTooShort {
        /// The bytes that are there.
        present: usize,
        /// The bytes of a header.
        needed: usize,
    },
    /// The input ends within a frame.
    #[error("the frame has {present} of {needed} bytes")]
    FrameTooShort {
        /// The bytes that are there.
        present: usize,
        /// The bytes that the header states.
        needed: usize,
    },
    /// There are more records than the frame has room for.
    #[error("{records} records do not fit into {length} bytes")]
    TooManyRecords {
        /// The records that the header states.
        records: usize,
        /// The bytes that it states.
        length: usize,
    },
    /// A record names items that are not in the tail.
    #[error("{items} items at {offset} lie outside the tail")]
    OutsideTail {
        /// How many items.
        items: usize,
        /// The offset of the first in the tail.
        offset: usize,
    },
    /// A settings object cannot be read.
    #[error("settings: {0}")]
    Settings(#[from] SettingsReadError),
    /// There is no event with that code.
    #[error("no event has code {0}")]
    UnknownEvent(u16),
    /// A session is of a listener that the settings do not have.
    #[error("no class {0} in the settings")]
    UnknownListener(u8),
}

/// Why a settings object cannot be read, as a text with the path of its field.
#[derive(Debug, Error)]
#[error("{0}")]
pub struct SettingsReadError(pub String);

/// Why no further batch can be read.
#[derive(Debug, Error)]
pub enum ReadError {
    /// The input cannot be read, or the output cannot be written.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The input is malformed.
    #[error("malformed input: {0}")]
    Malformed(#[from] MalformedFrame),
}
