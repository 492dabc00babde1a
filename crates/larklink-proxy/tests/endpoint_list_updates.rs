//! A whole proxy follows the endpoint list of a scripted discovery agent.
use std::io::Write;
use std::time::{Duration, Instant};

mod stage;
use stage::peer::{Peer, open_line};
use stage::{
    endpoint, establish, establish_with, list, listen, metrics_become, receive_request, refusing_address,
    respond, start, wait_until,
};

#[test]
fn the_list_is_watched_and_clients_of_a_draining_server_are_moved_between_two_lines() {
    let ((listener, at), (agent, discovery)) = (listen(), listen());
    let proxy = start(&[], discovery, "proxy", 1024);
    let mut watch = Peer::accept(&agent);
    assert_eq!(receive_request(&mut watch), "/api/targets");
    // A body that is none: asked again, on another connection.
    respond(&mut watch, "{]");
    let mut watch = Peer::accept(&agent);
    assert_eq!(receive_request(&mut watch), "/api/targets");
    assert!(!proxy.metrics.is_ready());
    respond(&mut watch, &list(41, true, &[endpoint("s-1", at, "up")]));
    assert!(receive_request(&mut watch).starts_with("/api/targets?after=41&wait_ms="));
    metrics_become(&proxy, [0, 0, 0, 0, 0, 0, 0, 0, 1]);
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

/// Garbled, cut short, refused, endless, of an older index, told too early: asked again in good order, and sessions
/// go by the list that stands.
#[test]
fn a_discovery_that_lies_is_asked_again_and_costs_no_session() {
    let ((listener, at), (agent, discovery)) = (listen(), listen());
    let proxy = start(&[at], discovery, "proxy", 1024);
    let whole = list(41, true, &[endpoint("s-0", at, "up")]);
    for wrong in [
        "HTTP/1.1 503 Overbooked\r\ncontent-length: 0\r\n\r\n".to_owned(),
        format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{whole}", whole.len() - 9),
        format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{whole}", whole.len() + 9),
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nfffffff0\r\n".to_owned(),
        format!("HTTP/1.1 200 OK\r\nx: {}", "y".repeat(20 << 10)),
    ] {
        let mut call = Peer::accept(&agent);
        assert_eq!(receive_request(&mut call), "/api/targets");
        call.send(&wrong);
        drop(call);
        establish(proxy.address, &listener);
    }
    let mut watch = Peer::accept(&agent);
    assert_eq!(receive_request(&mut watch), "/api/targets");
    respond(&mut watch, &whole);
    assert!(receive_request(&mut watch).starts_with("/api/targets?after=41&"));
    // Changes from before: nothing can be built on them.
    respond(&mut watch, &list(7, false, &[endpoint("s-0", at, "removed")]));
    assert_eq!(receive_request(&mut watch), "/api/targets");
    respond(&mut watch, &whole);
    let started = Instant::now();
    for _ in 0..5 {
        assert!(receive_request(&mut watch).starts_with("/api/targets?after=41&"));
        respond(&mut watch, &list(41, false, &[]));
    }
    assert!(
        receive_request(&mut watch).contains("after=41") && started.elapsed() >= Duration::from_millis(400),
        "a spin"
    );
    establish(proxy.address, &listener);
}

/// Discovery was silent for seven seconds, and an agent that had it back counted as having told of drains: proxies
/// that paused for up to 1.2 s then sent new sessions there past the grace.
#[test]
fn an_agent_that_was_silent_is_heard_within_the_grace_of_its_return() {
    let (agent, discovery) = listen();
    let _proxy = start(&[], discovery, "proxy", 1024);
    let mut gaps = Vec::new();
    for _ in 0..12 {
        let mut call = Peer::accept(&agent);
        receive_request(&mut call);
        let lost = Instant::now();
        drop(call);
        receive_request(&mut Peer::accept(&agent));
        gaps.push(lost.elapsed());
    }
    let grace = Duration::from_millis(500);
    assert!(gaps.iter().all(|gap| *gap < grace), "{gaps:?}");
}

/// Plain, indented, in chunks, in pieces: 1,024 servers, all but one of which go in one change.
#[test]
fn a_list_of_1024_servers_is_heard_however_it_is_written() {
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
    for form in 0..3 {
        let ((listener, at), (agent, discovery)) = (listen(), listen());
        let proxy = start(&[], discovery, "proxy", 1024);
        let mut watch = Peer::accept(&agent);
        let mut tell = |index, whole, endpoints: &[String]| {
            receive_request(&mut watch);
            let text = list(index, whole, endpoints);
            match form {
                0 => respond(&mut watch, &text),
                1 => respond(&mut watch, &indented(&text)),
                _ => chunked(&text)
                    .as_bytes()
                    .chunks(1000)
                    .for_each(|p| watch.0.get_mut().write_all(p).unwrap()),
            }
        };
        tell(41, true, &all(at, "up"));
        tell(42, false, &[]);
        establish(proxy.address, &listener);
        tell(43, false, &all(refusing_address(), "removed")[1..]);
        tell(44, false, &[]);
        // Only the first is left, whatever a session's key.
        for key in 0..8 {
            establish_with(&open_line(&format!("c=chat,t=acme,d=2000,g={key}")), proxy.address, &listener);
        }
    }
}
