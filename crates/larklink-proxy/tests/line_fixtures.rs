//! What the proxy writes on its sockets, compared byte for byte: responses of the admin endpoint, requests to
//! discovery, and those lines to clients and servers that no other test compares in full.
#![allow(clippy::unwrap_used, reason = "a test stops where its setup fails")]
use std::io::{BufRead, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;

use larklink_proxy::admin;
use larklink_proxy::metrics::{FinalAnswer, Metrics};

mod harness;
use harness::peer::{Peer, WAIT_TIMEOUT, open_line};
use harness::{config, endpoint, list, listen, refusing_address, respond, start, start_with_config};

/// Sends a request to the admin endpoint, and returns the response up to the end of the stream.
fn exchange(admin_address: SocketAddr, request: &str) -> String {
    let mut stream = TcpStream::connect(admin_address).unwrap();
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
    stream.write_all(request.as_bytes()).unwrap();
    let mut response = String::new();
    stream.read_to_string(&mut response).unwrap();
    response
}

fn get(admin_address: SocketAddr, path: &str) -> String {
    exchange(admin_address, &format!("GET {path} HTTP/1.1\r\nHost: x\r\n\r\n"))
}

/// Metrics of two listeners, with a different value for each metric. The exception is the count of periods of
/// rejections, of which these calls make only one.
fn distinct_metrics() -> Arc<Metrics> {
    let metrics = Metrics::new(&["chat".to_owned(), "pay".to_owned()]);
    let answers = [FinalAnswer::Accepted, FinalAnswer::Rejected, FinalAnswer::Failed];
    let answers = [0, 1].into_iter().flat_map(|listener| answers.map(|answer| (listener, answer)));
    for (count, (listener, answer)) in (1..).zip(answers) {
        (0..count).for_each(|_| metrics.record_answer(listener, answer));
    }
    (0..7).for_each(|_| metrics.record_attempt_sent());
    (0..8).for_each(|_| std::mem::forget(metrics.session_started()));
    metrics.set_endpoints(10, 9);
    let now = std::time::Instant::now();
    for n in 0..11 {
        let at = now + std::time::Duration::from_millis(n * 400);
        metrics.record_rejection_without_attempt(larklink_proxy::log::EndReason::Rejected, at);
    }
    metrics
}

#[test]
fn the_admin_endpoint_responds_as_in_the_fixtures() {
    let metrics = distinct_metrics();
    let expected = include_str!("fixtures/admin_metrics.http");
    assert_eq!(metrics.text(), expected.split_once("\r\n\r\n").unwrap().1);
    let address = admin::start("127.0.0.1:0".parse().unwrap(), Arc::clone(&metrics)).unwrap();
    assert_eq!(get(address, "/metrics"), expected);
    assert_eq!(get(address, "/ready"), include_str!("fixtures/admin_not_ready.http"));
    metrics.set_ready(true);
    assert_eq!(get(address, "/ready"), include_str!("fixtures/admin_ready.http"));
    assert_eq!(get(address, "/"), include_str!("fixtures/admin_not_found.http"));
    let post_response = exchange(address, "POST /ready HTTP/1.1\r\nHost: x\r\n\r\n");
    assert_eq!(post_response, include_str!("fixtures/admin_method_not_allowed.http"));
    assert_eq!(
        exchange(address, "OPEN 1 2 c=chat,d=5\r\n\r\n"),
        include_str!("fixtures/admin_bad_request.http")
    );
    let long_request = format!("GET /ready HTTP/1.1\r\nx: {}", "y".repeat(9000));
    assert_eq!(exchange(address, &long_request), include_str!("fixtures/admin_head_too_long.http"));
}

/// Receives a complete request, up to and including its blank line.
fn receive_full_request(connection: &mut Peer) -> String {
    let mut request = String::new();
    while !request.ends_with("\r\n\r\n") {
        assert!(connection.0.read_line(&mut request).unwrap() > 0, "incomplete request {request:?}");
    }
    request
}

#[test]
fn requests_to_discovery_have_these_bytes() {
    let ((_, at), (agent, discovery)) = (listen(), listen());
    let _proxy = start(&[], discovery, "proxy", 1024);
    let mut watch = Peer::accept(&agent);
    let rest_of_head = format!("HTTP/1.1\r\nHost: {discovery}\r\nAccept: application/json\r\n\r\n");
    assert_eq!(receive_full_request(&mut watch), format!("GET /api/targets {rest_of_head}"));
    respond(&mut watch, &list(41, true, &[endpoint("s-0", at, "up")]));
    assert_eq!(
        receive_full_request(&mut watch),
        format!("GET /api/targets?after=41&wait_ms=1900 {rest_of_head}")
    );
}

#[test]
fn a_health_check_requests_a_load_report_if_reports_give_the_load() {
    let (listener, at) = listen();
    let config = config(&[at], refusing_address(), "proxy", 1024);
    let config = config.replace(r#""safety":{"#, r#""feedback":{"names":["inflight","x0"]},"safety":{"#);
    let proxy = start_with_config(&config.replace(r#""send_cap""#, r#""probing":true,"send_cap""#));
    let _client = Peer::connect(proxy.address, &open_line("c=pay,d=5000"));
    let mut health_check = Peer::accept(&listener);
    let mut request = [0; 7];
    health_check.0.read_exact(&mut request).unwrap();
    assert_eq!(&request, b"STATS\r\n");
}

/// The Retry-After of a rejection is a whole number of milliseconds, and nothing follows it. If the settings do not
/// allow a Retry-After, the rejection has none.
#[test]
fn a_rejection_has_a_retry_after_in_whole_milliseconds_or_none() {
    let rejection = |config: &str| {
        let proxy = start_with_config(config);
        let mut client = Peer::connect(proxy.address, &open_line("c=chat,d=2000"));
        let mut answer = String::new();
        client.0.read_to_string(&mut answer).unwrap();
        answer
    };
    let with_retry_after = config(&[], refusing_address(), "proxy", 1024);
    let answer = rejection(&with_retry_after);
    let ms = answer.strip_prefix("BUSY ").and_then(|a| a.strip_suffix("\r\n")).unwrap_or_default();
    assert!(!ms.is_empty() && ms.bytes().all(|b| b.is_ascii_digit()) && !ms.starts_with('0'), "{answer:?}");
    assert_eq!(
        rejection(&with_retry_after.replace(r#""retry_after":true"#, r#""retry_after":false"#)),
        "BUSY\r\n"
    );
}
