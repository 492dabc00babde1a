//! The lines that endpoints send.

/// A line from an endpoint. Except for `LOAD`, this leaves out what follows the first word.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ServerMessage<'a> {
    /// `UP`: the session is accepted.
    Up,
    /// `BYE`: the session is complete.
    Bye,
    /// `MOVE`: the client is to reconnect.
    Move,
    /// `ERR`: the session failed.
    Err,
    /// `BUSY`: the session is rejected.
    Busy,
    /// `PONG`: the answer to a health check.
    Pong,
    /// `LOAD`: the new load of the session.
    Load(f64),
    /// Any other line, without its CRLF.
    Other(&'a str),
}

/// Parses a line with or without its CRLF. Returns the message and the text after its first word.
pub fn parse_server_message(line: &[u8]) -> (ServerMessage<'_>, &str) {
    let text = std::str::from_utf8(line).unwrap_or("").trim_end_matches("\r\n");
    let (word, rest) = text.split_once(' ').unwrap_or((text, ""));
    let message = match word {
        "UP" => ServerMessage::Up,
        "BYE" => ServerMessage::Bye,
        "MOVE" => ServerMessage::Move,
        "ERR" => ServerMessage::Err,
        "BUSY" => ServerMessage::Busy,
        "PONG" => ServerMessage::Pong,
        "LOAD" => parse_load(rest).map_or(ServerMessage::Other(text), ServerMessage::Load),
        _ => ServerMessage::Other(text),
    };
    (message, rest)
}

fn parse_load(text: &str) -> Option<f64> {
    text.parse().ok().filter(|load: &f64| load.is_finite() && *load >= 0.0)
}

/// Parses a load report such as `inflight=7,x0=0.61`. Returns the values in the order of `names`, or an empty list if
/// one of them is missing or invalid.
pub fn parse_load_report(text: &str, names: &[String]) -> Vec<f64> {
    let values: Option<Vec<f64>> = names.iter().map(|name| report_value(text, name)).collect();
    values.unwrap_or_default()
}

fn report_value(text: &str, name: &str) -> Option<f64> {
    let mut values = text.split(',').filter_map(|pair| pair.split_once('='));
    let (_, value) = values.find(|(found, _)| *found == name)?;
    value.parse().ok().filter(|value: &f64| value.is_finite())
}
