//! The messages that two processes of one proxy exchange over a Unix socket, one JSON value per line. `rename`
//! attributes map the names on the wire.
use std::io::{Error, ErrorKind};

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::endpoint_list::Endpoint;

/// The protocol version. Processes of different versions can share the listen address, but hand nothing over.
pub const VERSION: u32 = 1;

/// A message between the two processes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HandoverMessage {
    /// The predecessor's first message; the descriptor of its listening socket is attached.
    Offer {
        /// The predecessor's protocol version.
        version: u32,
        /// The predecessor's endpoint list.
        #[serde(rename = "list")]
        endpoints: Vec<Endpoint>,
        /// Whether the predecessor exchanges [`HandoverMessage::SessionIds`]. An older one does not know them.
        #[serde(rename = "ids", default, skip_serializing_if = "std::ops::Not::not")]
        exchanges_session_ids: bool,
    },
    /// The successor is ready to accept connections.
    #[serde(rename = "take")]
    TakeOver,
    /// The takeover is granted: from now on only the successor accepts connections.
    #[serde(rename = "yours")]
    Granted {
        /// How many file descriptors the predecessor has in use or reserved.
        #[serde(rename = "held")]
        descriptors_in_use: usize,
    },
    /// The takeover is denied: another process has already taken over.
    #[serde(rename = "taken")]
    AlreadyTaken,
    /// The number of file descriptors that the predecessor has in use or reserved has changed.
    #[serde(rename = "held")]
    DescriptorsInUse {
        /// How many it has in use or reserved now.
        #[serde(rename = "held")]
        descriptors_in_use: usize,
    },
    /// Changes of the ids that sessions must not use, by the sender's open and ended sessions. The successor sends them, if its predecessor exchanges
    /// them, from before its takeover request on; the predecessor answers with all of its own before it grants the
    /// takeover.
    #[serde(rename = "ids")]
    SessionIds(SessionIdChanges),
    /// The predecessor was asked to stop.
    #[serde(rename = "stops")]
    Stopping,
    /// An established session; the descriptors of the client's connection and the endpoint's are attached.
    Session(EstablishedSession),
}

/// The id of an open session.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OpenId {
    /// The session id, chosen by the client.
    pub id: u64,
    /// The key of the client, 0 if unknown.
    #[serde(rename = "key")]
    pub client_key: u64,
}

/// Sessions that were opened, ids that endpoints may have run, and then sessions that were closed. An id that two sessions
/// use is opened and closed twice.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SessionIdChanges {
    /// The opened sessions.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub opened: Vec<OpenId>,
    /// The ids of the closed sessions.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub closed: Vec<u64>,
    /// The ids of sessions that endpoints may have run: no new session may use them. An older process ignores them.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub used: Vec<u64>,
}

/// What a process needs to continue an established session.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EstablishedSession {
    /// The session's first line, with the CRLF.
    #[serde(rename = "head")]
    pub open_line: String,
    /// The id of its endpoint.
    #[serde(rename = "server")]
    pub endpoint: u32,
    /// Bytes read from the client and not yet forwarded.
    pub to_server: Vec<u8>,
    /// Bytes read from the endpoint and not yet forwarded.
    pub to_client: Vec<u8>,
    /// How many unanswered messages the predecessor has recorded. It records a limited number, so there may be more.
    #[serde(rename = "unanswered")]
    pub unanswered_messages: usize,
    /// The session's load as the endpoint last reported it.
    pub load: Option<f64>,
}

/// A violation of the handover protocol.
#[derive(Debug, Error)]
pub enum ProtocolError {
    /// The predecessor's protocol version is not [`VERSION`].
    #[error("unsupported protocol version {0}")]
    UnsupportedVersion(u32),
    /// The line is not a valid message.
    #[error(transparent)]
    Malformed(#[from] serde_json::Error),
    /// The line is longer than any valid message.
    #[error("message longer than {limit} bytes")]
    TooLong {
        /// The longest line accepted, in bytes.
        limit: usize,
    },
    /// The message is not expected at this point.
    #[error("unexpected message {0:?}")]
    Unexpected(HandoverMessage),
    /// Fewer descriptors were attached than the message requires.
    #[error("descriptor missing from message")]
    MissingDescriptor,
    /// More new processes have connected since than are served at once.
    #[error("evicted by new processes that connected later")]
    TooManyProcesses,
    /// More descriptors were received than the messages can require.
    #[error("too many descriptors attached")]
    TooManyDescriptors,
}

impl From<ProtocolError> for Error {
    fn from(error: ProtocolError) -> Self {
        Self::new(ErrorKind::InvalidData, error)
    }
}

/// Parses a line as a message.
///
/// # Errors
/// [`ErrorKind::InvalidData`] if it is not a valid message, or an offer of another version.
pub fn parse_message(line: &[u8]) -> std::io::Result<HandoverMessage> {
    match serde_json::from_slice(line).map_err(ProtocolError::from)? {
        HandoverMessage::Offer { version, .. } if version != VERSION => {
            Err(ProtocolError::UnsupportedVersion(version).into())
        }
        message => Ok(message),
    }
}
