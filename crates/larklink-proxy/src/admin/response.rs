//! The responses of the admin endpoint, computed from the received bytes and the metrics.
use httparse::Status;

use crate::metrics::Metrics;

const MAX_HEAD_BYTES: usize = 8 << 10;
const MAX_HEADERS: usize = 64;

/// Returns the response to a request of which `bytes` have been received, or none while its head is incomplete.
pub fn respond(bytes: &[u8], metrics: &Metrics) -> Option<String> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    match request.parse(bytes) {
        Ok(Status::Complete(_)) => Some(route(&request, metrics)),
        Ok(Status::Partial) if bytes.len() < MAX_HEAD_BYTES => None,
        Ok(Status::Partial) | Err(httparse::Error::TooManyHeaders) => {
            Some(response("431 Request Header Fields Too Large", "", "the head is too long\n"))
        }
        Err(error) => Some(response("400 Bad Request", "", &format!("{error}\n"))),
    }
}

fn route(request: &httparse::Request<'_, '_>, metrics: &Metrics) -> String {
    let target = request.path.unwrap_or("");
    let path = target.split_once('?').map_or(target, |(path, _query)| path);
    match (request.method, path) {
        (Some("GET"), "/ready") if metrics.is_ready() => response("200 OK", "", "ready\n"),
        (Some("GET"), "/ready") => response("503 Service Unavailable", "", "not ready\n"),
        (Some("GET"), "/metrics") => response("200 OK", "", &metrics.text()),
        (_, "/ready" | "/metrics") => response("405 Method Not Allowed", "Allow: GET\r\n", "only GET\n"),
        _ => response("404 Not Found", "", "there are /ready and /metrics\n"),
    }
}

/// Builds a response. `header` is an additional header line including its CRLF, or empty.
fn response(status: &str, header: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "HTTP/1.1 {status}\r\nContent-Type: text/plain; charset=utf-8\r\nContent-Length: {length}\r\n\
         Connection: close\r\n{header}\r\n{body}"
    )
}
