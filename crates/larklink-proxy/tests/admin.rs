//! The admin endpoint on a loopback address: its responses, also while other connections stall.
#![allow(clippy::unwrap_used, reason = "a test stops where its setup fails")]
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::Duration;

use larklink_proxy::admin::response::respond;
use larklink_proxy::admin::{self, MAX_CONNECTIONS};
use larklink_proxy::metrics::Metrics;

const WAIT_TIMEOUT: Duration = Duration::from_secs(10);

fn metrics() -> Arc<Metrics> {
    Metrics::new(&["chat".to_owned(), "pay".to_owned()])
}

fn request(endpoint: SocketAddr, text: &[u8]) -> String {
    let mut stream = TcpStream::connect(endpoint).unwrap();
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
    stream.write_all(text).unwrap();
    let mut response = String::new();
    stream.read_to_string(&mut response).unwrap();
    response
}

#[test]
fn responses_have_the_expected_status_and_their_length() {
    let endpoint = admin::start("127.0.0.1:0".parse().unwrap(), metrics()).unwrap();
    let long = format!("GET /ready HTTP/1.1\r\nx: {}", "y".repeat(9000));
    let many = format!("GET /ready HTTP/1.1\r\n{}\r\n", "x: y\r\n".repeat(80));
    for (text, status) in [
        ("GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n", "200 OK"),
        ("GET /metrics?all=1 HTTP/1.0\r\n\r\n", "200 OK"),
        ("GET /ready HTTP/1.1\r\n\r\n", "503 Service Unavailable"),
        ("GET /other HTTP/1.1\r\n\r\n", "404 Not Found"),
        ("POST /metrics HTTP/1.1\r\nContent-Length: 2\r\n\r\nhi", "405 Method Not Allowed"),
        ("OPEN 1 2 c=chat,d=5\r\n\r\n", "400 Bad Request"),
        (&long, "431 Request Header Fields Too Large"),
        (&many, "431 Request Header Fields Too Large"),
    ] {
        let response = request(endpoint, text.as_bytes());
        let (head, body) = response.split_once("\r\n\r\n").unwrap();
        assert!(head.starts_with(&format!("HTTP/1.1 {status}\r\n")), "{text:?}: {head}");
        assert!(head.contains(&format!("Content-Length: {}\r\n", body.len())), "{head}");
        assert!(head.contains("Connection: close"), "{head}");
        assert_eq!(head.contains("Allow: GET"), status.starts_with("405"), "{head}");
    }
}

#[test]
fn an_incomplete_request_gets_no_response_yet() {
    let text = b"GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n";
    (0..text.len()).for_each(|n| assert_eq!(respond(&text[..n], &metrics()), None));
    assert!(respond(text, &metrics()).unwrap().ends_with("_refusing_all_periods_total=0\n"));
}

/// More connections than are served concurrently, which send nothing or only a part of a request, do not block a
/// caller.
#[test]
fn stalled_connections_are_evicted() {
    let endpoint = admin::start("127.0.0.1:0".parse().unwrap(), metrics()).unwrap();
    let stalled: Vec<_> = (0..4 * MAX_CONNECTIONS)
        .map(|n| {
            let mut stream = TcpStream::connect(endpoint).unwrap();
            stream.write_all(&b"GET /metrics HT"[..n % 15]).unwrap();
            stream
        })
        .collect();
    assert!(request(endpoint, b"GET /metrics HTTP/1.1\r\n\r\n").starts_with("HTTP/1.1 200"));
    // The oldest one was evicted.
    let mut first = &stalled[0];
    first.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
    assert!(matches!(first.read(&mut [0]), Ok(0) | Err(_)));
    // Connections that are closed without a request do not block a caller either.
    stalled.iter().for_each(|s| _ = s.shutdown(Shutdown::Both));
    assert!(request(endpoint, b"GET /metrics HTTP/1.1\r\n\r\n").starts_with("HTTP/1.1 200"));
}

#[test]
fn an_address_in_use_is_an_error() {
    let endpoint = admin::start("127.0.0.1:0".parse().unwrap(), metrics()).unwrap();
    assert!(admin::start(endpoint, metrics()).is_err());
}
