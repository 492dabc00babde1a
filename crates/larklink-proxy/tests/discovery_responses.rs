//! Parsing of discovery's responses and of their entries, and the intervals after failures.
#![allow(clippy::unwrap_used, reason = "a test stops where its setup fails")]
use std::collections::BTreeSet;
use std::time::Duration;

use larklink_balancer::{EndpointState, TickDuration};
use larklink_proxy::discovery::http::ResponseReader;
use larklink_proxy::discovery::schedule::PollSchedule;
use larklink_proxy::endpoint_list::{Endpoint, endpoint_id};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

#[test]
fn an_endpoint_id_depends_on_the_name_only() {
    let endpoint = Endpoint {
        name: "s-1".into(),
        address: "10.0.0.1:1".into(),
        status: "up".into(),
        ..Endpoint::default()
    };
    let other = Endpoint { address: "10.9.9.9:9".into(), status: "elsewhere".into(), ..endpoint.clone() };
    assert_eq!(endpoint.to_entry(&[]).id, other.to_entry(&[]).id);
    assert_ne!(endpoint_id("s-1"), endpoint_id("s-2"));
    assert_eq!(
        (endpoint.to_entry(&[]).state, other.to_entry(&[]).state),
        (EndpointState::Ready, EndpointState::Draining)
    );
    let started = Endpoint { started_at_ms: 1_796_122_544_461.0, ..endpoint };
    assert_eq!(started.to_entry(&[]).started_at.as_ticks(), 17_961_225_444_610);
}

const LIST: &str =
    r#"{"index":43,"snapshot":false,"endpoints":[{"name":"s-1","address":"127.0.0.1:9","status":"up"}]}"#;

#[test]
fn discovery_responses_are_read_when_they_are_complete() {
    let plain = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{LIST}", LIST.len());
    let (a, b) = LIST.split_at(20);
    let chunked = format!(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n{:x}\r\n{a}\r\n{:X}\r\n{b}\r\n0\r\n\r\n",
        a.len(),
        b.len()
    );
    for (text, keep_alive) in [(plain, true), (chunked, false)] {
        for n in 0..text.len() {
            assert!(
                ResponseReader::default().read(&text.as_bytes()[..n]).unwrap().is_none(),
                "{n} of {} bytes",
                text.len()
            );
        }
        let mut incremental = ResponseReader::default();
        let read_prefix = |n| incremental.read(&text.as_bytes()[..n]).unwrap();
        assert_eq!(
            (1..=text.len()).filter_map(read_prefix).map(|r| (r.list.index, r.length)).last(),
            Some((43, text.len()))
        );
        let response = ResponseReader::default().read(text.as_bytes()).unwrap().unwrap();
        let list = response.list;
        assert_eq!(
            (list.index, list.endpoints.len(), response.keep_alive, response.length),
            (43, 1, keep_alive, text.len())
        );
    }
}

#[test]
fn unusable_discovery_responses_are_errors() {
    for text in [
        "HTTP/1.1 500 Oh\r\ncontent-length: 2\r\n\r\n{}",
        "HTTP/1.1 200 OK\r\n\r\n{}",
        "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n[]",
        "HTTP/1.1 200 OK\r\ncontent-length: 99999999\r\n\r\n",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nffffffffffffffff\r\n",
        "not http at all\r\n\r\n",
    ] {
        assert!(ResponseReader::default().read(text.as_bytes()).is_err(), "{text}");
    }
}

/// The polls of a hundred proxies that lose discovery at the same time are spread out, and become rarer with each
/// poll that is not answered.
#[test]
fn polls_are_spread_and_become_rarer_while_none_is_answered() {
    let schedule =
        PollSchedule::new(TickDuration::from_secs(10), TickDuration::from_secs(2), true).with_proxies(100);
    let max = schedule.max_unanswered_interval;
    let mean = |unanswered| {
        let interval = schedule.unanswered_interval(unanswered);
        let drawn: Vec<_> = (0..100)
            .map(|seed| schedule.with_jitter(interval, &mut ChaCha8Rng::seed_from_u64(seed)))
            .collect();
        assert!(drawn.iter().all(|d| *d >= Duration::from_millis(50) && *d <= max));
        let distinct: BTreeSet<_> = drawn.iter().map(|d| d.as_millis() / 20).collect();
        assert!(distinct.len() > 10, "not spread out: {drawn:?}");
        drawn.iter().sum::<Duration>() / 100
    };
    assert!(mean(1) < Duration::from_millis(800) && mean(3) > mean(1) * 2 && mean(1000) < max);
}
