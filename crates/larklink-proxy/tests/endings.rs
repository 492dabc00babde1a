//! Races between the end of something (a connection, an attempt, a watch, the process) and an answer that is still due,
//! one test for each fault found. The peers hold back and release their side, so that the critical order of events
//! occurs in every run. `docs/design/endings.md` lists the cases.
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

mod harness;
use harness::peer::{Peer, WAIT_TIMEOUT, open_line};
use harness::{
    FullBacklog, config, endpoint, establish, establish_with, list, listen, metric, non_empty_first_lines,
    pending_first_lines, receive_request, refusing_address, respond, start, start_on, start_with_config,
    start_with_servers, wait_for_metrics, wait_for_shared_metrics, wait_until,
};

/// Allows connecting to take up to 4 s, which is longer than the drain grace and than the idempotency window of the
/// listener `book`, which this adds.
fn with_long_connect_timeout(config: &str) -> String {
    let config = config.replace(r#""dial_timeout_ns":250000000"#, r#""dial_timeout_ns":4000000000"#);
    config.replace(
        r#"{"name":"pay""#,
        r#"{"name":"book","idempotency":"deduplicated","group":"all","window_ns":400000000},{"name":"pay""#,
    )
}

/// Guards against a late first line: it was sent whenever the connection came up, here one second after the drain began
/// and half a second after the drain grace had ended.
#[test]
fn an_attempt_that_is_connecting_leaves_a_server_that_starts_draining() {
    let ((full_backlog, a), (second, b), (agent, discovery)) = (FullBacklog::new(), listen(), listen());
    let proxy = start_with_config(&with_long_connect_timeout(&config(&[], discovery, "proxy", 1024)));
    let mut watch = Peer::accept(&agent);
    receive_request(&mut watch);
    respond(&mut watch, &list(41, true, &[endpoint("s-0", a, "up")]));
    receive_request(&mut watch);
    let mut client = Peer::connect(proxy.address, &open_line("c=pay,d=5000"));
    full_backlog.wait_for_connection_attempt();
    respond(&mut watch, &list(42, false, &[endpoint("s-0", a, "draining"), endpoint("s-1", b, "up")]));
    let mut server = Peer::accept(&second);
    server.receive_line();
    server.send("UP 1\r\n");
    assert_eq!(client.receive_line(), "UP 1\r\n");
    assert_eq!(non_empty_first_lines(&full_backlog.listen()), [""; 0]);
}

/// Guards against a second effect: a session that may have run was sent again a second later, when the servers had
/// already dropped its idempotency key.
#[test]
fn a_session_is_not_retried_after_its_idempotency_window() {
    let ((first, a), (full_backlog, b), (agent, discovery)) = (listen(), FullBacklog::new(), listen());
    let proxy = start_with_config(&with_long_connect_timeout(&config(&[], discovery, "proxy", 1024)));
    let mut watch = Peer::accept(&agent);
    receive_request(&mut watch);
    respond(&mut watch, &list(41, true, &[endpoint("s-0", a, "up")]));
    receive_request(&mut watch);
    let mut client = Peer::connect(proxy.address, &open_line("c=book,d=5000"));
    let mut server = Peer::accept(&first);
    server.receive_line();
    respond(&mut watch, &list(42, false, &[endpoint("s-1", b, "up")]));
    receive_request(&mut watch);
    wait_for_shared_metrics(&proxy, [1, 1, 2]);
    drop(server);
    full_backlog.wait_for_connection_attempt();
    // The idempotency window. The kernel repeats the connection attempt only after it.
    thread::sleep(Duration::from_millis(400));
    let second = full_backlog.listen();
    assert_eq!(client.receive_line(), "ERR\r\n");
    assert_eq!(non_empty_first_lines(&second), [""; 0]);
}

/// Guards against attempts for a client that disconnected right after its first line. The proxy noticed only after the
/// attempt, so a server ran a session for nobody; a later version noticed before the first byte, but had already
/// connected.
#[test]
fn a_client_that_disconnects_after_its_first_line_gets_no_attempt() {
    for attributes in ["c=pay,d=2000", "c=pay,d=2000,at=s-0"] {
        let (listener, at) = listen();
        let proxy_listener = TcpListener::bind("127.0.0.1:0").unwrap();
        for _ in 0..20 {
            drop(Peer::connect(proxy_listener.local_addr().unwrap(), &open_line(attributes)));
        }
        let proxy = start_on(proxy_listener, &config(&[at], refusing_address(), "proxy", 1024));
        let mut client = Peer::connect(proxy.address, &open_line(attributes));
        let mut server = Peer::accept(&listener);
        assert_eq!(
            server.receive_line().split(' ').next(),
            Some("OPEN"),
            "{attributes}: connected for a client that had disconnected"
        );
        server.send("UP 1\r\n");
        assert_eq!(client.receive_line(), "UP 1\r\n");
        // One attempt and one accepted session.
        wait_for_metrics(&proxy, [0, 0, 0, 1, 0, 0, 1, 1, 1]);
        assert_eq!(pending_first_lines(&listener), [""; 0], "{attributes}");
    }
}

/// Guards against a check that relies on the reactor: when the command for the next attempt arrives, the kernel knows
/// that the client has disconnected, but the reactor has not reported it yet.
#[test]
fn a_client_that_disconnects_between_two_attempts_gets_no_other() {
    let (listener, at) = listen();
    let mut proxy = start_with_servers(&[at, at]);
    let client = Peer::connect(proxy.address, &open_line("c=pay,d=2000"));
    let mut server = Peer::accept(&listener);
    server.receive_line();
    proxy.hold.pause();
    server.send("BUSY\r\n");
    proxy.hold.step();
    client.close_and_wait();
    proxy.hold.resume();
    wait_for_shared_metrics(&proxy, [1, 0, 2]);
    assert_eq!(pending_first_lines(&listener), [""; 0]);
}

/// The same for a session that waits for the health check of a server.
#[test]
fn a_client_that_disconnects_as_a_health_check_returns_gets_no_attempt() {
    let (listener, at) = listen();
    // However long the health check takes, the server does not count as overloaded.
    let config = config(&[at], refusing_address(), "proxy", 1024);
    let config = config.replace(r#""mode":"proxy""#, r#""mode":"proxy","message_aim_ns":[60000000000]"#);
    let mut proxy = start_with_config(&config.replace(r#""send_cap""#, r#""probing":true,"send_cap""#));
    let client = Peer::connect(proxy.address, &open_line("c=pay,d=5000"));
    let mut health_check = Peer::accept(&listener);
    assert_eq!(health_check.receive_line(), "PING\r\n");
    wait_for_shared_metrics(&proxy, [0, 1, 1]);
    proxy.hold.pause();
    health_check.send("PONG\r\n");
    proxy.hold.step();
    client.close_and_wait();
    proxy.hold.resume();
    wait_for_shared_metrics(&proxy, [0, 0, 1]);
    assert_eq!(pending_first_lines(&listener), [""; 0]);
}

/// Guards against starvation: new connections and client disconnects were noticed only after a full event queue had
/// been handled.
#[test]
fn other_tasks_run_while_a_full_event_queue_is_handled() {
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
        let other_task = executor.spawn(async move {
            let mut turns = 0;
            while commands.len() < SESSIONS {
                turns += 1;
                future::yield_now().await;
            }
            turns
        });
        let turns = other_task.await;
        assert!(turns >= SESSIONS / 100, "{turns} turns");
    }));
}

/// Guards against a missed disconnect: once a session's read buffer was full, the end of the client's connection was no
/// longer checked.
#[test]
fn a_client_that_disconnects_with_a_full_buffer_gets_no_attempt() {
    let (full_backlog, at) = FullBacklog::new();
    let proxy =
        start_with_config(&with_long_connect_timeout(&config(&[at], refusing_address(), "pass", 1024)));
    let mut client = Peer::connect(proxy.address, &open_line("c=chat,d=5000,mid=1"));
    full_backlog.wait_for_connection_attempt();
    client.send(&"a line of its own\r\n".repeat(1000));
    drop(client);
    // It counts as none of accepted, rejected and failed.
    wait_for_metrics(&proxy, [0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 1]);
    assert_eq!(non_empty_first_lines(&full_backlog.listen()), [""; 0]);
}

/// Guards against long waits after an error response from discovery or a response that never ends: backoffs of up to
/// 1.25 s, and 3 s for a response that had begun, were longer than the grace of a drain that discovery announced
/// meanwhile.
#[test]
fn discovery_is_polled_again_within_the_drain_grace_after_a_failed_response() {
    let error_response = "HTTP/1.1 503 Overbooked\r\ncontent-length: 0\r\n\r\n";
    // The response timeout grows after several timeouts, so this case is tried once.
    for (response, times) in [(error_response, 10), ("HTTP/1.1 200 OK\r\ncontent-length: 99\r\n\r\n{", 1)] {
        let (agent, discovery) = listen();
        let _proxy = start(&[], discovery, "proxy", 1024);
        let (mut gaps, mut held) = (Vec::new(), Vec::new());
        let mut connection = Peer::accept(&agent);
        for _ in 0..times {
            receive_request(&mut connection);
            let begun = Instant::now();
            connection.send(response);
            held.push(connection);
            connection = Peer::accept(&agent);
            gaps.push(begun.elapsed());
        }
        assert!(gaps.iter().all(|gap| *gap < Duration::from_millis(500)), "{response}: {gaps:?}");
    }
}

/// Guards against a backoff of 50 ms or more after each close: discovery already counts the proxy as notified in that
/// time.
#[test]
fn a_persistent_discovery_connection_that_closes_is_replaced_at_once() {
    let (agent, discovery) = listen();
    let _proxy = start(&[], discovery, "proxy", 1024);
    let mut waited = Duration::ZERO;
    for index in 41..61 {
        let mut connection = Peer::accept(&agent);
        receive_request(&mut connection);
        respond(&mut connection, &list(index, true, &[]));
        receive_request(&mut connection);
        let ended = Instant::now();
        drop(connection);
        let mut connection = Peer::accept(&agent);
        waited += ended.elapsed();
        receive_request(&mut connection);
    }
    assert!(waited < Duration::from_millis(20 * 50), "{waited:?} for 20 connections");
}

/// Guards against an outdated list: a late second response with the complete list from before a drain made the draining
/// server ready again.
#[test]
fn a_second_response_with_an_older_list_is_ignored() {
    let ((first, a), (second, b), (agent, discovery)) = (listen(), listen(), listen());
    let proxy = start(&[], discovery, "proxy", 1024);
    let mut watch = Peer::accept(&agent);
    let complete_list = list(41, true, &[endpoint("s-0", a, "up"), endpoint("s-1", b, "up")]);
    receive_request(&mut watch);
    respond(&mut watch, &complete_list);
    receive_request(&mut watch);
    respond(&mut watch, &list(42, false, &[endpoint("s-0", a, "draining")]));
    receive_request(&mut watch);
    respond(&mut watch, &complete_list);
    let mut watch = Peer::accept(&agent);
    assert_eq!(receive_request(&mut watch), "/api/targets");
    for key in 0..8 {
        establish_with(&open_line(&format!("c=chat,t=acme,d=2000,g={key}")), proxy.address, &second);
    }
    assert_eq!(non_empty_first_lines(&first), [""; 0]);
}

/// Guards against a reset: an idle connection was dropped at its timeout without a final read, and a request that had
/// just arrived was answered with a reset.
#[test]
fn an_idle_connection_is_closed_gracefully() {
    let proxy = start_with_servers(&[]);
    let mut idle = Peer::connect(proxy.address, "PING\r\n");
    assert_eq!(idle.receive_line(), "PONG\r\n");
    idle.expect_end();
    // Lines that arrive at that moment are read and discarded, and the clients see the end of the stream instead of a
    // reset.
    let mut idle: Vec<_> = (0..8).map(|_| Peer::connect(proxy.address, "PING\r\n")).collect();
    for peer in &mut idle {
        assert_eq!(peer.receive_line(), "PONG\r\n");
    }
    for peer in &mut idle {
        peer.expect_end();
        peer.send(&open_line("c=chat,d=2000"));
        peer.expect_end();
        peer.send(&open_line("c=chat,d=2000"));
        peer.expect_end();
    }
}

/// Guards against three faults at a shutdown: connections in the kernel's accept queue were reset when the listener was
/// closed, those that had sent nothing yet were cut off at the exit, and a session with a long dial timeout that came
/// at the last moment was not answered.
#[test]
fn a_stopping_proxy_answers_all_accepted_connections() {
    let (listener, at) = listen();
    let proxy = start_with_servers(&[at]);
    let mut idle = Peer::connect(proxy.address, "PING\r\n");
    assert_eq!(idle.receive_line(), "PONG\r\n");
    let mut pay_client = Peer::connect(proxy.address, &open_line("c=pay,d=60000"));
    let mut server = Peer::accept(&listener);
    server.receive_line();
    drop(proxy.stop);
    let mut chat_client = Peer::connect(proxy.address, &open_line("c=chat,d=60000"));
    let mut other_server = Peer::accept(&listener);
    other_server.receive_line();
    idle.expect_end();
    // Both may have run, so neither is rejected.
    assert_eq!(pay_client.receive_line(), "ERR\r\n");
    assert_eq!(chat_client.receive_line(), "ERR\r\n");
    proxy.thread.join().unwrap();
}

/// Guards against a missing answer: a connection of which half the first line had arrived at a shutdown was closed
/// without one before the rest came.
#[test]
fn a_partial_first_line_at_a_shutdown_is_answered() {
    let (listener, at) = listen();
    let longer = config(&[at], refusing_address(), "proxy", 1024).replace("300000000", "2000000000");
    let proxy = start_with_config(&longer);
    let mut idle = Peer::connect(proxy.address, "PING\r\n");
    assert_eq!(idle.receive_line(), "PONG\r\n");
    let head = open_line("c=chat,d=2000");
    let (first, rest) = head.split_at(12);
    let mut completed = Peer::connect(proxy.address, first);
    let mut partial = Peer::connect(proxy.address, &format!("PING\r\n{first}"));
    assert_eq!(partial.receive_line(), "PONG\r\n");
    drop(proxy.stop);
    // A connection without any part of a line is closed shortly after the listener.
    idle.expect_end();
    completed.send(rest);
    let mut server = Peer::accept(&listener);
    server.receive_line();
    server.send("UP 1\r\n");
    assert_eq!(completed.receive_line(), "UP 1\r\n");
    assert_eq!(partial.receive_line(), "BUSY\r\n");
    proxy.thread.join().unwrap();
}

/// Guards against two faults: a session that was established before the start waited for its server for up to 40 s
/// although the process was stopping, and one whose client disconnected was counted as failed.
#[test]
fn a_session_from_before_the_start_is_answered_at_a_shutdown() {
    let (full_backlog, at) = FullBacklog::new();
    let proxy = start_with_servers(&[at]);
    let mut client = Peer::connect(proxy.address, &open_line("c=chat,d=2000,at=s-0"));
    drop(Peer::connect(proxy.address, &open_line("c=pay,d=2000,at=s-0")));
    full_backlog.wait_for_connection_attempt();
    wait_for_metrics(&proxy, [0, 0, 0, 0, 0, 0, 0, 1]);
    drop(proxy.stop);
    assert_eq!(client.receive_line(), "ERR\r\n");
    proxy.thread.join().unwrap();
    assert_eq!(pending_first_lines(&full_backlog.listen()), [""; 0]);
}

/// The metric reveals processes that serve nobody, so it counts only rejections without an attempt.
#[test]
fn sessions_rejected_without_an_attempt_are_counted() {
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

/// Guards against an undetected silent server: while a write to it was blocked, its unanswered messages were not
/// checked, and the session stayed open for as long as both connections did.
#[test]
fn a_session_whose_server_stops_reading_is_migrated() {
    let (listener, at) = listen();
    let proxy = start_with_servers(&[at]);
    let (mut client, _server) = establish(proxy.address, &listener);
    let mut sender = client.0.get_ref().try_clone().unwrap();
    let flood =
        thread::spawn(move || while sender.write_all(&[b"a line\r\n".as_slice(); 999].concat()).is_ok() {});
    assert_eq!(client.receive_line(), "MOVE\r\n");
    flood.join().unwrap();
}

/// 60 clients send 2,000 health checks each, and 60 send one byte at a time, and the list has 1,024 servers: a process
/// that has just started is ready in time, serves other clients at once meanwhile, and then has descriptors left for
/// 400 sessions.
#[test]
fn a_process_that_starts_during_a_flood_serves_sessions() {
    let ((listener, at), (agent, discovery)) = (listen(), listen());
    let proxy_listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let to = proxy_listener.local_addr().unwrap();
    let mut flood: Vec<_> = (0..60).map(|_| Peer::connect(to, &"PING\r\n".repeat(2000))).collect();
    flood.extend((0..60).map(|_| Peer::connect(to, "OPEN 1 2 c=cha")));
    let begun = Instant::now();
    let proxy = start_on(proxy_listener, &config(&[], discovery, "proxy", 1024));
    let mut watch = Peer::accept(&agent);
    receive_request(&mut watch);
    let all: Vec<_> = (0..1024).map(|n| endpoint(&format!("s-{n:08x}"), at, "up")).collect();
    respond(&mut watch, &list(41, true, &all));
    wait_until(|| proxy.metrics.is_ready());
    assert!(begun.elapsed() < Duration::from_secs(10), "ready after {:?}", begun.elapsed());
    let slow_senders = thread::spawn(move || {
        // One byte every 50 ms until their timeout: none of them completes a line.
        while flood[60..].iter_mut().filter_map(|c| c.0.get_mut().write_all(b"x").ok()).count() > 0 {
            thread::sleep(Duration::from_millis(50));
        }
        flood
    });
    for _ in 0..20 {
        let begun = Instant::now();
        let (mut client, mut server) = establish(proxy.address, &listener);
        client.send("one\r\n");
        assert_eq!(server.receive_line(), "one\r\n");
        assert!(begun.elapsed() < Duration::from_secs(1), "{:?} for a session", begun.elapsed());
    }
    for mut one in slow_senders.join().unwrap().drain(60..) {
        assert_eq!(one.receive_line(), "ERR\r\n");
    }
    // These sessions use 800 of the 992 descriptors; a leak of up to 192 goes unnoticed.
    let sessions: Vec<_> = (0..400).map(|_| establish(proxy.address, &listener)).collect();
    drop(sessions);
}

/// Guards against a leak: a client that does not read was detected only while a message of its own was unanswered;
/// without one it held its server's connection for ever.
#[test]
fn a_client_that_neither_reads_nor_sends_releases_its_server() {
    let (listener, at) = listen();
    let proxy = start_with_servers(&[at]);
    let (client, mut server) = establish(proxy.address, &listener);
    let (sender, released) = std::sync::mpsc::channel();
    thread::spawn(move || {
        // Far more than all buffers in between can hold.
        let lines = "a line of the server's own\r\n".repeat(2000);
        while server.0.get_mut().write_all(lines.as_bytes()).is_ok() {}
        sender.send(())
    });
    released.recv_timeout(2 * WAIT_TIMEOUT).expect("the connection to the server stays open");
    drop(client);
}

/// Guards against a session that is served twice: its server was slow to close after `BYE` and the proxy stopped
/// meanwhile; asked to migrate after `BYE`, the client reconnected for a session that was complete.
#[test]
fn a_completed_session_is_not_migrated() {
    let (listener, at) = listen();
    // With this dial timeout, a shutdown migrates all sessions before the proxy gives up waiting for the server to
    // close.
    let proxy =
        start_with_config(&config(&[at], refusing_address(), "proxy", 1024).replace("300000000", "1000000"));
    let (mut client, mut server) = establish(proxy.address, &listener);
    server.send("BYE\r\n");
    assert_eq!(client.receive_line(), "BYE\r\n");
    drop(proxy.stop);
    client.expect_end();
    drop(server);
}
