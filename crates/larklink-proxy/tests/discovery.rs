//! The time until a change of the endpoint list arrives after failed polls: its bound for all settings, and proxies
//! whose scripted discovery service fails in every order of failures and then sends a change.
#![allow(clippy::unwrap_used, reason = "a test stops where its setup fails")]
use std::io::{BufRead, Read};
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use larklink_balancer::TickDuration;
use larklink_proxy::clock::to_duration;
use larklink_proxy::discovery::schedule::{
    LONGEST_SERVICE_TIME, NOTIFICATION_DEADLINE, PollSchedule, SCHEDULING_MARGIN,
};
use larklink_proxy::discovery::watch_state::{ListHeader, PollFailure, WatchState};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

mod harness;
use harness::peer::{Peer, WAIT_TIMEOUT, open_line};
use harness::{
    FullBacklog, Proxy, config, endpoint, establish_with, list, listen, non_empty_first_lines,
    receive_request, respond, start, start_with_config, wait_for_shared_metrics, wait_until,
};

fn ticks(count: u64) -> TickDuration {
    TickDuration::from_ticks(count)
}

/// Durations in ticks: 0, 0.1 ms to about a day in geometric steps, and a very large one.
fn durations() -> impl Iterator<Item = u64> + Clone {
    std::iter::once(0).chain((0..120).map(|n| 1.19_f64.powi(n) as u64)).chain([u64::MAX / 100])
}

#[test]
fn the_notification_delay_stays_within_its_bound_for_all_settings() {
    for (discovery_deadline, grace) in
        durations().flat_map(|deadline| durations().map(move |grace| (deadline, grace)))
    {
        for (polled_discovery, proxies) in [(false, 0), (true, 0), (true, 1), (true, 3), (true, 400)] {
            let schedule = PollSchedule::new(ticks(discovery_deadline), ticks(grace), polled_discovery)
                .with_proxies(proxies);
            let case = format!(
                "discovery_deadline {discovery_deadline}, drain_grace {grace}, {polled_discovery}: {schedule:?}"
            );
            assert_notified_within_deadline(&schedule, &case);
            assert_orders_of_failures_within_deadline(&schedule, &case);
            // Polls are not repeated in a tight loop.
            assert!(schedule.failure_interval >= Duration::from_millis(10), "{case}");
            if polled_discovery {
                continue;
            }
            // However long an agent was unreachable, its return is noticed within half of the drain grace.
            let grace = to_duration(ticks(grace));
            assert!(
                grace < Duration::from_millis(40) || schedule.longest_time_to_poll() <= grace / 2,
                "{case}"
            );
            // An agent is polled again within a quarter of the drain grace, or of 40 ms if the grace is shorter.
            let quarter = grace.max(Duration::from_millis(40)) / 4;
            assert!(
                grace.is_zero() || schedule.failure_interval.max(schedule.unanswered_interval(40)) <= quarter,
                "{case}"
            );
        }
    }
}

/// An answer that takes as long as a shared service may work on it arrives in time after the failure of the poll in
/// flight, and one that takes as long as usual after three failures.
fn assert_notified_within_deadline(schedule: &PollSchedule, case: &str) {
    let bound = NOTIFICATION_DEADLINE - SCHEDULING_MARGIN;
    let usual_response_time = Duration::from_millis(400);
    let within =
        |before, after, response, bound| schedule.max_notification_delay(before, after) + response <= bound;
    assert!(schedule.longest_time_to_poll() + LONGEST_SERVICE_TIME <= bound, "{case}");
    assert!((0..40).all(|failures| within(failures, 1, LONGEST_SERVICE_TIME, bound)), "{case}");
    assert!(within(0, 3, usual_response_time, bound), "{case}");
    // After SIGHUP.
    let bound_after_sighup = Duration::from_secs(4) - SCHEDULING_MARGIN;
    assert!(within(1, 2, usual_response_time, bound_after_sighup), "{case}");
}

/// Three polls that are not answered or are rejected, in every order: bit n of `order` is set if poll n is rejected.
fn assert_orders_of_failures_within_deadline(schedule: &PollSchedule, case: &str) {
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let started = Instant::now();
    let list = ListHeader { index: 41, complete: true, empty: false };
    for order in 0..8 {
        let mut state = WatchState::new(*schedule, true, 0, started);
        state.start_poll(started, &mut rng);
        state.record_list(list, false, started, started, &mut rng);
        for poll in 0..3 {
            let now = state.next_poll_at();
            state.start_poll(now, &mut rng);
            if order >> poll & 1 == 1 {
                // As late as it can be noticed.
                state.record_failure(PollFailure::Overloaded, state.next_poll_at(), &mut rng);
            } else {
                state.record_unanswered();
            }
        }
        assert!(
            state.next_poll_at() - started <= schedule.max_notification_delay(0, 3),
            "{case}, order {order:03b}"
        );
    }
}

/// Guards against a schedule that keeps its bound by polling more often: 300 proxies at a service that answers none of
/// them polled it every 2.3 s each, or every 0.47 s if it rejected them.
#[test]
fn a_large_fleet_polls_an_unavailable_service_rarely() {
    let schedule = PollSchedule::new(ticks(100_000), ticks(20_000), true).with_proxies(300);
    let mut rng = ChaCha8Rng::seed_from_u64(8);
    let mut mean_interval = |rejects: bool| {
        let started = Instant::now();
        let mut state = WatchState::new(schedule, true, 0, started);
        for _ in 0..200 {
            let now = state.next_poll_at();
            state.start_poll(now, &mut rng);
            if rejects {
                state.record_failure(PollFailure::Overloaded, now, &mut rng);
            } else {
                state.record_unanswered();
            }
        }
        (state.next_poll_at() - started) / 200
    };
    let (unanswered, rejected) = (mean_interval(false), mean_interval(true));
    assert!(unanswered >= Duration::from_millis(2_300), "{unanswered:?}");
    assert!(rejected >= Duration::from_millis(470), "{rejected:?}");
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Failure {
    /// The request is received and never answered.
    Hangs,
    Rejects,
    /// The response begins and never ends; a byte is sent from time to time.
    Trickles,
    Resets,
}

const FAILURES: [Failure; 4] = [Failure::Hangs, Failure::Rejects, Failure::Trickles, Failure::Resets];

/// Fails the next poll, and returns when it arrived. Its connection is kept open in `open_connections`.
fn fail_poll(
    agent: &TcpListener,
    failure: Failure,
    poll: Option<Peer>,
    open_connections: &mut Vec<Peer>,
) -> Instant {
    let mut poll = poll.unwrap_or_else(|| {
        let mut poll = Peer::accept(agent);
        receive_request(&mut poll);
        poll
    });
    let arrived_at = Instant::now();
    match failure {
        Failure::Hangs => open_connections.push(poll),
        Failure::Rejects => {
            poll.send("HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n");
            open_connections.push(poll);
        }
        Failure::Trickles => {
            poll.send("HTTP/1.1 200 OK\r\ncontent-length: 99999\r\n\r\n{");
            let stream = poll.0.get_ref().try_clone().unwrap();
            thread::spawn(move || {
                while std::io::Write::write_all(&mut &stream, b" ").is_ok() {
                    thread::sleep(Duration::from_millis(20));
                }
            });
            open_connections.push(poll);
        }
        Failure::Resets => poll.reset(),
    }
    arrived_at
}

/// Every combination of three failures, followed by the removal of an endpoint in the next poll, all run in parallel
/// and in both discovery modes. The removal arrives within the bound from the first failure and from the last. Long
/// polls wait for half a second; two combinations also run with the longest wait.
#[test]
fn a_removal_arrives_in_time_after_three_failures_in_every_order() {
    let orders = (0..64).map(|n| [n, n / 4, n / 16].map(|at| FAILURES[at % 4]));
    let longest = [Failure::Hangs, Failure::Rejects].map(|failure| [Failure::Hangs, failure, failure]);
    let cases =
        orders.map(|order| (order, 20_000, 5_000)).chain(longest.map(|order| (order, 600_000, 50_000)));
    let runs = cases.flat_map(|(order, discovery_deadline, grace)| {
        [false, true].map(|polled| {
            thread::spawn(move || assert_removal_arrives_in_time(order, discovery_deadline, grace, polled))
        })
    });
    for run in runs.collect::<Vec<_>>() {
        run.join().unwrap();
    }
}

fn assert_removal_arrives_in_time(
    order: [Failure; 3],
    discovery_deadline: u64,
    grace: u64,
    polled_discovery: bool,
) {
    let schedule = PollSchedule::new(ticks(discovery_deadline), ticks(grace), polled_discovery);
    let ((_listener, at), (agent, discovery)) = (listen(), listen());
    let config = config(&[], discovery, "proxy", 1024)
        .replace(r#""drain_grace_ns":500000000"#, &format!(r#""drain_grace_ns":{grace}00000"#))
        .replace(r#""safety":{"#, &format!(r#""safety":{{"must_ask_in_ns":{discovery_deadline}00000,"#));
    let mode = if polled_discovery { r#""discovery":"on_request","safety""# } else { r#""safety""# };
    let proxy = start_with_config(&config.replace(r#""safety""#, mode));
    let mut watch = Peer::accept(&agent);
    receive_request(&mut watch);
    respond(&mut watch, &list(41, true, &[endpoint("s-0", at, "up"), endpoint("s-1", at, "up")]));
    receive_request(&mut watch);
    wait_for_shared_metrics(&proxy, [0, 0, 2]);
    let (first_failure, mut open_connections, mut poll) = (Instant::now(), Vec::new(), Some(watch));
    let mut last_failure = first_failure;
    for failure in order {
        last_failure = fail_poll(&agent, failure, poll.take(), &mut open_connections);
    }
    let mut poll = Peer::accept(&agent);
    receive_request(&mut poll);
    respond(&mut poll, &list(42, false, &[endpoint("s-0", at, "removed")]));
    wait_for_shared_metrics(&proxy, [0, 0, 1]);
    let (since_first, since_last) = (first_failure.elapsed(), last_failure.elapsed());
    // The margin allows for the load of all runs in parallel.
    assert!(
        since_first <= schedule.max_notification_delay(0, 3) + SCHEDULING_MARGIN
            && since_last <= schedule.max_notification_delay(2, 1) + SCHEDULING_MARGIN,
        "{order:?} {schedule:?}: {since_first:?} from the first failure, {since_last:?} from the last"
    );
}

/// How a discovery service that all proxies poll responds.
#[derive(Clone, Copy, PartialEq)]
enum ServiceState {
    /// It sends the first list at once, and has no changes to it.
    Prompt,
    /// It responds to no poll.
    Silent,
    /// It has changes, works on one poll at a time and rejects the others.
    Slow,
}

/// A discovery service that all proxies poll. A poll that is given up loses its turn.
struct SharedService {
    state: Mutex<ServiceState>,
    /// The polls that arrived in the current state.
    polls: AtomicUsize,
    /// Held while the slow service works on a poll.
    turn: Mutex<()>,
}

impl SharedService {
    /// How long the service works on a poll when it is slow; longer than any proxy waits for a response.
    const POLL_WORK: Duration = Duration::from_millis(2_250);

    fn set_state(&self, state: ServiceState) {
        *self.state.lock().unwrap() = state;
        self.polls.store(0, Relaxed);
    }

    fn wait_for_polls(&self, count: usize) {
        wait_until(|| self.polls.load(Relaxed) >= count);
    }

    /// Serves the polls on a connection until it ends or a poll gets no response.
    fn serve(&self, mut connection: Peer, server: SocketAddr) {
        let up = |name| endpoint(name, server, "up");
        while !connection.0.fill_buf().unwrap_or_default().is_empty() {
            let request = receive_request(&mut connection);
            self.polls.fetch_add(1, Relaxed);
            let state = *self.state.lock().unwrap();
            match state {
                // Its list is newer than version 0.
                ServiceState::Prompt if !request.contains("after=41") => {
                    respond(&mut connection, &list(41, true, &[up("s-0"), up("s-1")]));
                }
                ServiceState::Prompt | ServiceState::Silent => _ = connection.0.read(&mut [0]),
                // It has been sent the changes.
                ServiceState::Slow if request.contains("after=42") => _ = connection.0.read(&mut [0]),
                ServiceState::Slow => {
                    let Ok(_turn) = self.turn.try_lock() else {
                        connection.send("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
                        continue;
                    };
                    if self.is_given_up_during_work(&connection) {
                        return;
                    }
                    respond(&mut connection, &list(42, false, &[endpoint("s-0", server, "removed")]));
                }
            }
        }
    }

    fn is_given_up_during_work(&self, connection: &Peer) -> bool {
        let stream = connection.0.get_ref();
        stream.set_read_timeout(Some(Self::POLL_WORK)).unwrap();
        let is_given_up = matches!(stream.peek(&mut [0]), Ok(0));
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
        is_given_up
    }
}

/// Guards against a slow service that is never heard again after an outage: each poll was given up after 2.1 s at most.
#[test]
fn a_removal_arrives_in_time_from_a_slow_service_after_an_outage() {
    let ((_listener, server), (agent, discovery)) = (listen(), listen());
    let service = Arc::new(SharedService {
        state: Mutex::new(ServiceState::Prompt),
        polls: AtomicUsize::new(0),
        turn: Mutex::new(()),
    });
    let serving = Arc::clone(&service);
    thread::spawn(move || {
        for stream in agent.incoming().map_while(Result::ok) {
            let service = Arc::clone(&serving);
            thread::spawn(move || service.serve(Peer::new(stream), server));
        }
    });
    let settings = r#""group_size":2,"discovery":"on_request","safety""#;
    let config = config(&[], discovery, "proxy", 1024).replace(r#""safety""#, settings);
    let proxies = [(); 2].map(|()| start_with_config(&config));
    proxies.iter().for_each(|proxy| wait_for_shared_metrics(proxy, [0, 0, 2]));
    service.set_state(ServiceState::Silent);
    // Polls of both proxies have timed out.
    service.wait_for_polls(8);
    service.set_state(ServiceState::Slow);
    let returned = Instant::now();
    proxies.iter().for_each(|proxy| wait_for_shared_metrics(proxy, [0, 0, 1]));
    assert!(returned.elapsed() <= NOTIFICATION_DEADLINE, "{:?}", returned.elapsed());
}

/// Starts a proxy with a list of two endpoints. Returns it with its discovery agent and the connection of its long poll
/// in flight, which has a wait of half a second.
fn start_with_two_endpoints(a: SocketAddr, b: SocketAddr) -> (Proxy, TcpListener, Peer) {
    let (agent, discovery) = listen();
    let config = config(&[], discovery, "proxy", 1024);
    let proxy =
        start_with_config(&config.replace(r#""safety":{"#, r#""safety":{"must_ask_in_ns":2000000000,"#));
    let mut watch = Peer::accept(&agent);
    receive_request(&mut watch);
    respond(&mut watch, &list(41, true, &[endpoint("s-0", a, "up"), endpoint("s-1", b, "up")]));
    assert!(receive_request(&mut watch).starts_with("/api/targets?after=41&wait_ms=500"));
    (proxy, agent, watch)
}

/// Establishes sessions with several keys, and checks that all go to one endpoint and none to the other.
fn assert_sessions_go_only_to(proxy: &Proxy, to: &TcpListener, other: &TcpListener) {
    for key in 0..8 {
        establish_with(&open_line(&format!("c=chat,t=acme,d=2000,g={key}")), proxy.address, to);
    }
    assert_eq!(non_empty_first_lines(other), [""; 0]);
}

/// A complete list in response to a long poll replaces the known one: endpoints missing from it are removed, endpoints
/// draining in it drain, and later polls continue from its index.
#[test]
fn a_complete_list_may_answer_a_long_poll() {
    let ((first, a), (second, b)) = (listen(), listen());
    for body in [
        list(43, true, &[endpoint("s-1", b, "up")]),
        list(43, true, &[endpoint("s-0", a, "draining"), endpoint("s-1", b, "up")]),
    ] {
        let (proxy, _agent, mut watch) = start_with_two_endpoints(a, b);
        respond(&mut watch, &body);
        assert!(receive_request(&mut watch).starts_with("/api/targets?after=43&wait_ms=500"));
        assert_sessions_go_only_to(&proxy, &second, &first);
        // The same list may arrive again, and then changes to it.
        respond(&mut watch, &body);
        assert!(receive_request(&mut watch).starts_with("/api/targets?after=43&"));
        respond(&mut watch, &list(44, false, &[endpoint("s-2", a, "up"), endpoint("s-1", b, "draining")]));
        assert!(receive_request(&mut watch).starts_with("/api/targets?after=44&"));
        assert_sessions_go_only_to(&proxy, &first, &second);
    }
}

/// A long poll hangs, and the next poll returns the missed changes as a complete list. A late response on the
/// connection of the first has no effect.
#[test]
fn a_complete_list_after_a_hung_poll_arrives_in_time() {
    let ((first, a), (second, b)) = (listen(), listen());
    let (proxy, agent, mut hung) = start_with_two_endpoints(a, b);
    let started = Instant::now();
    let mut watch = Peer::accept(&agent);
    // The wait is short, so that the response soon shows whether discovery is available.
    assert_eq!(receive_request(&mut watch), "/api/targets?after=41&wait_ms=100");
    respond(&mut watch, &list(43, true, &[endpoint("s-1", b, "up")]));
    assert!(receive_request(&mut watch).starts_with("/api/targets?after=43&wait_ms=500"));
    assert!(
        started.elapsed()
            < PollSchedule::new(ticks(20_000), ticks(5_000), false).max_notification_delay(0, 1)
                + SCHEDULING_MARGIN,
        "{:?}",
        started.elapsed()
    );
    let _ = std::io::Write::write_all(hung.0.get_mut(), b"HTTP/1.1 200 OK\r\n\r\n");
    assert_sessions_go_only_to(&proxy, &second, &first);
}

/// A proxy counts as notified as soon as its agent is reachable again, so connection attempts must be repeated before
/// the kernel retransmits the SYN, and no less often the longer the agent is unreachable.
#[test]
fn a_list_arrives_within_the_drain_grace_after_an_unreachable_agent_returns() {
    let runs: Vec<_> = (0..20)
        .map(|n| {
            thread::spawn(move || {
                let (unreachable, discovery) = FullBacklog::new();
                let proxy = start(&[], discovery, "proxy", 1024);
                unreachable.wait_for_connection_attempt();
                // Long enough for ten polls that time out, and up to one more.
                thread::sleep(Duration::from_millis(3_500 + 20 * n));
                let (agent, returned) = (unreachable.listen(), Instant::now());
                // The kernel may establish a connection that the proxy has given up meanwhile; it sends nothing.
                let polls = std::iter::repeat_with(|| Peer::accept(&agent));
                let mut poll =
                    polls.map(|mut p| (p.receive_line(), p)).find(|(line, _)| !line.is_empty()).unwrap().1;
                while poll.receive_line() != "\r\n" {}
                respond(&mut poll, &list(41, true, &[endpoint("s-0", discovery, "up")]));
                wait_for_shared_metrics(&proxy, [0, 0, 1]);
                returned.elapsed()
            })
        })
        .collect();
    let delays: Vec<_> = runs.into_iter().map(|run| run.join().unwrap()).collect();
    assert!(delays.iter().all(|delay| *delay < Duration::from_millis(500)), "{delays:?}");
}

/// Guards against timeouts that grow while an agent takes polls and says nothing: its return was noticed up to 2 s late.
#[test]
fn a_removal_arrives_within_the_drain_grace_after_a_silent_agent_returns() {
    let runs: Vec<_> = (0..20)
        .map(|n| {
            thread::spawn(move || {
                let ((_first, a), (_second, b)) = (listen(), listen());
                let (proxy, agent, watch) = start_with_two_endpoints(a, b);
                wait_for_shared_metrics(&proxy, [0, 0, 2]);
                let returns_at = Instant::now() + Duration::from_millis(4_000 + 110 * n);
                let mut silent = vec![watch];
                let mut poll = loop {
                    let mut poll = Peer::accept(&agent);
                    receive_request(&mut poll);
                    if Instant::now() >= returns_at {
                        break poll;
                    }
                    silent.push(poll);
                };
                respond(&mut poll, &list(42, false, &[endpoint("s-0", a, "removed")]));
                wait_for_shared_metrics(&proxy, [0, 0, 1]);
                returns_at.elapsed()
            })
        })
        .collect();
    let delays: Vec<_> = runs.into_iter().map(|run| run.join().unwrap()).collect();
    assert!(delays.iter().all(|delay| *delay < Duration::from_millis(500)), "{delays:?}");
}

/// Guards against an older list that undoes a drain: discovery starts again and has the list of before.
#[test]
fn an_older_list_of_a_restarted_discovery_does_not_undo_a_drain() {
    let ((first, a), (second, b)) = (listen(), listen());
    let (proxy, agent, mut watch) = start_with_two_endpoints(a, b);
    respond(&mut watch, &list(42, false, &[endpoint("s-0", a, "draining")]));
    receive_request(&mut watch);
    watch.reset();
    let mut watch = Peer::accept(&agent);
    receive_request(&mut watch);
    let up = [endpoint("s-0", a, "up"), endpoint("s-1", b, "up")];
    respond(&mut watch, &list(41, true, &up));
    assert!(receive_request(&mut watch).contains("after=41&"));
    assert_sessions_go_only_to(&proxy, &second, &first);
    respond(&mut watch, &list(43, false, &[endpoint("s-0", a, "up"), endpoint("s-1", b, "removed")]));
    assert!(receive_request(&mut watch).contains("after=43&"));
    assert_sessions_go_only_to(&proxy, &first, &second);
}

/// Guards against a long list that is polled again while it is being received on a busy machine.
#[test]
fn a_list_that_is_being_received_is_not_polled_again() {
    let ((_listener, at), (agent, discovery)) = (listen(), listen());
    let config = config(&[], discovery, "proxy", 1024);
    let proxy = start_with_config(&config.replace("drain_grace_ns\":500", "drain_grace_ns\":1600"));
    let mut poll = Peer::accept(&agent);
    receive_request(&mut poll);
    let body = list(41, true, &[endpoint("s-0", at, "up")]);
    let (head, rest) = body.split_at(9);
    poll.send(&format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{head}", body.len()));
    // More than a quarter of the drain grace, after which a poll that is not answered is followed by another.
    thread::sleep(Duration::from_millis(550));
    poll.send(rest);
    wait_for_shared_metrics(&proxy, [0, 0, 1]);
    assert!(receive_request(&mut poll).contains("after=41"));
    agent.set_nonblocking(true).unwrap();
    assert!(agent.accept().is_err(), "polled again");
}
