//! The line protocol: open lines, server messages, load reports, and the bounded line buffer.
#![allow(clippy::unwrap_used, reason = "a test stops where its setup fails")]
use larklink_proxy::discovery::http::ResponseReader;
use larklink_proxy::protocol::{
    LineBuffer, MAX_LINE_LENGTH, ServerMessage, parse_load_report, parse_open_line, parse_server_message,
    with_dial_timeout,
};
use proptest::prelude::*;
use proptest::test_runner::{Config as Runs, RngSeed};

const OPEN_LINE: &[u8] =
    b"OPEN 9b1f03aa5c7e2d41 7f3a9c21e0b4d655 c=chat,t=acme,d=2000,g=5c0f6e1a2b3d4c59,r=1,line=0.5\r\n";

#[test]
fn an_open_line_is_parsed_in_place() {
    let line = parse_open_line(OPEN_LINE).unwrap();
    assert_eq!(
        (line.client_key, line.group_key, line.listener, line.dial_timeout_ms),
        (0x7f3a9c21e0b4d655, 0x5c0f6e1a2b3d4c59, "chat", 2000)
    );
    assert!(line.client_retry && !line.reconnecting && !line.established && line.endpoint_name.is_none());
    assert_eq!(&OPEN_LINE[line.dial_timeout_range], b"2000");
    let line = parse_open_line(b"OPEN 1 2 d=5,c=x,again=1,mid=1,at=s-5be2a07c").unwrap();
    assert!(line.reconnecting && line.established && line.endpoint_name == Some("s-5be2a07c"));
}

#[test]
fn only_the_dial_timeout_is_replaced() {
    let line = parse_open_line(OPEN_LINE).unwrap();
    let written: Vec<u8> = with_dial_timeout(OPEN_LINE, &line.dial_timeout_range, "77")
        .iter()
        .flat_map(|s| s.to_vec())
        .collect();
    let text = String::from_utf8(OPEN_LINE.to_vec()).unwrap();
    assert_eq!(String::from_utf8(written).unwrap(), text.replace("d=2000", "d=77"));
}

#[test]
fn invalid_open_lines_are_errors() {
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
fn server_messages_and_load_reports_are_parsed() {
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
        "a report without one of the values counts as none"
    );
}

proptest! {
    #![proptest_config(Runs {
        cases: 256,
        rng_seed: RngSeed::Fixed(13),
        failure_persistence: None,
        ..Runs::default()
    })]

    #[test]
    fn any_bytes_are_an_open_line_or_an_error(mut line in prop::collection::vec(any::<u8>(), 0..80), at in 0..80usize, b: u8) {
        let _ = (parse_open_line(&line), parse_server_message(&line), ResponseReader::default().read(&line));
        line = OPEN_LINE.to_vec();
        let at = at % line.len();
        line[at] = b;
        if let Ok(open_line) = parse_open_line(&line) {
            prop_assert_eq!(std::str::from_utf8(&line[open_line.dial_timeout_range]).unwrap().parse(), Ok(open_line.dial_timeout_ms));
        }
    }

    #[test]
    fn a_line_buffer_returns_what_was_read_and_no_more_than_fits(chunks in prop::collection::vec(1..900usize, 1..40)) {
        let (mut buffer, mut read, mut consumed) = (LineBuffer::default(), Vec::new(), Vec::new());
        for (n, size) in chunks.into_iter().enumerate() {
            let line: Vec<u8> = (0..size).map(|i| b'a' + (i % 26) as u8).chain(*b"\r\n").collect();
            let received = buffer.fill(|buf| {
                let n = buf.len().min(line.len());
                buf[..n].copy_from_slice(&line[..n]);
                Ok(n)
            });
            read.extend_from_slice(&line[..received.unwrap()]);
            prop_assert!(buffer.bytes().len() <= MAX_LINE_LENGTH);
            prop_assert_eq!(buffer.is_full(), buffer.bytes().len() == MAX_LINE_LENGTH);
            if n % 3 == 0 || buffer.is_full() {
                let length = if buffer.is_full() { MAX_LINE_LENGTH } else { buffer.complete_lines_len() };
                consumed.extend_from_slice(&buffer.bytes()[..length]);
                buffer.consume(length);
            }
        }
        consumed.extend_from_slice(buffer.bytes());
        prop_assert_eq!(read, consumed);
    }
}
