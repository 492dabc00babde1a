//! What the proxy says on its sockets, held byte for byte: the operators' door, the calls to discovery, and those lines
//! to clients and servers that no other test compares whole.
#![allow(clippy::unwrap_used, reason = "a test stops where its setup fails")]
use std::io::{BufRead, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;

use larklink_proxy::admin;
use larklink_proxy::metrics::{FinalAnswer, Metrics};

mod stage;
use stage::peer::{Peer, WAIT_TIMEOUT, open_line};
use stage::{config, endpoint, list, listen, refusing_address, respond, start, start_with_config};

/// All that the door answers to a request, and then its end.
fn call(door: SocketAddr, request: &str) -> String {
    let mut stream = TcpStream::connect(door).unwrap();
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
    stream.write_all(request.as_bytes()).unwrap();
    let mut reply = String::new();
    stream.read_to_string(&mut reply).unwrap();
    reply
}

fn get(door: SocketAddr, path: &str) -> String {
    call(door, &format!("GET {path} HTTP/1.1\r\nHost: door\r\n\r\n"))
}

/// Metrics that all differ, as far as they can be told from here, of two listeners.
fn counted() -> Arc<Metrics> {
    let metrics = Metrics::new(&["chat".to_owned(), "pay".to_owned()]);
    let answers = [FinalAnswer::Accepted, FinalAnswer::Rejected, FinalAnswer::Failed];
    for (n, (listener, answer)) in (1..).zip([0, 1].into_iter().flat_map(|l| answers.map(|a| (l, a)))) {
        (0..n).for_each(|_| metrics.record_answer(listener, answer));
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
fn the_door_answers_as_in_the_files() {
    let metrics = counted();
    let expected = include_str!("fixtures/door_metrics.http");
    assert_eq!(metrics.text(), expected.split_once("\r\n\r\n").unwrap().1);
    let door = admin::start("127.0.0.1:0".parse().unwrap(), Arc::clone(&metrics)).unwrap();
    assert_eq!(get(door, "/metrics"), expected);
    assert_eq!(get(door, "/ready"), include_str!("fixtures/door_not_ready.http"));
    metrics.set_ready(true);
    assert_eq!(get(door, "/ready"), include_str!("fixtures/door_ready.http"));
    assert_eq!(get(door, "/"), include_str!("fixtures/door_elsewhere.http"));
    let posted = call(door, "POST /ready HTTP/1.1\r\nHost: door\r\n\r\n");
    assert_eq!(posted, include_str!("fixtures/door_posted.http"));
    assert_eq!(call(door, "OPEN 1 2 c=chat,d=5\r\n\r\n"), include_str!("fixtures/door_garbled.http"));
    let long = format!("GET /ready HTTP/1.1\r\nx: {}", "y".repeat(9000));
    assert_eq!(call(door, &long), include_str!("fixtures/door_too_long.http"));
}

/// A whole request, with its blank line.
fn request(agent: &mut Peer) -> String {
    let mut all = String::new();
    while !all.ends_with("\r\n\r\n") {
        assert!(agent.0.read_line(&mut all).unwrap() > 0, "{all:?} before the end");
    }
    all
}

#[test]
fn discovery_is_asked_in_these_bytes() {
    let ((_, at), (agent, discovery)) = (listen(), listen());
    let _proxy = start(&[], discovery, "proxy", 1024);
    let mut watch = Peer::accept(&agent);
    let rest = format!("HTTP/1.1\r\nHost: {discovery}\r\nAccept: application/json\r\n\r\n");
    assert_eq!(request(&mut watch), format!("GET /api/targets {rest}"));
    respond(&mut watch, &list(41, true, &[endpoint("s-0", at, "up")]));
    assert_eq!(request(&mut watch), format!("GET /api/targets?after=41&wait_ms=1900 {rest}"));
}

#[test]
fn a_health_check_requests_a_load_report_where_reports_give_the_load() {
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

/// The Retry-After of a rejection is a whole number of milliseconds that nothing follows; where the settings allow
/// none, the answer has none.
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
