//! When a change of the list is heard at the latest, whatever becomes of the calls before: the sum for all settings, and
//! a stand-in agent that fails in every order and then has a drain to tell.
use std::net::TcpListener;
use std::thread;
use std::time::{Duration, Instant};

use larklink_proxy::clock::to_duration;
use larklink_proxy::discovery::schedule::{NOTIFICATION_DEADLINE, PollSchedule, SCHEDULING_MARGIN, backoff};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

mod stage;
use stage::peer::{Peer, open};
use stage::*;

/// From a tenth of a millisecond to a day, in tenths of a millisecond; and none.
fn spans() -> impl Iterator<Item = u64> + Clone {
    std::iter::once(0).chain((0..120).map(|n| 1.19_f64.powi(n) as u64)).chain([u64::MAX / 100])
}

/// A list was asked for again only a quarter of `must_ask_in` later, whatever that was, and an answer that never ended
/// was waited for sixteen times as long after four failures.
#[test]
fn what_can_be_had_is_heard_within_six_seconds_whatever_the_settings() {
    let (most, mut chance) = (NOTIFICATION_DEADLINE - SCHEDULING_MARGIN, ChaCha8Rng::seed_from_u64(7));
    for (must_ask_in, grace) in spans().flat_map(|must| spans().map(move |grace| (must, grace))) {
        for on_request in [false, true] {
            let schedule = PollSchedule::new(must_ask_in, grace, on_request);
            let of = format!("must_ask_in {must_ask_in}, drain_grace {grace}, {on_request}: {schedule:?}");
            assert!((0..40).all(|failed| schedule.max_notification_delay(failed, 1) <= most), "{of}");
            assert!(schedule.max_notification_delay(0, 3) <= most, "{of}");
            // After SIGHUP, as if one had failed before.
            assert!(
                schedule.max_notification_delay(1, 2) <= Duration::from_secs(4) - SCHEDULING_MARGIN,
                "{of}"
            );
            // Each order of three that hang or are refused, as it goes: never over the sum.
            for order in 0..8 {
                let (mut all, mut refusals) = (Duration::ZERO, 0);
                for failed in 0..3 {
                    let refused = order >> failed & 1 == 1;
                    refusals += u32::from(refused);
                    let longest = if refused { schedule.max_rejection_backoff } else { schedule.max_backoff };
                    let call = if refused {
                        schedule.call_timeout_after(failed)
                    } else {
                        schedule.total_timeout(failed, failed)
                    };
                    all += call + backoff(refusals.max(1), longest, &mut chance);
                }
                assert!(
                    all + schedule.call_timeout_after(3) <= schedule.max_notification_delay(0, 3),
                    "{of}, order {order:03b}"
                );
            }
            // While no connection comes up, however long, the agent's return falls into three quarters of a grace.
            assert!(
                on_request
                    || grace < 2_000
                    || schedule.call_timeout + schedule.max_backoff <= to_duration(grace) * 3 / 4,
                "{of}"
            );
            // Never without end, and never so short that no answer could be read.
            assert!(
                schedule.call_timeout >= Duration::from_millis(100)
                    && schedule.max_backoff >= Duration::from_millis(10),
                "{of}"
            );
            // Pushed lists are asked for again within the grace, but for graces of under 40 ms.
            let quarter = to_duration(grace).max(Duration::from_millis(40)) / 4;
            assert!(on_request || grace == 0 || schedule.max_rejection_backoff <= quarter, "{of}");
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Failure {
    /// Accepted, and nothing more.
    Hangs,
    Refuses,
    /// An answer that begins and never ends, a byte now and then.
    Drips,
    Resets,
}

const FAILURES: [Failure; 4] = [Failure::Hangs, Failure::Refuses, Failure::Drips, Failure::Resets];

/// Lets the call that comes next fail: when it came. The connection is kept as long as `held` lives.
fn fail(agent: &TcpListener, how: Failure, call: Option<Peer>, held: &mut Vec<Peer>) -> Instant {
    let mut call = call.unwrap_or_else(|| {
        let mut call = Peer::accept(agent);
        asked(&mut call);
        call
    });
    let came = Instant::now();
    match how {
        Failure::Hangs => held.push(call),
        Failure::Refuses => {
            call.say("HTTP/1.1 503 Overbooked\r\ncontent-length: 0\r\n\r\n");
            held.push(call);
        }
        Failure::Drips => {
            call.say("HTTP/1.1 200 OK\r\ncontent-length: 99999\r\n\r\n{");
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

/// Every order of three failures, then a drain that the next call brings, side by side: heard by the decisions within the
/// sum from the first failure and from the last, in both modes. A watch waits for half a second here; a few orders are
/// played with the longest waits that there are.
#[test]
fn a_drain_is_heard_in_time_after_three_failures_in_every_order() {
    let orders = (0..64).map(|n| [n, n / 4, n / 16].map(|at| FAILURES[at % 4]));
    let longest = [Failure::Hangs, Failure::Refuses].map(|how| [Failure::Hangs, how, how]);
    let all = orders.map(|order| (order, 20_000, 5_000)).chain(longest.map(|order| (order, 600_000, 50_000)));
    let plays = all.flat_map(|(order, must_ask_in, grace)| {
        [false, true].map(|asks| thread::spawn(move || is_heard_in_time(order, must_ask_in, grace, asks)))
    });
    for play in plays.collect::<Vec<_>>() {
        play.join().unwrap();
    }
}

fn is_heard_in_time(order: [Failure; 3], must_ask_in: u64, grace: u64, on_request: bool) {
    let schedule = PollSchedule::new(must_ask_in, grace, on_request);
    let ((_listener, at), (agent, discovery)) = (server(), server());
    let config = config(&[], discovery, "proxy", 1024)
        .replace(r#""drain_grace_ns":500000000"#, &format!(r#""drain_grace_ns":{grace}00000"#))
        .replace(r#""safety":{"#, &format!(r#""safety":{{"must_ask_in_ns":{must_ask_in}00000,"#));
    let asks = if on_request { r#""discovery":"on_request","safety""# } else { r#""safety""# };
    let proxy = start_by(&config.replace(r#""safety""#, asks));
    let mut watch = Peer::accept(&agent);
    asked(&mut watch);
    told(&mut watch, &list(41, true, &[endpoint("s-0", at, "up"), endpoint("s-1", at, "up")]));
    asked(&mut watch);
    figures_end(&proxy, [0, 0, 2]);
    let (first, mut held, mut call) = (Instant::now(), Vec::new(), Some(watch));
    let mut last = first;
    for how in order {
        last = fail(&agent, how, call.take(), &mut held);
    }
    let mut call = Peer::accept(&agent);
    asked(&mut call);
    told(&mut call, &list(42, false, &[endpoint("s-0", at, "removed")]));
    figures_end(&proxy, [0, 0, 1]);
    let (first, last) = (first.elapsed(), last.elapsed());
    // So much more for a machine on which all of them run at once.
    let what = format!("{order:?} {schedule:?}: {first:?} from the first failure, {last:?} from the last");
    assert!(
        first <= schedule.max_notification_delay(0, 3) + SCHEDULING_MARGIN
            && last <= schedule.max_notification_delay(2, 1) + SCHEDULING_MARGIN,
        "{what}"
    );
}

/// A proxy with two servers that it has just been told of, watched at an agent; a watch waits for half a second.
fn watched(a: std::net::SocketAddr, b: std::net::SocketAddr) -> (Proxy, TcpListener, Peer) {
    let (agent, discovery) = server();
    let config = config(&[], discovery, "proxy", 1024);
    let proxy = start_by(&config.replace(r#""safety":{"#, r#""safety":{"must_ask_in_ns":2000000000,"#));
    let mut watch = Peer::accept(&agent);
    asked(&mut watch);
    told(&mut watch, &list(41, true, &[endpoint("s-0", a, "up"), endpoint("s-1", b, "up")]));
    assert!(asked(&mut watch).starts_with("/api/targets?after=41&wait_ms=500"));
    (proxy, agent, watch)
}

/// Sessions with any key go to this server, and none to the other.
fn only(proxy: &Proxy, to: &TcpListener, other: &TcpListener) {
    for key in 0..8 {
        standing_by(&open(&format!("c=chat,t=acme,d=2000,g={key}")), proxy.address, to);
    }
    assert_eq!(heads(other), [""; 0]);
}

/// Who is missing from it is gone, who drains in it drains, and the watch goes on from there.
#[test]
fn a_whole_list_may_answer_a_watch() {
    let ((first, a), (second, b)) = (server(), server());
    for body in [
        list(43, true, &[endpoint("s-1", b, "up")]),
        list(43, true, &[endpoint("s-0", a, "draining"), endpoint("s-1", b, "up")]),
    ] {
        let (proxy, _agent, mut watch) = watched(a, b);
        told(&mut watch, &body);
        assert!(asked(&mut watch).starts_with("/api/targets?after=43&wait_ms=500"));
        only(&proxy, &second, &first);
        // An equal one may come again, and changes to it.
        told(&mut watch, &body);
        assert!(asked(&mut watch).starts_with("/api/targets?after=43&"));
        told(&mut watch, &list(44, false, &[endpoint("s-2", a, "up"), endpoint("s-1", b, "draining")]));
        assert!(asked(&mut watch).starts_with("/api/targets?after=44&"));
        only(&proxy, &first, &second);
    }
}

/// The watch falls silent, and what it missed comes as a whole list to the one that is opened anew; word on the old one
/// changes nothing.
#[test]
fn a_list_that_comes_whole_after_a_silence_is_heard_in_time() {
    let ((first, a), (second, b)) = (server(), server());
    let (proxy, agent, mut silent) = watched(a, b);
    let begun = Instant::now();
    let mut watch = Peer::accept(&agent);
    // It hardly waits: whether the agent is there is to be known soon.
    assert_eq!(asked(&mut watch), "/api/targets?after=41&wait_ms=100");
    told(&mut watch, &list(43, true, &[endpoint("s-1", b, "up")]));
    assert!(asked(&mut watch).starts_with("/api/targets?after=43&wait_ms=500"));
    assert!(
        begun.elapsed()
            < PollSchedule::new(20_000, 5_000, false).max_notification_delay(0, 1) + SCHEDULING_MARGIN,
        "{:?}",
        begun.elapsed()
    );
    let _ = std::io::Write::write_all(silent.0.get_mut(), b"HTTP/1.1 200 OK\r\n\r\n");
    only(&proxy, &second, &first);
}

/// A connection that does not come up is asked for anew, before the kernel knocks a second time, and as often as ever
/// however long that goes on: what discovery has at its return counts as told at once. With a time that had grown
/// meanwhile it was up to two seconds, four graces.
#[test]
fn an_agent_to_which_no_connection_came_up_is_heard_within_the_grace_of_its_return() {
    let plays: Vec<_> = (0..20)
        .map(|n| {
            thread::spawn(move || {
                let (deaf, discovery) = Deaf::new();
                let proxy = start(&[], discovery, "proxy", 1024);
                deaf.is_knocked_at();
                // Ten calls that hang, and up to one more.
                thread::sleep(Duration::from_millis(3_500 + 20 * n));
                let (agent, begun) = (deaf.listen(), Instant::now());
                // The kernel may bring up one that was given up meanwhile.
                let calls = std::iter::repeat_with(|| Peer::accept(&agent));
                let mut call = calls.map(|mut c| (c.hear(), c)).find(|(line, _)| !line.is_empty()).unwrap().1;
                while call.hear() != "\r\n" {}
                told(&mut call, &list(41, true, &[endpoint("s-0", discovery, "up")]));
                figures_end(&proxy, [0, 0, 1]);
                begun.elapsed()
            })
        })
        .collect();
    let took: Vec<_> = plays.into_iter().map(|play| play.join().unwrap()).collect();
    assert!(took.iter().all(|took| *took < Duration::from_millis(500)), "{took:?}");
}
