//! A proxy polls the endpoint list of a scripted discovery agent and applies its updates.
use std::io::Write;
use std::time::{Duration, Instant};

use serde::Serialize;
use serde_json::Serializer;
use serde_json::ser::PrettyFormatter;

mod harness;
use harness::peer::{Peer, open_line};
use harness::{
    endpoint, establish, establish_with, list, listen, metric, non_empty_first_lines, receive_request,
    refusing_address, respond, start, wait_for_metrics, wait_for_shared_metrics, wait_until,
};

#[test]
fn sessions_of_a_draining_endpoint_are_migrated_at_a_line_boundary() {
    let ((listener, at), (agent, discovery)) = (listen(), listen());
    let proxy = start(&[], discovery, "proxy", 1024);
    let mut watch = Peer::accept(&agent);
    assert_eq!(receive_request(&mut watch), "/api/targets");
    // After an invalid body the list is polled again, on another connection.
    respond(&mut watch, "{]");
    let mut watch = Peer::accept(&agent);
    assert_eq!(receive_request(&mut watch), "/api/targets");
    assert!(!proxy.metrics.is_ready());
    respond(&mut watch, &list(41, true, &[endpoint("s-1", at, "up")]));
    assert!(receive_request(&mut watch).starts_with("/api/targets?after=41&wait_ms="));
    wait_for_metrics(&proxy, [0, 0, 0, 0, 0, 0, 0, 0, 1]);
    wait_until(|| proxy.metrics.is_ready());
    let (mut client, mut server) = establish(proxy.address, &listener);
    server.send("one\r\nhalf of two");
    assert_eq!(client.receive_line(), "one\r\n");
    respond(&mut watch, &list(43, false, &[endpoint("s-1", at, "draining")]));
    assert!(receive_request(&mut watch).starts_with("/api/targets?after=43&"));
    assert_eq!(client.receive_line(), "MOVE\r\n");
    client.expect_end();
    server.expect_end();
}

/// After a response that is rejected, truncated, oversized or outdated, or arrives without holding the long poll, the
/// list is polled again without a tight loop, and sessions are routed by the known list meanwhile.
#[test]
fn invalid_discovery_responses_are_polled_again_and_affect_no_session() {
    let ((listener, at), (agent, discovery)) = (listen(), listen());
    let proxy = start(&[at], discovery, "proxy", 1024);
    let complete = list(41, true, &[endpoint("s-0", at, "up")]);
    for invalid in [
        "HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n".to_owned(),
        format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{complete}", complete.len() - 9),
        format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{complete}", complete.len() + 9),
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nfffffff0\r\n".to_owned(),
        format!("HTTP/1.1 200 OK\r\nx: {}", "y".repeat(20 << 10)),
    ] {
        let mut poll = Peer::accept(&agent);
        assert_eq!(receive_request(&mut poll), "/api/targets");
        poll.send(&invalid);
        drop(poll);
        establish(proxy.address, &listener);
    }
    let mut watch = Peer::accept(&agent);
    assert_eq!(receive_request(&mut watch), "/api/targets");
    respond(&mut watch, &complete);
    assert!(receive_request(&mut watch).starts_with("/api/targets?after=41&"));
    // Changes with an older index cannot be applied: the complete list is polled.
    respond(&mut watch, &list(7, false, &[endpoint("s-0", at, "removed")]));
    assert_eq!(receive_request(&mut watch), "/api/targets");
    respond(&mut watch, &complete);
    let started = Instant::now();
    for _ in 0..5 {
        assert!(receive_request(&mut watch).starts_with("/api/targets?after=41&"));
        respond(&mut watch, &list(41, false, &[]));
    }
    assert!(
        receive_request(&mut watch).contains("after=41") && started.elapsed() >= Duration::from_millis(400),
        "polled in a tight loop"
    );
    establish(proxy.address, &listener);
}

/// Guards against a long backoff after an outage: agents that had been down for seven seconds counted as having
/// notified their proxies of drains as soon as they were back, while proxies that backed off for up to 1.2 s kept
/// sending new sessions to draining endpoints past the drain grace.
#[test]
fn an_agent_that_fails_repeatedly_is_polled_again_within_the_drain_grace() {
    let (agent, discovery) = listen();
    let _proxy = start(&[], discovery, "proxy", 1024);
    let mut gaps = Vec::new();
    for _ in 0..12 {
        let mut poll = Peer::accept(&agent);
        receive_request(&mut poll);
        let closed_at = Instant::now();
        drop(poll);
        receive_request(&mut Peer::accept(&agent));
        gaps.push(closed_at.elapsed());
    }
    let drain_grace = Duration::from_millis(500);
    assert!(gaps.iter().all(|gap| *gap < drain_grace), "{gaps:?}");
}

/// A list of 1,024 endpoints, of which one change removes all but one, as compact JSON, as indented JSON, and in
/// chunked encoding sent in pieces.
#[test]
fn a_list_of_1024_endpoints_is_applied_in_every_encoding() {
    let all = |address, status: &str| -> Vec<_> {
        (0..1024).map(|n| endpoint(&format!("s-{n:08x}"), address, status)).collect()
    };
    let indented = |text: &str| {
        serde_json::to_string_pretty(&serde_json::from_str::<serde_json::Value>(text).unwrap()).unwrap()
    };
    let chunked = |text: &str| {
        let chunks = text
            .as_bytes()
            .chunks(777)
            .map(|c| format!("{:x}\r\n{}\r\n", c.len(), String::from_utf8_lossy(c)));
        format!(
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{}0\r\n\r\n",
            chunks.collect::<String>()
        )
    };
    for encoding in 0..3 {
        let ((listener, at), (agent, discovery)) = (listen(), listen());
        let proxy = start(&[], discovery, "proxy", 1024);
        let mut watch = Peer::accept(&agent);
        let mut send_list = |index, complete, endpoints: &[String]| {
            receive_request(&mut watch);
            let text = list(index, complete, endpoints);
            match encoding {
                0 => respond(&mut watch, &text),
                1 => respond(&mut watch, &indented(&text)),
                _ => chunked(&text)
                    .as_bytes()
                    .chunks(1000)
                    .for_each(|piece| watch.0.get_mut().write_all(piece).unwrap()),
            }
        };
        send_list(41, true, &all(at, "up"));
        send_list(42, false, &[]);
        establish(proxy.address, &listener);
        send_list(43, false, &all(refusing_address(), "removed")[1..]);
        send_list(44, false, &[]);
        // Only the first endpoint is left, for sessions with any key.
        for key in 0..8 {
            establish_with(&open_line(&format!("c=chat,t=acme,d=2000,g={key}")), proxy.address, &listener);
        }
    }
}

/// A complete list of endpoints in the widest form that is allowed for: long names, and levels indented by 8 spaces.
fn widest_list(index: u64, first: &str, count: usize) -> String {
    let entry = |number: usize| {
        format!(
            r#"{{"name":"s-{number:062}","address":"[1000:2000:3000:4000:5000:6000:7000:8000]:65535","zone":"{0}",
                "type":"{0}","group":65535,"status":"up","weight":0.1234567890123456,"since_ms":1796122544461}}"#,
            "z".repeat(32)
        )
    };
    let mut endpoints = vec![first.to_owned()];
    endpoints.extend((1..count).map(entry));
    let compact: serde_json::Value =
        serde_json::from_str(&list(index, true, &endpoints)).expect("valid JSON");
    let mut indented = Vec::new();
    let formatter = PrettyFormatter::with_indent(b"        ");
    compact.serialize(&mut Serializer::with_formatter(&mut indented, formatter)).expect("valid JSON");
    String::from_utf8(indented).expect("UTF-8")
}

/// Guards against a large fleet whose list is refused for good for its length: drains were never learned. A list that is
/// too long all the same is counted, and the last one stays in use.
#[test]
fn the_list_of_the_largest_fleet_is_applied_in_its_widest_form() {
    let ((listener, at), (agent, discovery)) = (listen(), listen());
    let proxy = start(&[at], discovery, "proxy", 1024);
    let mut poll = Peer::accept(&agent);
    receive_request(&mut poll);
    let widest = widest_list(41, &endpoint("s-0", at, "draining"), 3_200);
    assert!(widest.len() > 1 << 20, "{} bytes", widest.len());
    respond(&mut poll, &widest);
    wait_until(|| metric(&proxy, "app.known_servers") == 3_200);
    // The only endpoint that could accept a session is draining.
    assert_ne!(Peer::connect(proxy.address, &open_line("c=pay,d=300")).receive_line(), "UP 5\r\n");
    assert_eq!(non_empty_first_lines(&listener), [""; 0]);
    assert!(receive_request(&mut poll).contains("after=41"));
    let too_long = widest_list(42, &endpoint("s-0", at, "up"), 9_600);
    // The proxy may close the connection before all is sent.
    let _ =
        write!(poll.0.get_mut(), "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{too_long}", too_long.len());
    wait_until(|| metric(&proxy, "larklink_discovery_lists_too_long_total") == 1);
    assert_eq!(metric(&proxy, "app.known_servers"), 3_200);
}

/// Guards against sessions from before the start being answered `ERR` at once, because the cached list that the process
/// starts with lacks their endpoint, or has an old address of it, while discovery is down.
#[test]
fn a_session_from_before_the_start_waits_until_discovery_lists_its_server() {
    for has_old_address in [false, true] {
        let ((listener, at), (agent, discovery)) = (listen(), listen());
        let cached = if has_old_address { vec![refusing_address()] } else { Vec::new() };
        let proxy = start(&cached, discovery, "proxy", 1024);
        // Discovery is down: it accepts the poll and does not answer.
        let mut poll = Peer::accept(&agent);
        assert_eq!(receive_request(&mut poll), "/api/targets");
        let head = open_line("c=pay,d=2000,at=s-0");
        let mut client = Peer::connect(proxy.address, &head);
        wait_for_shared_metrics(&proxy, [0, 1, u32::from(has_old_address)]);
        // Longer than the pause between two lookups.
        client.expect_silence(Duration::from_millis(300));
        respond(&mut poll, &list(41, true, &[endpoint("s-0", at, "up")]));
        let mut server = Peer::accept(&listener);
        assert_eq!(server.receive_line(), head);
        server.send("UP 5\r\n");
        assert_eq!(client.receive_line(), "UP 5\r\n");
    }
}
