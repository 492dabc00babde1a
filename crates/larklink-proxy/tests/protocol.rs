//! What is read from the network, pure: heads, servers' words, the bounded buffer, discovery's answers,
//! delays.
use larklink_balancer::EndpointState;
use larklink_proxy::config::Config;
use larklink_proxy::discovery::http::ResponseReader;
use larklink_proxy::discovery::schedule::backoff;
use larklink_proxy::endpoint_list::{Endpoint, endpoint_id};
use larklink_proxy::protocol::{
    LineBuffer, MAX_LINE_LENGTH, ServerMessage, parse_load_report, parse_open_line, parse_server_message,
    with_dial_timeout,
};
use larklink_proxy::upstream::message_latency::LatencyEstimator;
use proptest::prelude::*;
use proptest::test_runner::{Config as Runs, RngSeed};

const HEAD: &[u8] =
    b"OPEN 9b1f03aa5c7e2d41 7f3a9c21e0b4d655 c=chat,t=acme,d=2000,g=5c0f6e1a2b3d4c59,r=1,h=0.5\r\n";

#[test]
fn a_head_is_read_where_it_stands() {
    let h = parse_open_line(HEAD).unwrap();
    assert_eq!(
        (h.client_key, h.group_key, h.listener, h.dial_timeout_ms),
        (0x7f3a9c21e0b4d655, 0x5c0f6e1a2b3d4c59, "chat", 2000)
    );
    assert!(h.client_retry && !h.reconnecting && !h.established && h.endpoint_name.is_none());
    assert_eq!(&HEAD[h.dial_timeout_range], b"2000");
    let h = parse_open_line(b"OPEN 1 2 d=5,c=x,again=1,mid=1,at=s-5be2a07c").unwrap();
    assert!(h.reconnecting && h.established && h.endpoint_name == Some("s-5be2a07c"));
}

#[test]
fn only_the_wait_is_written_anew() {
    let h = parse_open_line(HEAD).unwrap();
    let written: Vec<u8> =
        with_dial_timeout(HEAD, &h.dial_timeout_range, "77").iter().flat_map(|s| s.to_vec()).collect();
    let text = String::from_utf8(HEAD.to_vec()).unwrap();
    assert_eq!(String::from_utf8(written).unwrap(), text.replace("d=2000", "d=77"));
}

#[test]
fn a_head_that_is_no_head_is_told() {
    for line in [
        "",
        "OPEN",
        "OPEN 1",
        "OPEN 1 2",
        "OPEN  2 c=a,d=1",
        "OPEN 1 xyz c=a,d=1",
        "OPEN 1 +2 c=a,d=1",
        "OPEN 1 11112222333344445 c=a,d=1",
        "OPEN 1 2 c=a",
        "OPEN 1 2 d=1",
        "OPEN 1 2 c=a,d=-1",
        "OPEN 1 2 c=a,d=",
        "OPEN 1 2 c=a,d=99999999999999999999999",
        "OPEN 1 2 c=a,d=1,g=no",
        "OPEN 1 2 c=a,,d=1",
        "OPEN 1 2 c=a,d=3600001",
        "OPEN 1 2 c=a,d=1,d=2",
        "OPEN 1 2 c=a,d=1,x=3,x=3",
        "OPEN 1 2 c=a,d=1\nOPEN 3 4 c=a,d=1",
        "OPEN id 2 c=a,d=1",
        "open 1 2 c=a,d=1",
    ] {
        assert!(parse_open_line(line.as_bytes()).is_err(), "{line}");
    }
    assert!(parse_open_line(b"OPEN 1 2 c=\xff,d=1\r\n").is_err());
}

#[test]
fn words_and_reports_are_told_apart() {
    assert_eq!(parse_server_message(b"UP 0ac4\r\n"), (ServerMessage::Up, "0ac4"));
    assert_eq!(parse_server_message(b"LOAD 12.5\r\n").0, ServerMessage::Load(12.5));
    assert_eq!(parse_server_message(b"LOAD NaN\r\n").0, ServerMessage::Other("LOAD NaN"));
    assert_eq!(
        parse_server_message(b"BYE inflight=7,x0=0.61\r\n"),
        (ServerMessage::Bye, "inflight=7,x0=0.61")
    );
    assert_eq!(parse_server_message(b"UPPER\r\n").0, ServerMessage::Other("UPPER"));
    let names = ["x0", "util"].map(String::from);
    assert_eq!(parse_load_report("inflight=7,util=0.5,x0=0.61", &names), [0.61, 0.5]);
    assert!(
        parse_load_report("inflight=7,x0=0.61", &names).is_empty(),
        "a report that lacks a value is none"
    );
}

#[test]
fn a_servers_id_comes_from_its_name_alone() {
    let one = Endpoint {
        name: "s-1".into(),
        address: "10.0.0.1:1".into(),
        status: "up".into(),
        ..Endpoint::default()
    };
    let other = Endpoint { address: "10.9.9.9:9".into(), status: "elsewhere".into(), ..one.clone() };
    assert_eq!(one.to_entry(&[]).id, other.to_entry(&[]).id);
    assert_ne!(endpoint_id("s-1"), endpoint_id("s-2"));
    assert_eq!(
        (one.to_entry(&[]).state, other.to_entry(&[]).state),
        (EndpointState::Ready, EndpointState::Draining)
    );
    let started = Endpoint { started_at_ms: 1_796_122_544_461.0, ..one };
    assert_eq!(started.to_entry(&[]).started_at, 17_961_225_444_610);
}

const LIST: &str =
    r#"{"index":43,"snapshot":false,"endpoints":[{"name":"s-1","address":"127.0.0.1:9","status":"up"}]}"#;

#[test]
fn discoverys_answers_are_read_whole_or_not_at_all() {
    let plain = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{LIST}", LIST.len());
    let (a, b) = LIST.split_at(20);
    let chunked = format!(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n{:x}\r\n{a}\r\n{:X}\r\n{b}\r\n0\r\n\r\n",
        a.len(),
        b.len()
    );
    for (text, kept) in [(plain, true), (chunked, false)] {
        for n in 0..text.len() {
            assert!(
                ResponseReader::default().read(&text.as_bytes()[..n]).unwrap().is_none(),
                "{n} of {} bytes",
                text.len()
            );
        }
        let mut by_pieces = ResponseReader::default();
        let cut = |n| by_pieces.read(&text.as_bytes()[..n]).unwrap();
        assert_eq!(
            (1..=text.len()).filter_map(cut).map(|r| (r.list.index, r.length)).last(),
            Some((43, text.len()))
        );
        let response = ResponseReader::default().read(text.as_bytes()).unwrap().unwrap();
        let list = response.list;
        assert_eq!(
            (list.index, list.endpoints.len(), response.keep_alive, response.length),
            (43, 1, kept, text.len())
        );
    }
}

#[test]
fn bad_answers_of_discovery_are_errors() {
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

#[test]
fn a_slow_server_is_spoken_of_once_a_second_and_once_more() {
    let mut d = LatencyEstimator::new(600);
    assert_eq!(d.record_answer(20_000, 1, 300), Some(300));
    assert_eq!(d.record_answer(21_000, 1, 500), None);
    assert_eq!(d.record_answer(30_000, 1, 100), Some(300), "the mean since it was last spoken of");
    assert_eq!(d.record_answer(40_000, 1, 50), Some(50), "back under: once more");
    assert_eq!(d.record_answer(50_000, 1, 50), None);
    assert_eq!(d.record_answer(50_000, 2, 500), Some(500), "each server by itself");
}

#[test]
fn a_bad_configuration_is_told_plainly() {
    let read = |text: &str| serde_json::from_str::<Config>(text).map_err(|e| e.to_string());
    let good =
        r#"{"listen":"127.0.0.1:0","discovery":"127.0.0.1:9","seed":"8c1f30d27a5be964","settings":{}}"#;
    assert_eq!(read(good).unwrap().seed, 0x8c1f30d27a5be964);
    assert!(read(&good.replace("8c1f", "oh no")).unwrap_err().contains("not a hex number"));
    assert!(read(&good.replace("127.0.0.1:0", "here")).is_err());
    assert!(read("{").is_err());
}

proptest! {
    #![proptest_config(Runs {
        cases: 256,
        rng_seed: RngSeed::Fixed(13),
        failure_persistence: None,
        ..Runs::default()
    })]

    #[test]
    fn any_bytes_are_a_head_or_an_error(mut line in prop::collection::vec(any::<u8>(), 0..80), at in 0..80usize, b: u8) {
        let _ = (parse_open_line(&line), parse_server_message(&line), ResponseReader::default().read(&line));
        line = HEAD.to_vec();
        let at = at % line.len();
        line[at] = b;
        if let Ok(h) = parse_open_line(&line) {
            prop_assert_eq!(std::str::from_utf8(&line[h.dial_timeout_range]).unwrap().parse(), Ok(h.dial_timeout_ms));
        }
    }

    #[test]
    fn an_inbox_gives_back_what_was_read_and_no_more_than_fits(chunks in prop::collection::vec(1..900usize, 1..40)) {
        let (mut inbox, mut read, mut taken) = (LineBuffer::default(), Vec::new(), Vec::new());
        for (n, size) in chunks.into_iter().enumerate() {
            let line: Vec<u8> = (0..size).map(|i| b'a' + (i % 26) as u8).chain(*b"\r\n").collect();
            let got = inbox.fill(|buf| {
                let n = buf.len().min(line.len());
                buf[..n].copy_from_slice(&line[..n]);
                Ok(n)
            });
            read.extend_from_slice(&line[..got.unwrap()]);
            prop_assert!(inbox.bytes().len() <= MAX_LINE_LENGTH);
            prop_assert_eq!(inbox.is_full(), inbox.bytes().len() == MAX_LINE_LENGTH);
            if n % 3 == 0 || inbox.is_full() {
                let whole = if inbox.is_full() { MAX_LINE_LENGTH } else { inbox.complete_lines_len() };
                taken.extend_from_slice(&inbox.bytes()[..whole]);
                inbox.consume(whole);
            }
        }
        taken.extend_from_slice(inbox.bytes());
        prop_assert_eq!(read, taken);
    }
}

/// A hundred proxies that lose the list together come back spread out, ever more slowly, and soon enough.
#[test]
fn calls_for_the_list_are_spread_and_grow_rarer_with_each_failure() {
    use rand::SeedableRng;
    use std::time::Duration;
    let most = Duration::from_millis(1250);
    let mean = |failed| {
        let pauses: Vec<_> = (0..100)
            .map(|seed| backoff(failed, most, &mut rand_chacha::ChaCha8Rng::seed_from_u64(seed)))
            .collect();
        assert!(pauses.iter().all(|p| *p >= Duration::from_millis(50) && *p <= most));
        let tenths: std::collections::BTreeSet<_> = pauses.iter().map(|p| p.as_millis() / 20).collect();
        assert!(tenths.len() > 10, "in step: {pauses:?}");
        pauses.iter().sum::<Duration>() / 100
    };
    assert!(mean(1) < Duration::from_millis(250) && mean(3) > mean(1) * 2 && mean(1000) < most * 2 / 3);
}
