//! The operators' door on loopback: what it answers, whoever else calls, and what its figures count.
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use larklink_proxy::admin::response::respond;
use larklink_proxy::admin::{self, MAX_CONNECTIONS};
use larklink_proxy::config::Config;
use larklink_proxy::log::EndReason;
use larklink_proxy::metrics::{FinalAnswer, Metrics};

const PATIENCE: Duration = Duration::from_secs(10);

fn figures() -> std::sync::Arc<Metrics> {
    Metrics::new(&["chat".to_owned(), "pay".to_owned()])
}

fn call(door: SocketAddr, text: &[u8]) -> String {
    let mut stream = TcpStream::connect(door).unwrap();
    stream.set_read_timeout(Some(PATIENCE)).unwrap();
    stream.write_all(text).unwrap();
    let mut reply = String::new();
    stream.read_to_string(&mut reply).unwrap();
    reply
}

#[test]
fn each_call_gets_its_status_and_a_length() {
    let door = admin::start("127.0.0.1:0".parse().unwrap(), figures()).unwrap();
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
        let reply = call(door, text.as_bytes());
        let (head, body) = reply.split_once("\r\n\r\n").unwrap();
        assert!(head.starts_with(&format!("HTTP/1.1 {status}\r\n")), "{text:?}: {head}");
        assert!(head.contains(&format!("Content-Length: {}\r\n", body.len())), "{head}");
        assert!(head.contains("Connection: close"), "{head}");
        assert_eq!(head.contains("Allow: GET"), status.starts_with("405"), "{head}");
    }
}

#[test]
fn a_call_may_come_cut_at_any_byte() {
    let text = b"GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n";
    (0..text.len()).for_each(|n| assert_eq!(respond(&text[..n], &figures()), None));
    assert!(respond(text, &figures()).unwrap().ends_with("_refusing_all_periods_total=0\n"));
}

/// Many more than the door hears at once, that say nothing or half a call, keep nobody out and cost no thread.
#[test]
fn callers_that_stall_give_way() {
    let door = admin::start("127.0.0.1:0".parse().unwrap(), figures()).unwrap();
    let stalled: Vec<_> = (0..4 * MAX_CONNECTIONS)
        .map(|n| {
            let mut stream = TcpStream::connect(door).unwrap();
            stream.write_all(&b"GET /metrics HT"[..n % 15]).unwrap();
            stream
        })
        .collect();
    assert!(call(door, b"GET /metrics HTTP/1.1\r\n\r\n").starts_with("HTTP/1.1 200"));
    // The first of them was let go for the later ones.
    let mut first = &stalled[0];
    first.set_read_timeout(Some(PATIENCE)).unwrap();
    assert!(matches!(first.read(&mut [0]), Ok(0) | Err(_)));
    // Who leaves without a word, too.
    stalled.iter().for_each(|s| _ = s.shutdown(Shutdown::Both));
    assert!(call(door, b"GET /metrics HTTP/1.1\r\n\r\n").starts_with("HTTP/1.1 200"));
}

#[test]
fn a_taken_address_is_an_error() {
    let door = admin::start("127.0.0.1:0".parse().unwrap(), figures()).unwrap();
    assert!(admin::start(door, figures()).is_err());
}

#[test]
fn the_figures_keep_the_names_of_the_operators_page() {
    let figures = figures();
    figures.record_answer(0, FinalAnswer::Accepted);
    figures.record_answer(1, FinalAnswer::Rejected);
    figures.record_answer(1, FinalAnswer::Failed);
    figures.record_answer(7, FinalAnswer::Failed);
    figures.record_attempt_sent();
    figures.set_endpoints(5, 2);
    let (one, two) = (figures.session_started(), figures.session_started());
    drop(one);
    assert_eq!(
        figures.text(),
        "app.handled.chat.passed=1\napp.handled.chat.dropped=0\napp.handled.chat.bad_gateway=0\n\
         app.handled.pay.passed=0\napp.handled.pay.dropped=1\napp.handled.pay.bad_gateway=1\n\
         app.upstream_tries=1\napp.in_progress=1\napp.known_servers=5\napp.skipped_servers=2\n\
         larklink_sessions_refused_without_dial_total=0\nlarklink_refusing_all_periods_total=0\n"
    );
    drop(two);
}

/// Sessions refused without a dial, and periods in which all were.
fn refusals(figures: &Metrics) -> (usize, usize) {
    let count = |name| {
        let text = figures.text();
        text.lines().find_map(|l| l.strip_prefix(name)?.strip_prefix('=')?.parse().ok()).unwrap()
    };
    (count("larklink_sessions_refused_without_dial_total"), count("larklink_refusing_all_periods_total"))
}

/// What it writes to the log meanwhile, a line each.
fn logged(work: impl FnOnce()) -> Vec<String> {
    let (tell, told) = std::sync::mpsc::channel();
    let writer = move || Line(tell.clone());
    let log = tracing_subscriber::fmt().with_ansi(false).without_time().with_writer(writer).finish();
    tracing::subscriber::with_default(log, work);
    told.into_iter().collect()
}

struct Line(std::sync::mpsc::Sender<String>);

impl Write for Line {
    fn write(&mut self, line: &[u8]) -> std::io::Result<usize> {
        self.0.send(String::from_utf8_lossy(line).trim().to_owned()).unwrap();
        Ok(line.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Hundreds of processes refused all that they got for seconds on end, and none said so.
#[test]
fn a_process_that_serves_nobody_says_so_once_and_when_it_is_over() {
    let (figures, began) = (figures(), Instant::now());
    let refuse =
        |ms: u64, reason| figures.record_rejection_without_attempt(reason, began + Duration::from_millis(ms));
    let dial = |ms: u64| figures.record_attempt_started(began + Duration::from_millis(ms));
    // A dial in between, too few, too short a time, or a pause in which nothing came: none of these.
    let lines = logged(|| {
        (0..5).for_each(|n| refuse(n * 900, EndReason::Rejected));
        dial(4000);
        (0..9).for_each(|n| refuse(5000 + n * 500, EndReason::Rejected));
        dial(9500);
        (0..50).for_each(|n| refuse(10_000 + n * 79, EndReason::Rejected));
        refuse(18_000, EndReason::Rejected);
    });
    assert_eq!((refusals(&figures), lines.len()), ((65, 0), 0), "{lines:?}");
    // Nothing but refusals, and once it has been said also after a pause.
    figures.set_endpoints(9, 4);
    let lines = logged(|| {
        (1..=20).for_each(|n| refuse(18_000 + n * 400, EndReason::Rejected));
        refuse(40_000, EndReason::NoDescriptors);
        dial(41_000);
        dial(42_000);
    });
    assert_eq!(refusals(&figures), (86, 1));
    let cause = "the available endpoints are full or warming up, or attempts are limited";
    assert_eq!(
        lines,
        [
            format!(
                r#"WARN larklink_proxy::metrics: rejecting all sessions reason=rejected cause="{cause}" sessions=11 duration_ms=4000"#
            ),
            "INFO larklink_proxy::metrics: no longer rejecting all sessions sessions=22 duration_ms=23000"
                .to_owned(),
        ]
    );
    // The reason goes by what is seen then.
    for (listed, avoided, reason, cause) in [
        (0, 0, EndReason::Rejected, "the endpoint list is empty"),
        (9, 9, EndReason::Rejected, "every endpoint is draining, unresponsive or failing"),
        (9, 9, EndReason::NoDescriptors, "no descriptors are left"),
        (9, 9, EndReason::Shutdown, "the proxy is shutting down"),
    ] {
        figures.set_endpoints(listed, avoided);
        let lines = logged(|| (0..20).for_each(|n| refuse(50_000 + n * 400, reason)));
        assert!(lines.len() == 1 && lines[0].contains(cause), "{lines:?}");
        dial(60_000);
    }
    assert_eq!(refusals(&figures), (166, 5));
}

#[test]
fn the_environment_names_the_door_before_the_file() {
    let config = |console| {
        serde_json::from_str::<Config>(&format!(
            r#"{{"listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"1",{console}"settings":{{}}}}"#
        ))
    };
    let here = |given| {
        config(r#""console":"127.0.0.1:3","#).unwrap().with_admin_address(given).map(|c| c.admin_address)
    };
    assert_eq!(here(None).unwrap(), "127.0.0.1:3".parse().ok());
    assert_eq!(here(Some("")).unwrap(), "127.0.0.1:3".parse().ok());
    assert_eq!(here(Some("127.0.0.1:4")).unwrap(), "127.0.0.1:4".parse().ok());
    assert!(here(Some("4")).unwrap_err().to_string().contains("ROUTER_CONSOLE: \"4\""));
    assert_eq!(config("").unwrap().admin_address, None);
    assert!(config(r#""console":"nowhere","#).unwrap_err().to_string().contains("socket address"));
}
