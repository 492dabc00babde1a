//! Errors of reading and decoding the simulator's input.
use std::io;

use thiserror::Error;

/// Invalid content of a frame.
#[derive(Debug, Error)]
pub enum MalformedFrame {
    /// The input ends within a header.
    #[error("the header has {present} of {needed} bytes")]
    HeaderTooShort {
        /// The number of bytes read.
        present: usize,
        /// The size of a header.
        needed: usize,
    },
    /// The input ends within a frame.
    #[error("the frame has {present} of {needed} bytes")]
    FrameTooShort {
        /// The number of bytes read.
        present: usize,
        /// The length that the header states.
        needed: usize,
    },
    /// The record count in the header exceeds the length of the frame.
    #[error("{records} records do not fit in {length} bytes")]
    TooManyRecords {
        /// The record count that the header states.
        records: usize,
        /// The length that the header states.
        length: usize,
    },
    /// A record refers to items outside the tail of the frame.
    #[error("{items} items at offset {offset} are outside the tail")]
    OutsideTail {
        /// The number of items.
        items: usize,
        /// The offset of the first item in the tail.
        offset: usize,
    },
    /// The settings object of a proxy is invalid.
    #[error("settings: {0}")]
    Settings(#[from] SettingsReadError),
    /// An event has an unknown code.
    #[error("unknown event code {0}")]
    UnknownEvent(u16),
    /// A session refers to a listener that is not in the settings.
    #[error("listener {0} is not in the settings")]
    UnknownListener(u8),
}

/// Why a settings object could not be parsed. The message contains the path of the invalid field.
#[derive(Debug, Error)]
#[error("{0}")]
pub struct SettingsReadError(pub String);

/// An error that ends the adapter.
#[derive(Debug, Error)]
pub enum ReadError {
    /// Reading the input or writing the output failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The input is malformed.
    #[error("malformed input: {0}")]
    Malformed(#[from] MalformedFrame),
}
