//! What ends in the instant in which something is still owed, one test for each fault found: the far side holds and
//! releases, so that the bad order happens every time. `docs/design/endings.md` has the list.
use std::net::TcpListener;
use std::thread;
use std::time::Duration;

mod stage;
use stage::peer::{Peer, open};
use stage::*;

/// Connecting may take longer than the grace of a drain or the window of a reference.
fn patient(config: &str) -> String {
    let config = config.replace(r#""dial_timeout_ns":250000000"#, r#""dial_timeout_ns":4000000000"#);
    config.replace(
        r#"{"name":"pay""#,
        r#"{"name":"book","idempotency":"deduplicated","group":"all","window_ns":400000000},{"name":"pay""#,
    )
}

/// The head was written whenever the connection came up: a second after the drain, half a second past its grace.
#[test]
fn a_dial_that_is_still_connecting_leaves_a_server_that_begins_to_drain() {
    let ((deaf, a), (second, b), (agent, discovery)) = (Deaf::new(), server(), server());
    let proxy = start_by(&patient(&config(&[], discovery, "proxy", 1024)));
    let mut watch = Peer::accept(&agent);
    asked(&mut watch);
    told(&mut watch, &list(41, true, &[endpoint("s-0", a, "up")]));
    asked(&mut watch);
    let mut client = Peer::connect(proxy.address, &open("c=pay,d=5000"));
    deaf.is_knocked_at();
    told(&mut watch, &list(42, false, &[endpoint("s-0", a, "draining"), endpoint("s-1", b, "up")]));
    let mut server = Peer::accept(&second);
    server.hear();
    server.say("UP 1\r\n");
    assert_eq!(client.hear(), "UP 1\r\n");
    assert_eq!(heads(&deaf.listen()), [""; 0]);
}

/// A reference that may have run was sent again a second later, when the servers had forgotten it: a second effect.
#[test]
fn a_reference_is_not_sent_once_its_window_is_over() {
    let ((first, a), (deaf, b), (agent, discovery)) = (server(), Deaf::new(), server());
    let proxy = start_by(&patient(&config(&[], discovery, "proxy", 1024)));
    let mut watch = Peer::accept(&agent);
    asked(&mut watch);
    told(&mut watch, &list(41, true, &[endpoint("s-0", a, "up")]));
    asked(&mut watch);
    let mut client = Peer::connect(proxy.address, &open("c=book,d=5000"));
    let mut server = Peer::accept(&first);
    server.hear();
    told(&mut watch, &list(42, false, &[endpoint("s-1", b, "up")]));
    asked(&mut watch);
    figures_end(&proxy, [1, 1, 2]);
    drop(server);
    deaf.is_knocked_at();
    // The time of the window itself; who knocked does so again later than that.
    thread::sleep(Duration::from_millis(400));
    let second = deaf.listen();
    assert_eq!(client.hear(), "ERR\r\n");
    assert_eq!(heads(&second), [""; 0]);
}

/// The end of a connection came with its first line and was looked for only after the dial: the server ran what
/// nobody waited for.
#[test]
fn a_client_that_left_with_its_first_line_is_not_sent_on() {
    let (listener, at) = server();
    let door = TcpListener::bind("127.0.0.1:0").unwrap();
    for _ in 0..20 {
        drop(Peer::connect(door.local_addr().unwrap(), &open("c=pay,d=2000")));
    }
    let proxy = serve_at(door, &config(&[at], nobody(), "proxy", 1024));
    let mut stays = Peer::connect(proxy.address, &open("c=pay,d=2000"));
    let mut server = std::iter::repeat_with(|| Peer::accept(&listener));
    let mut server = server.find_map(|mut s| Some(s.hear()).filter(|l| !l.is_empty()).map(|_| s)).unwrap();
    server.say("UP 1\r\n");
    assert_eq!(stays.hear(), "UP 1\r\n");
    // One try, and only one accepted.
    figures_become(&proxy, [0, 0, 0, 1, 0, 0, 1, 1, 1]);
}

/// With as much said as is held for a session, its client's end was not looked for any more.
#[test]
fn a_client_that_said_much_and_left_is_not_sent_on() {
    let (deaf, at) = Deaf::new();
    let proxy = start_by(&patient(&config(&[at], nobody(), "pass", 1024)));
    let mut client = Peer::connect(proxy.address, &open("c=chat,d=5000,mid=1"));
    deaf.is_knocked_at();
    client.say(&"a line of its own\r\n".repeat(1000));
    drop(client);
    // None of accepted, refused and failed.
    figures_become(&proxy, [0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 1]);
    assert_eq!(heads(&deaf.listen()), [""; 0]);
}
