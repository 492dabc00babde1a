//! The messages that two processes of one proxy exchange over a Unix socket: one JSON object a line. The names on the
//! wire are mapped here, by `rename`.
use std::io::{Error, ErrorKind};

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::endpoint_list::Endpoint;

/// The version of the messages. Processes of different versions share the listen address, but hand nothing over.
pub const VERSION: u32 = 1;

/// A message from one process to the other.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HandoverMessage {
    /// The predecessor's first message; the descriptor of its listening socket is attached.
    Offer {
        /// The version that the predecessor speaks.
        version: u32,
        /// Its endpoint list.
        #[serde(rename = "list")]
        endpoints: Vec<Endpoint>,
    },
    /// The successor is ready to accept connections.
    #[serde(rename = "take")]
    TakeOver,
    /// From now on only the successor accepts connections.
    #[serde(rename = "yours")]
    Granted {
        /// How many descriptors the predecessor still holds.
        #[serde(rename = "held")]
        descriptors_in_use: usize,
    },
    /// Another process has taken over already.
    #[serde(rename = "taken")]
    AlreadyTaken,
    /// The number of descriptors that the predecessor holds has changed.
    #[serde(rename = "held")]
    DescriptorsInUse {
        /// How many it holds now.
        #[serde(rename = "held")]
        descriptors_in_use: usize,
    },
    /// The predecessor was asked to stop.
    #[serde(rename = "stops")]
    Stopping,
    /// An established session; the descriptors of the client's connection and the endpoint's are attached.
    Session(EstablishedSession),
}

/// What a process needs to continue an established session.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EstablishedSession {
    /// Its first line, with the CRLF.
    #[serde(rename = "head")]
    pub open_line: String,
    /// The id of its endpoint.
    #[serde(rename = "server")]
    pub endpoint: u32,
    /// Bytes read from the client and not yet forwarded.
    pub to_server: Vec<u8>,
    /// Bytes read from the endpoint and not yet forwarded.
    pub to_client: Vec<u8>,
    /// Messages sent to the endpoint that are not answered yet.
    #[serde(rename = "unanswered")]
    pub unanswered_messages: usize,
    /// The session's load as the endpoint last reported it.
    pub load: Option<f64>,
}

/// A message that breaks the handover protocol.
#[derive(Debug, Error)]
pub enum ProtocolError {
    /// The predecessor speaks another version than [`VERSION`].
    #[error("an offer of version {0}")]
    UnsupportedVersion(u32),
    /// A line that is no message.
    #[error(transparent)]
    Malformed(#[from] serde_json::Error),
    /// A line longer than any message.
    #[error("message longer than {limit} bytes")]
    TooLong {
        /// The longest line accepted, in bytes.
        limit: usize,
    },
    /// A message that is not expected at this point.
    #[error("unexpected message {0:?}")]
    Unexpected(HandoverMessage),
    /// Fewer descriptors were attached than the message needs.
    #[error("no descriptor attached")]
    MissingDescriptor,
    /// More descriptors were attached than the messages can need.
    #[error("descriptors without messages")]
    TooManyDescriptors,
}

impl From<ProtocolError> for Error {
    fn from(error: ProtocolError) -> Self {
        Self::new(ErrorKind::InvalidData, error)
    }
}

/// Reads a message from its line.
///
/// # Errors
/// It is no message, or an offer of another version; of kind [`ErrorKind::InvalidData`].
pub fn parse_message(line: &[u8]) -> std::io::Result<HandoverMessage> {
    match serde_json::from_slice(line).map_err(ProtocolError::from)? {
        HandoverMessage::Offer { version, .. } if version != VERSION => {
            Err(ProtocolError::UnsupportedVersion(version).into())
        }
        message => Ok(message),
    }
}
