//! What ends in the instant in which something is still owed, one test for each fault found: the far side holds and
//! releases, so that the bad order happens every time. `docs/design/endings.md` has the list.
use std::io::Write;
use std::net::TcpListener;
use std::rc::Rc;
use std::thread;
use std::time::{Duration, Instant};

use async_executor::LocalExecutor;
use futures_lite::future;
use larklink_balancer::{SessionRequest, TickDuration};
use larklink_proxy::config::Config;
use larklink_proxy::decision_task::DecisionTask;
use larklink_proxy::events::{self, DecisionEvent};
use larklink_proxy::limiter::ConnectionLimiter;
use larklink_proxy::metrics::Metrics;
use larklink_proxy::upstream::health_check::HealthChecker;

mod stage;
use stage::peer::{Peer, WAIT_TIMEOUT, open_line};
use stage::{
    FullBacklog, config, endpoint, establish, establish_with, first_lines, last_metrics_become, list, listen,
    metric, metrics_become, open_lines, receive_request, refusing_address, respond, start, start_on,
    start_with_config, start_with_servers, wait_until,
};

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
    let ((deaf, a), (second, b), (agent, discovery)) = (FullBacklog::new(), listen(), listen());
    let proxy = start_with_config(&patient(&config(&[], discovery, "proxy", 1024)));
    let mut watch = Peer::accept(&agent);
    receive_request(&mut watch);
    respond(&mut watch, &list(41, true, &[endpoint("s-0", a, "up")]));
    receive_request(&mut watch);
    let mut client = Peer::connect(proxy.address, &open_line("c=pay,d=5000"));
    deaf.wait_for_connection_attempt();
    respond(&mut watch, &list(42, false, &[endpoint("s-0", a, "draining"), endpoint("s-1", b, "up")]));
    let mut server = Peer::accept(&second);
    server.receive_line();
    server.send("UP 1\r\n");
    assert_eq!(client.receive_line(), "UP 1\r\n");
    assert_eq!(open_lines(&deaf.listen()), [""; 0]);
}

/// A reference that may have run was sent again a second later, when the servers had forgotten it: a second effect.
#[test]
fn a_reference_is_not_sent_once_its_window_is_over() {
    let ((first, a), (deaf, b), (agent, discovery)) = (listen(), FullBacklog::new(), listen());
    let proxy = start_with_config(&patient(&config(&[], discovery, "proxy", 1024)));
    let mut watch = Peer::accept(&agent);
    receive_request(&mut watch);
    respond(&mut watch, &list(41, true, &[endpoint("s-0", a, "up")]));
    receive_request(&mut watch);
    let mut client = Peer::connect(proxy.address, &open_line("c=book,d=5000"));
    let mut server = Peer::accept(&first);
    server.receive_line();
    respond(&mut watch, &list(42, false, &[endpoint("s-1", b, "up")]));
    receive_request(&mut watch);
    last_metrics_become(&proxy, [1, 1, 2]);
    drop(server);
    deaf.wait_for_connection_attempt();
    // The time of the window itself; who knocked does so again later than that.
    thread::sleep(Duration::from_millis(400));
    let second = deaf.listen();
    assert_eq!(client.receive_line(), "ERR\r\n");
    assert_eq!(open_lines(&second), [""; 0]);
}

/// The end of a connection came with its first line and was looked for only after the dial: the server ran what
/// nobody waited for. Then it was looked for before the first byte, when the attempt had begun with its connection.
#[test]
fn a_client_that_left_with_its_first_line_is_not_sent_on() {
    for ask in ["c=pay,d=2000", "c=pay,d=2000,at=s-0"] {
        let (listener, at) = listen();
        let door = TcpListener::bind("127.0.0.1:0").unwrap();
        for _ in 0..20 {
            drop(Peer::connect(door.local_addr().unwrap(), &open_line(ask)));
        }
        let proxy = start_on(door, &config(&[at], refusing_address(), "proxy", 1024));
        let mut stays = Peer::connect(proxy.address, &open_line(ask));
        let mut server = Peer::accept(&listener);
        assert_eq!(
            server.receive_line().split(' ').next(),
            Some("OPEN"),
            "{ask}: connected for one that had left"
        );
        server.send("UP 1\r\n");
        assert_eq!(stays.receive_line(), "UP 1\r\n");
        // One try, and only one accepted.
        metrics_become(&proxy, [0, 0, 0, 1, 0, 0, 1, 1, 1]);
        assert_eq!(first_lines(&listener), [""; 0], "{ask}");
    }
}

/// Its end was in the kernel when the word came to dial again, and the reactor had not told of it yet.
#[test]
fn a_client_that_leaves_between_two_dials_gets_no_other() {
    let (listener, at) = listen();
    let mut proxy = start_with_servers(&[at, at]);
    let client = Peer::connect(proxy.address, &open_line("c=pay,d=2000"));
    let mut server = Peer::accept(&listener);
    server.receive_line();
    proxy.hold.stop();
    server.send("BUSY\r\n");
    proxy.hold.step();
    client.close_and_wait();
    proxy.hold.go();
    last_metrics_become(&proxy, [1, 0, 2]);
    assert_eq!(first_lines(&listener), [""; 0]);
}

/// The same for one that waits until a server has been asked what it bears.
#[test]
fn a_client_that_leaves_as_its_probe_comes_back_is_not_sent_on() {
    let (listener, at) = listen();
    // However long the probe takes, it finds no crowd.
    let config = config(&[at], refusing_address(), "proxy", 1024);
    let config = config.replace(r#""mode":"proxy""#, r#""mode":"proxy","message_aim_ns":[60000000000]"#);
    let mut proxy = start_with_config(&config.replace(r#""send_cap""#, r#""probing":true,"send_cap""#));
    let client = Peer::connect(proxy.address, &open_line("c=pay,d=5000"));
    let mut probe = Peer::accept(&listener);
    assert_eq!(probe.receive_line(), "PING\r\n");
    last_metrics_become(&proxy, [0, 1, 1]);
    proxy.hold.stop();
    probe.send("PONG\r\n");
    proxy.hold.step();
    client.close_and_wait();
    proxy.hold.go();
    last_metrics_become(&proxy, [0, 0, 1]);
    assert_eq!(first_lines(&listener), [""; 0]);
}

/// Connections that come up and clients that leave were looked at only when a whole queue had been decided.
#[test]
fn others_have_their_turn_while_many_wait_for_the_decisions() {
    const SESSIONS: usize = 1000;
    let config: Config =
        serde_json::from_str(&config(&[refusing_address()], refusing_address(), "proxy", 1024)).unwrap();
    let executor = Rc::new(LocalExecutor::new());
    let (queue, events) = events::queue();
    let metrics = Metrics::new(&config.settings.listeners);
    let (first_list_pending, _first_list) = async_channel::bounded(1);
    let (settings, cached_endpoints) = (&config.settings, config.cached_endpoints.endpoints);
    let health_checker = Rc::new(HealthChecker::new(settings, queue.clone(), ConnectionLimiter::new(64)));
    let task = DecisionTask::new(
        settings,
        7,
        cached_endpoints,
        health_checker,
        Rc::clone(&executor),
        metrics,
        first_list_pending,
    );
    let (sender, commands) = async_channel::unbounded();
    async_io::block_on(executor.run(async {
        for session in 0..SESSIONS as u32 {
            let request =
                SessionRequest { dial_timeout: TickDuration::from_secs(2), ..SessionRequest::default() };
            queue
                .send(DecisionEvent::OpenSession {
                    session,
                    received_at: Instant::now(),
                    request,
                    commands: sender.clone(),
                })
                .await;
        }
        executor.spawn(task.run(events)).detach();
        let others = executor.spawn(async move {
            let mut turns = 0;
            while commands.len() < SESSIONS {
                turns += 1;
                future::yield_now().await;
            }
            turns
        });
        let turns = others.await;
        assert!(turns >= SESSIONS / 100, "{turns} turns");
    }));
}

/// With as much said as is held for a session, its client's end was not looked for any more.
#[test]
fn a_client_that_said_much_and_left_is_not_sent_on() {
    let (deaf, at) = FullBacklog::new();
    let proxy = start_with_config(&patient(&config(&[at], refusing_address(), "pass", 1024)));
    let mut client = Peer::connect(proxy.address, &open_line("c=chat,d=5000,mid=1"));
    deaf.wait_for_connection_attempt();
    client.send(&"a line of its own\r\n".repeat(1000));
    drop(client);
    // None of accepted, refused and failed.
    metrics_become(&proxy, [0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 1]);
    assert_eq!(open_lines(&deaf.listen()), [""; 0]);
}

/// An agent that refuses, or whose answer never ends, has what it has: pauses of up to 1.25 s, and 3 s for an answer
/// that had begun, were longer than the grace of a drain that it told of meanwhile.
#[test]
fn an_agent_that_refuses_or_drips_is_asked_again_within_the_grace() {
    let refused = "HTTP/1.1 503 Overbooked\r\ncontent-length: 0\r\n\r\n";
    // After each that took too long the next may take twice as long.
    for (spoilt, times) in [(refused, 10), ("HTTP/1.1 200 OK\r\ncontent-length: 99\r\n\r\n{", 1)] {
        let (agent, discovery) = listen();
        let _proxy = start(&[], discovery, "proxy", 1024);
        let (mut gaps, mut held) = (Vec::new(), Vec::new());
        let mut call = Peer::accept(&agent);
        for _ in 0..times {
            receive_request(&mut call);
            let begun = Instant::now();
            call.send(spoilt);
            held.push(call);
            call = Peer::accept(&agent);
            gaps.push(begun.elapsed());
        }
        assert!(gaps.iter().all(|gap| *gap < Duration::from_millis(500)), "{spoilt}: {gaps:?}");
    }
}

/// A pause of 50 ms and more each time, in which a change counts as told.
#[test]
fn a_kept_connection_that_ends_is_replaced_at_once() {
    let (agent, discovery) = listen();
    let _proxy = start(&[], discovery, "proxy", 1024);
    let mut waited = Duration::ZERO;
    for index in 41..61 {
        let mut call = Peer::accept(&agent);
        receive_request(&mut call);
        respond(&mut call, &list(index, true, &[]));
        receive_request(&mut call);
        let ended = Instant::now();
        drop(call);
        let mut call = Peer::accept(&agent);
        waited += ended.elapsed();
        receive_request(&mut call);
    }
    assert!(waited < Duration::from_millis(20 * 50), "{waited:?} for 20 connections");
}

/// The whole list as it was before a drain, answered a second time and late, made the server ready again.
#[test]
fn a_second_answer_with_an_older_list_is_not_taken() {
    let ((first, a), (second, b), (agent, discovery)) = (listen(), listen(), listen());
    let proxy = start(&[], discovery, "proxy", 1024);
    let mut watch = Peer::accept(&agent);
    let whole = list(41, true, &[endpoint("s-0", a, "up"), endpoint("s-1", b, "up")]);
    receive_request(&mut watch);
    respond(&mut watch, &whole);
    receive_request(&mut watch);
    respond(&mut watch, &list(42, false, &[endpoint("s-0", a, "draining")]));
    receive_request(&mut watch);
    respond(&mut watch, &whole);
    let mut watch = Peer::accept(&agent);
    assert_eq!(receive_request(&mut watch), "/api/targets");
    for key in 0..8 {
        establish_with(&open_line(&format!("c=chat,t=acme,d=2000,g={key}")), proxy.address, &second);
    }
    assert_eq!(open_lines(&first), [""; 0]);
}

/// It was dropped after its time without a last look: a request that had come met a reset.
#[test]
fn who_rests_until_it_is_ended_is_ended_in_good_order() {
    let proxy = start_with_servers(&[]);
    let mut rests = Peer::connect(proxy.address, "PING\r\n");
    assert_eq!(rests.receive_line(), "PONG\r\n");
    rests.expect_end();
    // What comes in that instant is read to its end, and no reset takes the end away.
    let mut rests: Vec<_> = (0..8).map(|_| Peer::connect(proxy.address, "PING\r\n")).collect();
    for peer in &mut rests {
        assert_eq!(peer.receive_line(), "PONG\r\n");
    }
    for peer in &mut rests {
        peer.expect_end();
        peer.send(&open_line("c=chat,d=2000"));
        peer.expect_end();
        peer.send(&open_line("c=chat,d=2000"));
        peer.expect_end();
    }
}

/// Connections that the kernel held for the proxy were reset as its listener was closed, and those that had said nothing
/// yet were cut when it ended; one that came at the last moment with all its time had no answer.
#[test]
fn a_proxy_that_stops_answers_all_that_it_had_taken() {
    let (listener, at) = listen();
    let proxy = start_with_servers(&[at]);
    let mut rests = Peer::connect(proxy.address, "PING\r\n");
    assert_eq!(rests.receive_line(), "PONG\r\n");
    let mut hangs = Peer::connect(proxy.address, &open_line("c=pay,d=60000"));
    let mut server = Peer::accept(&listener);
    server.receive_line();
    drop(proxy.stop);
    let mut waits = Peer::connect(proxy.address, &open_line("c=chat,d=60000"));
    let mut other = Peer::accept(&listener);
    other.receive_line();
    rests.expect_end();
    // It may have run: no harmless refusal. The other may run again at any time.
    assert_eq!(hangs.receive_line(), "ERR\r\n");
    assert_eq!(waits.receive_line(), "ERR\r\n");
    proxy.thread.join().unwrap();
}

/// Cut off after half its first line: the rest met a connection that had been shut with no answer.
#[test]
fn a_request_in_pieces_at_a_stop_is_answered() {
    let (listener, at) = listen();
    let longer = config(&[at], refusing_address(), "proxy", 1024).replace("300000000", "2000000000");
    let proxy = start_with_config(&longer);
    let mut rests = Peer::connect(proxy.address, "PING\r\n");
    assert_eq!(rests.receive_line(), "PONG\r\n");
    let head = open_line("c=chat,d=2000");
    let (first, rest) = head.split_at(12);
    let mut whole = Peer::connect(proxy.address, first);
    let mut half = Peer::connect(proxy.address, &format!("PING\r\n{first}"));
    assert_eq!(half.receive_line(), "PONG\r\n");
    drop(proxy.stop);
    // Who has said nothing more ends with the listener.
    rests.expect_end();
    whole.send(rest);
    let mut server = Peer::accept(&listener);
    server.receive_line();
    server.send("UP 1\r\n");
    assert_eq!(whole.receive_line(), "UP 1\r\n");
    assert_eq!(half.receive_line(), "BUSY\r\n");
    proxy.thread.join().unwrap();
}

/// One that stood before the start waited for its server for up to 40 s, whatever became of the process meanwhile; and
/// one that left was counted as failed.
#[test]
fn a_connection_of_before_has_an_answer_when_the_proxy_stops() {
    let (deaf, at) = FullBacklog::new();
    let proxy = start_with_servers(&[at]);
    let mut waits = Peer::connect(proxy.address, &open_line("c=chat,d=2000,at=s-0"));
    drop(Peer::connect(proxy.address, &open_line("c=pay,d=2000,at=s-0")));
    deaf.wait_for_connection_attempt();
    metrics_become(&proxy, [0, 0, 0, 0, 0, 0, 0, 1]);
    drop(proxy.stop);
    assert_eq!(waits.receive_line(), "ERR\r\n");
    proxy.thread.join().unwrap();
    assert_eq!(first_lines(&deaf.listen()), [""; 0]);
}

/// Which refusals came without a dial, for the figure that tells of processes that serve nobody.
#[test]
fn sessions_that_were_refused_without_a_dial_are_counted() {
    const NAME: &str = "larklink_sessions_refused_without_dial_total";
    let (listener, at) = listen();
    let proxy = start_with_servers(&[at]);
    let mut client = Peer::connect(proxy.address, &open_line("c=pay,d=2000"));
    for _ in 0..2 {
        let mut server = Peer::accept(&listener);
        server.receive_line();
        server.send("BUSY\r\n");
    }
    assert!(client.receive_line().starts_with("BUSY "));
    assert_eq!(metric(&proxy, NAME), 0);
    let proxy = start_with_servers(&[]);
    for n in 1..4 {
        assert!(Peer::connect(proxy.address, &open_line("c=pay,d=2000")).receive_line().starts_with("BUSY "));
        assert_eq!(metric(&proxy, NAME), n);
    }
}

/// Its server took nothing any more, and nobody looked: the session stood for as long as both sides did.
#[test]
fn a_session_whose_server_takes_no_more_lines_is_moved() {
    let (listener, at) = listen();
    let proxy = start_with_servers(&[at]);
    let (mut client, _server) = establish(proxy.address, &listener);
    let mut says = client.0.get_ref().try_clone().unwrap();
    let flood =
        thread::spawn(move || while says.write_all(&[b"a line\r\n".as_slice(); 999].concat()).is_ok() {});
    assert_eq!(client.receive_line(), "MOVE\r\n");
    flood.join().unwrap();
}

/// Crowds that probe without end, say a byte at a time, or say nothing, on a list of 1,024 servers: a process that has
/// just started is ready in time, others are served at once meanwhile, and all descriptors come back.
#[test]
fn a_process_that_starts_in_a_flood_serves_all_the_same() {
    let ((listener, at), (agent, discovery)) = (listen(), listen());
    let door = TcpListener::bind("127.0.0.1:0").unwrap();
    let to = door.local_addr().unwrap();
    let mut crowd: Vec<_> = (0..60).map(|_| Peer::connect(to, &"PING\r\n".repeat(2000))).collect();
    crowd.extend((0..60).map(|_| Peer::connect(to, "OPEN 1 2 c=cha")));
    let begun = Instant::now();
    let proxy = start_on(door, &config(&[], discovery, "proxy", 1024));
    let mut watch = Peer::accept(&agent);
    receive_request(&mut watch);
    let all: Vec<_> = (0..1024).map(|n| endpoint(&format!("s-{n:08x}"), at, "up")).collect();
    respond(&mut watch, &list(41, true, &all));
    wait_until(|| proxy.metrics.is_ready());
    assert!(begun.elapsed() < Duration::from_secs(10), "ready after {:?}", begun.elapsed());
    let dripping = thread::spawn(move || {
        // A byte each now and then, up to the end of its time: none of them is a whole line.
        while crowd[60..].iter_mut().filter_map(|c| c.0.get_mut().write_all(b"x").ok()).count() > 0 {
            thread::sleep(Duration::from_millis(50));
        }
        crowd
    });
    for _ in 0..20 {
        let begun = Instant::now();
        let (mut client, mut server) = establish(proxy.address, &listener);
        client.send("one\r\n");
        assert_eq!(server.receive_line(), "one\r\n");
        assert!(begun.elapsed() < Duration::from_secs(1), "{:?} for a session", begun.elapsed());
    }
    for mut one in dripping.join().unwrap().drain(60..) {
        assert_eq!(one.receive_line(), "ERR\r\n");
    }
    // With nearly all descriptors asked for once more, none is missing.
    let again: Vec<_> = (0..400).map(|_| establish(proxy.address, &listener)).collect();
    drop(again);
}

/// It was looked at only while a line of its was out: without one it held its server's connection for ever.
#[test]
fn a_client_that_reads_nothing_and_says_nothing_lets_its_server_go() {
    let (listener, at) = listen();
    let proxy = start_with_servers(&[at]);
    let (client, mut server) = establish(proxy.address, &listener);
    let (tell, gone) = std::sync::mpsc::channel();
    thread::spawn(move || {
        // Far more than all buffers between hold.
        let lines = "a line of the server's own\r\n".repeat(2000);
        while server.0.get_mut().write_all(lines.as_bytes()).is_ok() {}
        tell.send(())
    });
    gone.recv_timeout(2 * WAIT_TIMEOUT).expect("its server is held");
    drop(client);
}

/// Its server was slow to close after its last word, and the proxy stopped meanwhile: told to move after that, its client
/// came again for what had been served to its end.
#[test]
fn a_session_that_was_served_to_its_end_is_not_moved() {
    let (listener, at) = listen();
    // A stop moves all before the server is given up that does not close.
    let proxy =
        start_with_config(&config(&[at], refusing_address(), "proxy", 1024).replace("300000000", "1000000"));
    let (mut client, mut server) = establish(proxy.address, &listener);
    server.send("BYE\r\n");
    assert_eq!(client.receive_line(), "BYE\r\n");
    drop(proxy.stop);
    client.expect_end();
    drop(server);
}
