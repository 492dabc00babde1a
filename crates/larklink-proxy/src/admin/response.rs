//! The responses of the admin endpoint.
use crate::metrics::Metrics;

/// Bytes that a request's head may have.
const MAX_HEAD_BYTES: usize = 8 << 10;
/// Headers that a request may have.
const MAX_HEADERS: usize = 64;

/// The answer to a call of which so much has come; nothing while its head is not whole. Pure but for the figures.
pub fn respond(bytes: &[u8], figures: &Metrics) -> Option<String> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Request::new(&mut headers);
    match head.parse(bytes) {
        Ok(httparse::Status::Complete(_)) => {}
        Ok(httparse::Status::Partial) if bytes.len() < MAX_HEAD_BYTES => return None,
        Ok(httparse::Status::Partial) | Err(httparse::Error::TooManyHeaders) => {
            return Some(reply("431 Request Header Fields Too Large", "", "the head is too long\n"));
        }
        Err(e) => return Some(reply("400 Bad Request", "", &format!("{e}\n"))),
    }
    let path = head.path.unwrap_or("");
    let path = path.split_once('?').map_or(path, |(path, _)| path);
    Some(match (head.method, path) {
        (Some("GET"), "/ready") if figures.is_ready() => reply("200 OK", "", "ready\n"),
        (Some("GET"), "/ready") => reply("503 Service Unavailable", "", "not ready\n"),
        (Some("GET"), "/metrics") => reply("200 OK", "", &figures.text()),
        (_, "/ready" | "/metrics") => reply("405 Method Not Allowed", "Allow: GET\r\n", "only GET\n"),
        _ => reply("404 Not Found", "", "there are /ready and /metrics\n"),
    })
}

fn reply(status: &str, header: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "HTTP/1.1 {status}\r\nContent-Type: text/plain; charset=utf-8\r\nContent-Length: {length}\r\n\
         Connection: close\r\n{header}\r\n{body}"
    )
}
