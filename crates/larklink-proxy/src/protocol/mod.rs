//! The line protocol between clients, proxies and endpoints: zero-copy parsing of lines, and the bounded buffer that
//! they are read into. Does no I/O.
mod line_buffer;
mod open_line;
mod server_message;

pub use line_buffer::{LineBuffer, MAX_LINE_LENGTH};
pub use open_line::{OpenLine, OpenLineError, parse_hex, parse_open_line, with_dial_timeout};
pub use server_message::{ServerMessage, parse_load_report, parse_server_message};
