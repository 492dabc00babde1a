//! The operators' door on loopback: what it answers, whoever else calls, and what its figures count.
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::Duration;

use larklink_proxy::config::Config;
use larklink_proxy::console::{self, CALLERS, answer};
use larklink_proxy::figures::{Answer, Figures};

const PATIENCE: Duration = Duration::from_secs(10);

fn figures() -> std::sync::Arc<Figures> {
    Figures::new(&["chat".to_owned(), "pay".to_owned()])
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
    let door = console::open("127.0.0.1:0".parse().unwrap(), figures()).unwrap();
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
    (0..text.len()).for_each(|n| assert_eq!(answer(&text[..n], &figures()), None));
    assert!(answer(text, &figures()).unwrap().ends_with("app.skipped_servers=0\n"));
}

/// Many more than the door hears at once, that say nothing or half a call, keep nobody out and cost no thread.
#[test]
fn callers_that_stall_give_way() {
    let door = console::open("127.0.0.1:0".parse().unwrap(), figures()).unwrap();
    let stalled: Vec<_> = (0..4 * CALLERS)
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
    let door = console::open("127.0.0.1:0".parse().unwrap(), figures()).unwrap();
    assert!(console::open(door, figures()).is_err());
}

#[test]
fn the_figures_keep_the_names_of_the_operators_page() {
    let figures = figures();
    figures.answered(0, Answer::Accepted);
    figures.answered(1, Answer::Refused);
    figures.answered(1, Answer::Failed);
    figures.answered(7, Answer::Failed);
    figures.tried();
    figures.servers(5, 2);
    let (one, two) = (figures.taken(), figures.taken());
    drop(one);
    assert_eq!(
        figures.text(),
        "app.handled.chat.passed=1\napp.handled.chat.dropped=0\napp.handled.chat.bad_gateway=0\n\
         app.handled.pay.passed=0\napp.handled.pay.dropped=1\napp.handled.pay.bad_gateway=1\n\
         app.upstream_tries=1\napp.in_progress=1\napp.known_servers=5\napp.skipped_servers=2\n"
    );
    drop(two);
}

#[test]
fn the_environment_names_the_door_before_the_file() {
    let config = |console| {
        serde_json::from_str::<Config>(&format!(
            r#"{{"listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"1",{console}"settings":{{}}}}"#
        ))
    };
    let here = |given| config(r#""console":"127.0.0.1:3","#).unwrap().with_console(given).map(|c| c.console);
    assert_eq!(here(None).unwrap(), "127.0.0.1:3".parse().ok());
    assert_eq!(here(Some("")).unwrap(), "127.0.0.1:3".parse().ok());
    assert_eq!(here(Some("127.0.0.1:4")).unwrap(), "127.0.0.1:4".parse().ok());
    assert!(here(Some("4")).unwrap_err().contains("ROUTER_CONSOLE: \"4\""));
    assert_eq!(config("").unwrap().console, None);
    assert!(config(r#""console":"nowhere","#).unwrap_err().to_string().contains("socket address"));
}
