//! When a change of the endpoint list arrives at the latest, whatever becomes of the polls before: the bound for all
//! settings, and a stand-in for discovery that fails in every order and then sends a drain.
#![allow(clippy::unwrap_used, reason = "a test stops where its setup fails")]
use std::net::TcpListener;
use std::thread;
use std::time::{Duration, Instant};

use larklink_balancer::TickDuration;
use larklink_proxy::clock::to_duration;
use larklink_proxy::discovery::schedule::{NOTIFICATION_DEADLINE, PollSchedule, SCHEDULING_MARGIN, backoff};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

mod stage;
use stage::peer::{Peer, open_line};
use stage::{
    FullBacklog, Proxy, config, endpoint, establish_with, last_metrics_become, list, listen, open_lines,
    receive_request, respond, start, start_with_config,
};

fn ticks(count: u64) -> TickDuration {
    TickDuration::from_ticks(count)
}

/// From a tenth of a millisecond to a day, in tenths of a millisecond; and none.
fn spans() -> impl Iterator<Item = u64> + Clone {
    std::iter::once(0).chain((0..120).map(|n| 1.19_f64.powi(n) as u64)).chain([u64::MAX / 100])
}

#[test]
fn a_change_arrives_within_six_seconds_whatever_the_settings() {
    let bound = NOTIFICATION_DEADLINE - SCHEDULING_MARGIN;
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    for (discovery_deadline, grace) in
        spans().flat_map(|deadline| spans().map(move |grace| (deadline, grace)))
    {
        for polled_discovery in [false, true] {
            let schedule = PollSchedule::new(ticks(discovery_deadline), ticks(grace), polled_discovery);
            let of = format!(
                "discovery_deadline {discovery_deadline}, drain_grace {grace}, {polled_discovery}: {schedule:?}"
            );
            assert!((0..40).all(|failed| schedule.max_notification_delay(failed, 1) <= bound), "{of}");
            assert!(schedule.max_notification_delay(0, 3) <= bound, "{of}");
            // After SIGHUP, as if one poll had failed before.
            assert!(
                schedule.max_notification_delay(1, 2) <= Duration::from_secs(4) - SCHEDULING_MARGIN,
                "{of}"
            );
            // Each order of three polls that hang or are rejected: never over the bound.
            for order in 0..8 {
                let mut all = Duration::ZERO;
                let mut rejections = 0;
                for failed in 0..3 {
                    let rejected = order >> failed & 1 == 1;
                    rejections += u32::from(rejected);
                    let longest =
                        if rejected { schedule.max_rejection_backoff } else { schedule.max_backoff };
                    let call = if rejected {
                        schedule.response_timeout_after(failed)
                    } else {
                        schedule.total_timeout(failed, failed)
                    };
                    all += call + backoff(rejections.max(1), longest, &mut rng);
                }
                assert!(
                    all + schedule.response_timeout_after(3) <= schedule.max_notification_delay(0, 3),
                    "{of}, order {order:03b}"
                );
            }
            // While no connection comes up, however long, an agent's return is noticed within three quarters of a grace.
            assert!(
                polled_discovery
                    || grace < 2_000
                    || schedule.response_timeout + schedule.max_backoff <= to_duration(ticks(grace)) * 3 / 4,
                "{of}"
            );
            // Never in a tight loop, and never so short that no response could be read.
            assert!(
                schedule.response_timeout >= Duration::from_millis(100)
                    && schedule.max_backoff >= Duration::from_millis(10),
                "{of}"
            );
            // Pushed lists are polled again within the grace, but for graces under 40 ms.
            let quarter = to_duration(ticks(grace)).max(Duration::from_millis(40)) / 4;
            assert!(polled_discovery || grace == 0 || schedule.max_rejection_backoff <= quarter, "{of}");
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Failure {
    /// Accepted, and nothing more.
    Hangs,
    Rejects,
    /// A response that begins and never ends, a byte now and then.
    Drips,
    Resets,
}

const FAILURES: [Failure; 4] = [Failure::Hangs, Failure::Rejects, Failure::Drips, Failure::Resets];

/// Fails the next poll, and returns when it arrived. Its connection stays open as long as `held` lives.
fn fail(agent: &TcpListener, how: Failure, call: Option<Peer>, held: &mut Vec<Peer>) -> Instant {
    let mut call = call.unwrap_or_else(|| {
        let mut call = Peer::accept(agent);
        receive_request(&mut call);
        call
    });
    let came = Instant::now();
    match how {
        Failure::Hangs => held.push(call),
        Failure::Rejects => {
            call.send("HTTP/1.1 503 Overbooked\r\ncontent-length: 0\r\n\r\n");
            held.push(call);
        }
        Failure::Drips => {
            call.send("HTTP/1.1 200 OK\r\ncontent-length: 99999\r\n\r\n{");
            let stream = call.0.get_ref().try_clone().unwrap();
            thread::spawn(move || {
                while std::io::Write::write_all(&mut &stream, b" ").is_ok() {
                    thread::sleep(Duration::from_millis(20));
                }
            });
            held.push(call);
        }
        Failure::Resets => call.reset(),
    }
    came
}

/// Every order of three failures, then a drain that the next poll brings, all in parallel: it arrives within the bound
/// from the first failure and from the last, in both modes. A long poll waits for half a second here; a few orders are
/// run with the longest waits that there are.
#[test]
fn a_drain_arrives_in_time_after_three_failures_in_every_order() {
    let orders = (0..64).map(|n| [n, n / 4, n / 16].map(|at| FAILURES[at % 4]));
    let longest = [Failure::Hangs, Failure::Rejects].map(|how| [Failure::Hangs, how, how]);
    let all = orders.map(|order| (order, 20_000, 5_000)).chain(longest.map(|order| (order, 600_000, 50_000)));
    let runs = all.flat_map(|(order, discovery_deadline, grace)| {
        [false, true]
            .map(|polled| thread::spawn(move || arrives_in_time(order, discovery_deadline, grace, polled)))
    });
    for run in runs.collect::<Vec<_>>() {
        run.join().unwrap();
    }
}

fn arrives_in_time(order: [Failure; 3], discovery_deadline: u64, grace: u64, polled_discovery: bool) {
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
    last_metrics_become(&proxy, [0, 0, 2]);
    let (first, mut held, mut call) = (Instant::now(), Vec::new(), Some(watch));
    let mut last = first;
    for how in order {
        last = fail(&agent, how, call.take(), &mut held);
    }
    let mut call = Peer::accept(&agent);
    receive_request(&mut call);
    respond(&mut call, &list(42, false, &[endpoint("s-0", at, "removed")]));
    last_metrics_become(&proxy, [0, 0, 1]);
    let (first, last) = (first.elapsed(), last.elapsed());
    // The margin is for a machine on which all runs are in parallel.
    let what = format!("{order:?} {schedule:?}: {first:?} from the first failure, {last:?} from the last");
    assert!(
        first <= schedule.max_notification_delay(0, 3) + SCHEDULING_MARGIN
            && last <= schedule.max_notification_delay(2, 1) + SCHEDULING_MARGIN,
        "{what}"
    );
}

/// A proxy with a list of two endpoints, its discovery, and its long poll in flight, which waits for half a second.
fn start_with_two(a: std::net::SocketAddr, b: std::net::SocketAddr) -> (Proxy, TcpListener, Peer) {
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

/// Sessions with any key go to one endpoint, and none to the other.
fn only_to(proxy: &Proxy, to: &TcpListener, other: &TcpListener) {
    for key in 0..8 {
        establish_with(&open_line(&format!("c=chat,t=acme,d=2000,g={key}")), proxy.address, to);
    }
    assert_eq!(open_lines(other), [""; 0]);
}

/// Endpoints that it lacks are removed, those that drain in it drain, and polls go on from its index.
#[test]
fn a_complete_list_may_answer_a_long_poll() {
    let ((first, a), (second, b)) = (listen(), listen());
    for body in [
        list(43, true, &[endpoint("s-1", b, "up")]),
        list(43, true, &[endpoint("s-0", a, "draining"), endpoint("s-1", b, "up")]),
    ] {
        let (proxy, _agent, mut watch) = start_with_two(a, b);
        respond(&mut watch, &body);
        assert!(receive_request(&mut watch).starts_with("/api/targets?after=43&wait_ms=500"));
        only_to(&proxy, &second, &first);
        // An equal list may arrive again, and changes to it.
        respond(&mut watch, &body);
        assert!(receive_request(&mut watch).starts_with("/api/targets?after=43&"));
        respond(&mut watch, &list(44, false, &[endpoint("s-2", a, "up"), endpoint("s-1", b, "draining")]));
        assert!(receive_request(&mut watch).starts_with("/api/targets?after=44&"));
        only_to(&proxy, &first, &second);
    }
}

/// A long poll hangs, and a new one brings what it missed as a complete list; a late response on the old connection
/// changes nothing.
#[test]
fn a_complete_list_after_a_hung_poll_arrives_in_time() {
    let ((first, a), (second, b)) = (listen(), listen());
    let (proxy, agent, mut hung) = start_with_two(a, b);
    let begun = Instant::now();
    let mut watch = Peer::accept(&agent);
    // Its wait is short: whether discovery is there has to show early.
    assert_eq!(receive_request(&mut watch), "/api/targets?after=41&wait_ms=100");
    respond(&mut watch, &list(43, true, &[endpoint("s-1", b, "up")]));
    assert!(receive_request(&mut watch).starts_with("/api/targets?after=43&wait_ms=500"));
    assert!(
        begun.elapsed()
            < PollSchedule::new(ticks(20_000), ticks(5_000), false).max_notification_delay(0, 1)
                + SCHEDULING_MARGIN,
        "{:?}",
        begun.elapsed()
    );
    let _ = std::io::Write::write_all(hung.0.get_mut(), b"HTTP/1.1 200 OK\r\n\r\n");
    only_to(&proxy, &second, &first);
}

/// A connection that does not come up is tried again before the kernel retransmits, and as often as ever however long
/// that goes on: the proxy counts as notified at once of what an agent has at its return.
#[test]
fn a_list_arrives_within_the_drain_grace_of_the_return_of_an_unreachable_agent() {
    let runs: Vec<_> = (0..20)
        .map(|n| {
            thread::spawn(move || {
                let (deaf, discovery) = FullBacklog::new();
                let proxy = start(&[], discovery, "proxy", 1024);
                deaf.wait_for_connection_attempt();
                // Ten polls that hang, and up to one more.
                thread::sleep(Duration::from_millis(3_500 + 20 * n));
                let (agent, begun) = (deaf.listen(), Instant::now());
                // The kernel may bring up a connection that was given up meanwhile.
                let calls = std::iter::repeat_with(|| Peer::accept(&agent));
                let mut call =
                    calls.map(|mut c| (c.receive_line(), c)).find(|(line, _)| !line.is_empty()).unwrap().1;
                while call.receive_line() != "\r\n" {}
                respond(&mut call, &list(41, true, &[endpoint("s-0", discovery, "up")]));
                last_metrics_become(&proxy, [0, 0, 1]);
                begun.elapsed()
            })
        })
        .collect();
    let took: Vec<_> = runs.into_iter().map(|run| run.join().unwrap()).collect();
    assert!(took.iter().all(|took| *took < Duration::from_millis(500)), "{took:?}");
}
