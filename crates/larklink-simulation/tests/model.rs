//! The simulation: property tests of its parts, and runs in simulated time with each kind of fault.
use std::ops::{Range, RangeInclusive};

use larklink_simulation::audit::ViolationKind;
use larklink_simulation::duration::{ConfigDuration, SECOND};
use larklink_simulation::event_log::{AttemptEnd, EventKind, LoggedEvent};
use larklink_simulation::external_load_balancer::ExternalLoadBalancer;
use larklink_simulation::scenario::Scenario;
use larklink_simulation::server::{Server, ServerMessage, ServerOutput, ServerProfile, ServerState};
use larklink_simulation::session_store::SessionStore;
use larklink_simulation::simulate::{Run, run};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

/// The simulated time that a message takes from one end of a connection to the other, in ticks.
const ONE_WAY_DELAY: u64 = 2;
/// The range of the duration of a planned stop: 0.6 s at least, and up to 3 s of dial timeout more.
const SHUTDOWN_DURATION: RangeInclusive<u64> = 6000..=36_000;

fn profile() -> ServerProfile {
    ServerProfile {
        cores: 2,
        speed: 1.0,
        max_sessions: 50,
        setup_work: 2000.0,
        max_queue_wait: 2 * SECOND,
        initial_capacity: 0.1,
        slow_start_duration: 10 * SECOND,
        overload_multiple: 4.0,
        overload_window: SECOND,
        dies_when_overloaded: true,
        restart_after: SECOND,
        report_interval: SECOND / 5,
    }
}

fn scenario(text: &str) -> Scenario {
    Scenario::parse(text).unwrap_or_else(|error| panic!("{error:?}"))
}

fn assert_no_violations(run: &Run) {
    let first: Vec<_> = run.findings.violations.iter().take(5).collect();
    assert!(first.is_empty(), "{:?} {first:#?}", run.findings.counts());
}

proptest! {
    #![proptest_config(Config { cases: 64, rng_seed: RngSeed::Fixed(7), failure_persistence: None, ..Config::default() })]

    /// Over a whole run, a server does no more work than its cores can do in the elapsed time. It never sends more
    /// responses than it received messages, and never has more established sessions than `max_sessions`.
    #[test]
    fn no_server_works_above_its_capacity(
        steps in prop::collection::vec((0u64..400, 0u8..6, 100f64..20_000.0), 1..300),
        in_slow_start in any::<bool>(),
    ) {
        let mut server = Server::new(ServerProfile { dies_when_overloaded: false, ..profile() });
        let (mut now, mut connection, mut outputs) = (SECOND, 0, Vec::new());
        if in_slow_start {
            server.start(now, &mut outputs);
        }
        let mut store = SessionStore::new(500.0, SECOND);
        let (mut messages, mut answered) = (0, 0);
        for (wait, kind, work) in steps {
            now += wait;
            match kind {
                0 | 1 => {
                    connection += 1;
                    server.receive_request(now, connection, connection, 1000.0, &mut store, &mut outputs);
                }
                2 => server.connection_closed(connection),
                3 => server.pause(now + wait),
                _ => {
                    messages += 1;
                    server.receive_message(now, connection, work, vec![1], &mut outputs);
                }
            }
            server.advance(now, &mut outputs);
            answered += outputs.iter().filter(|o| matches!(o, ServerOutput::Send(_, ServerMessage::Message(_)))).count();
            prop_assert!(answered <= messages, "{answered} responses to {messages} messages");
            prop_assert!(server.established_sessions() <= 50);
            outputs.clear();
        }
        // Runs the server until it is idle. Two cores at full speed are the upper bound for the work done.
        let started_at = SECOND;
        let mut end = now;
        while server.next_event_at() != u64::MAX {
            end = end.max(server.next_event_at());
            server.advance(end, &mut outputs);
        }
        let capacity = (end - started_at) as f64 / SECOND as f64 * 2e6;
        prop_assert!(server.work_done <= capacity + 1.0, "{} done, capacity {capacity}", server.work_done);
    }

    /// A session store completes its calls in order, and no faster than its rate divided by its slowdown.
    #[test]
    fn a_store_serves_no_faster_than_its_rate(waits in prop::collection::vec(0u64..50, 1..500), slow in 1f64..10.0) {
        let mut store = SessionStore::new(1000.0, SECOND);
        store.set_slowdown(slow);
        let (mut now, mut last, mut n) = (0, 0, 0);
        for wait in waits {
            now += wait;
            if let Ok(at) = store.call(now) {
                prop_assert!(at >= last && at >= now);
                (last, n) = (at, n + 1);
                prop_assert!(n as f64 * slow * 10.0 <= (last + 1) as f64 + 1e-6);
            }
        }
    }

    /// Under any fault, each session has exactly one outcome, and no violation of the four rules occurs (rule 0 marks
    /// the additional checks).
    #[test]
    fn every_session_ends_once(seed in 0u64..1000, fault in 0usize..6) {
        let fault = [
            "what = 'proxy-killed'\nat = '2s'\nfor = '1s'",
            "what = 'server-silent'\nat = '2s'\nfor = '2s'\nshare = 0.3",
            "what = 'server-died'\nat = '2s'\nfor = '1s'",
            "what = 'store-slow'\nat = '2s'\nfor = '2s'\nfactor = 20.0",
            "what = 'server-drains'\nat = '2s'\nfor = '2s'",
            "what = 'clients-dropped'\nat = '3s'",
        ][fault];
        let s = scenario(&format!("length = '6s'\n[[listeners]]\nstanding = 60\n[[faults]]\n{fault}\n"));
        let run = run(&s, seed);
        for l in &run.findings.listeners {
            let outcomes =
                l.accepted + l.rejected + l.failed + l.lost_with_proxy + l.proxy_unreachable + l.unfinished;
            // Counted so that a missing response fails the check of the violations below and not this sum.
            let without_response = run.findings.counts().get(&ViolationKind::NoResponse).copied().unwrap_or(0);
            prop_assert_eq!(l.opened, outcomes + without_response as u64);
        }
        prop_assert!(run.findings.violations.iter().all(|violation| violation.rule == 0), "{:?}", run.findings.violations.first());
    }
}

#[test]
fn same_seed_produces_identical_event_logs() {
    let s =
        scenario("length = '5s'\n[[faults]]\nwhat = 'server-silent'\nat = '2s'\nfor = '2s'\nshare = 0.2\n");
    let (first, second, other) = (run(&s, 3), run(&s, 3), run(&s, 4));
    assert_eq!(first.event_log.to_json_lines(), second.event_log.to_json_lines());
    assert_ne!(first.event_log.to_json_lines(), other.event_log.to_json_lines());
}

/// The external load balancer sends a client only to proxies of its own zone. If the zone's only proxy is dead, it
/// still gets connections until the failure is detected, and then the zone has no proxy. The other zone is not affected:
/// its connections go to the proxy that was not removed.
#[test]
fn load_balancer_stays_within_a_zone() {
    let mut load_balancer = ExternalLoadBalancer::new(3, 2, SECOND);
    assert_eq!(load_balancer.next_proxy(0, 0), None, "no proxy has answered yet");
    (0..3).for_each(|proxy| load_balancer.add_proxy(proxy));
    let chosen: Vec<_> = (0..4).map(|_| load_balancer.next_proxy(0, 4)).collect();
    assert_eq!(chosen, [Some(0), Some(2), Some(0), Some(2)]);
    load_balancer.proxy_died(0, 1);
    assert_eq!(
        (load_balancer.next_proxy(SECOND - 1, 5), load_balancer.next_proxy(SECOND, 5)),
        (Some(1), None)
    );
    load_balancer.remove_proxy(0);
    assert_eq!(
        (load_balancer.next_proxy(SECOND, 4), load_balancer.next_proxy(SECOND, 4)),
        (Some(2), Some(2))
    );
    let text =
        "length = '6s'\n[proxies]\ncount = 4\nzones = 2\n[[faults]]\nwhat = 'proxy-killed'\nat = '2s'\n";
    assert_no_violations(&run(&scenario(text), 1));
}

#[test]
fn run_without_faults_has_no_violations() {
    let run = run(&scenario("length = '10s'\n"), 1);
    assert_no_violations(&run);
    assert!(run.service > 0.97, "{}", run.service);
    assert!(run.findings.listeners[0].accepted > 300);
}

/// Clients have to retry the sessions of a killed proxy. The external load balancer keeps sending connections to it for
/// two seconds; those count as unreachable and not as violations.
#[test]
fn sessions_of_a_killed_proxy_are_not_violations() {
    let run = run(&scenario("length = '8s'\n[[faults]]\nwhat = 'proxy-killed'\nat = '3s'\nfor = '3s'\n"), 1);
    assert_no_violations(&run);
    assert!(run.findings.listeners[0].proxy_unreachable > 10, "{:?}", run.findings.listeners);
    assert!(run.service > 0.8, "{}", run.service);
}

/// With `at_accept`, the proxy is killed by the next connection after the fault's time, not at that time. The
/// connection is lost with it, and the proxy restarts once.
#[test]
fn a_proxy_killed_at_an_accept_is_killed_by_a_connection() {
    let text = |extra_keys| {
        format!(
            "length = '6s'\n[[listeners]]\nstanding = 0\nrate = 3.0\n[[faults]]\nwhat = 'proxy-killed'\nat = '2s'\nfor = '500ms'\n{extra_keys}"
        )
    };
    let run = run(&scenario(&text("at_accept = true\n")), 1);
    assert_no_violations(&run);
    let times = |filter: fn(&EventKind) -> bool| {
        run.event_log.events.iter().filter(move |e| e.at > 0 && filter(&e.kind)).map(|e| e.at)
    };
    let exits =
        times(|kind| matches!(kind, EventKind::ProxyExited { planned: false, .. })).collect::<Vec<_>>();
    let [exited_at] = exits[..] else { panic!("{exits:?}") };
    assert!(exited_at > 2 * SECOND, "{exited_at}");
    let opened = times(|kind| matches!(kind, EventKind::Opened { proxy: 0, .. }));
    assert!(
        opened.into_iter().any(|at| at + ONE_WAY_DELAY == exited_at),
        "no connection was opened right before {exited_at}"
    );
    assert_eq!(
        times(|kind| matches!(kind, EventKind::ProxyUp { .. })).collect::<Vec<_>>(),
        [exited_at + SECOND / 2]
    );
    assert_eq!(run.findings.listeners[0].lost_with_proxy, 1);
    let error =
        Scenario::parse("[[faults]]\nwhat = 'proxy-stopped'\nat = '1s'\nat_accept = true\n").unwrap_err();
    assert!(error.problems.iter().any(|p| p.key == "at_accept"), "{error:?}");
}

/// A killed proxy without a restart time stays down, even when another proxy stops gracefully and restarts and the
/// endpoint list changes.
#[test]
fn killed_proxy_stays_down_while_another_restarts() {
    let s = scenario(
        "length = '6s'\n[[faults]]\nwhat = 'proxy-killed'\nat = '1s'\nwhich = [1]\n[[faults]]\nwhat = 'proxy-stopped'\n\
         at = '2s'\nfor = '2s'\n[[faults]]\nwhat = 'server-died'\nat = '2500ms'\n",
    );
    let run = run(&s, 1);
    let proxies_and_times = |filter: fn(&EventKind) -> Option<usize>| {
        let events = run.event_log.events.iter().filter(|e| e.at > 0);
        events.filter_map(|e| filter(&e.kind).map(|proxy| (proxy, e.at))).collect::<Vec<_>>()
    };
    let exits = proxies_and_times(|kind| match kind {
        EventKind::ProxyExited { proxy, planned: true } => Some(*proxy),
        _ => None,
    });
    let starts = proxies_and_times(|kind| match kind {
        EventKind::ProxyUp { proxy } => Some(*proxy),
        _ => None,
    });
    // A shutdown takes as long as that of the real proxy process and has to migrate all sessions by its end. The proxy
    // restarts 2 s after it has exited.
    let [(0, exited_at)] = exits[..] else { panic!("{exits:?}") };
    assert!(exited_at >= 2 * SECOND && SHUTDOWN_DURATION.contains(&(exited_at - 2 * SECOND)), "{exited_at}");
    assert_eq!(starts, [(0, exited_at + 2 * SECOND)]);
    assert_no_violations(&run);
}

/// A server pauses for longer than the dial timeout and then handles the queued requests. The event log shows session
/// setups after the attempt was abandoned, and no client gets a response to them.
#[test]
fn session_setup_after_a_pause_counts_as_abandoned() {
    let text = "length = '8s'\n[servers.0]\n";
    assert!(Scenario::parse(text).is_err(), "servers must be an array of tables");
    let s = scenario(
        "length = '8s'\n[[servers]]\ncount = 1\n[rules]\nprobes = false\n[[listeners]]\nkind = 'once-only'\n\
         dial_timeout = '600ms'\n[[faults]]\nwhat = 'server-paused'\nat = '3s'\nfor = '2s'\n",
    );
    let run = run(&s, 1);
    assert_no_violations(&run);
    let l = &run.findings.listeners[0];
    assert!(l.ran_after_abandoned > 0 && l.failed > 0, "{l:?}");
}

#[test]
fn server_overloaded_in_slow_start_dies_once_and_restarts_in_slow_start() {
    let (mut server, mut store, mut outputs) =
        (Server::new(profile()), SessionStore::new(1e6, SECOND), Vec::new());
    let mut now = SECOND;
    server.start(now, &mut outputs);
    outputs.clear();
    // With 10 % of two cores, the capacity is 100 session setups per second. The server dies if it gets more than four
    // times that for a second.
    for connection in 0..900 {
        now += 5;
        server.receive_request(now, connection, connection, 0.0, &mut store, &mut outputs);
        server.advance(now, &mut outputs);
    }
    let overloads =
        outputs.iter().filter(|o| matches!(o, ServerOutput::Overloaded(ratio) if *ratio > 4.0)).count();
    assert_eq!((overloads, server.state()), (1, ServerState::Dead));
    server.advance(now + SECOND, &mut outputs);
    assert_eq!(server.state(), ServerState::Up);
    assert!(server.capacity_fraction(now + SECOND) < 0.2);
    // The same load does not overload a server after its slow start.
    let (mut server, mut outputs) = (Server::new(profile()), Vec::new());
    (0..900).for_each(|connection| {
        server.receive_request(SECOND + connection * 5, connection, connection, 0.0, &mut store, &mut outputs)
    });
    assert!(!outputs.iter().any(|o| matches!(o, ServerOutput::Overloaded(_))));
}

#[test]
fn three_proxies_together_do_not_overload_a_new_server() {
    let s = scenario(
        "length = '12s'\n[[servers]]\ncount = 4\n[[servers]]\ncount = 1\nlisted = false\n\
         [[listeners]]\nstanding = 300\nrate = 60.0\n[[faults]]\nwhat = 'servers-join'\nat = '3s'\n",
    );
    let run = run(&s, 1);
    assert_no_violations(&run);
}

/// Runs a hundred proxies and sixty servers, of which `listed` are in the endpoint list from the start. The run must
/// have no violations and a service of more than `min_service`.
fn run_large_fleet(listed: usize, min_service: f64, faults: &str) -> Run {
    let run = run(
        &scenario(&format!(
            "length = '14s'\n[proxies]\ncount = 100\nzones = 4\n[store]\nrate = 400.0\n[[servers]]\ncount = {listed}\n\
             [[servers]]\ncount = {}\nlisted = false\n[[listeners]]\nstanding = 400\nrate = 20.0\nlife = '30s'\n{faults}",
            60 - listed
        )),
        1,
    );
    assert_no_violations(&run);
    assert!(run.service > min_service, "{}", run.service);
    run
}

/// The number of sessions that these servers accepted.
fn accepted(run: &Run, servers: Range<usize>) -> usize {
    let is_accepted = |e: &&LoggedEvent| matches!(e.kind, EventKind::AttemptEnded { server, end: AttemptEnd::Accepted, .. } if servers.contains(&server));
    run.event_log.events.iter().filter(is_accepted).count()
}

#[test]
fn seventy_proxies_killed_at_once_while_the_endpoint_list_is_unreachable() {
    let faults = "[[faults]]\nwhat = 'proxy-killed'\nat = '4s'\nfor = '2s'\nshare = 0.7\n\
        [[faults]]\nwhat = 'list-lost'\nat = '5s'\nfor = '3s'\n";
    run_large_fleet(60, 0.6, faults);
}

#[test]
fn a_zone_of_proxies_and_servers_is_lost_and_restarts() {
    let first_zone = |count: usize| (0..count).step_by(4).collect::<Vec<_>>();
    let (proxies, servers) = (first_zone(100), first_zone(60));
    let faults = format!(
        "[[faults]]\nwhat = 'proxy-killed'\nat = '4s'\nfor = '4s'\nwhich = {proxies:?}\n\
         [[faults]]\nwhat = 'server-died'\nat = '4s'\nfor = '4s'\nwhich = {servers:?}\n"
    );
    run_large_fleet(60, 0.6, &faults);
}

/// 22 of the 38 listed servers are replaced by 22 new ones, from 3 s to about 10.65 s of the run. The new ones get sessions during slow start without being
/// overloaded, and the draining ones have no sessions left when they stop.
#[test]
fn twenty_two_of_thirty_eight_servers_are_replaced() {
    let drained = (0..22).collect::<Vec<_>>();
    let faults = format!(
        "[[faults]]\nwhat = 'servers-join'\nat = '3s'\napart = '150ms'\n\
         [[faults]]\nwhat = 'server-drains'\nat = '4s'\nfor = '3500ms'\napart = '150ms'\nwhich = {drained:?}\n"
    );
    let run = run_large_fleet(38, 0.8, &faults);
    let (new, old) = (accepted(&run, 38..60), accepted(&run, 0..38));
    assert!(new > old / 10, "{new} sessions on new servers, {old} on old ones");
}

/// Invalid scenarios are rejected with all their problems, each with its line, key and reason.
#[test]
fn invalid_scenario_is_rejected_with_line_key_and_reason() {
    let problems = |text: &str| -> Vec<String> {
        Scenario::parse(text).unwrap_err().problems.iter().map(ToString::to_string).collect()
    };
    for (text, expected_prefix) in [
        ("seed = 1\nlenght = '3s'\n", "2: lenght: unknown field"),
        ("length = '3 weeks'\n", "1: length: \"3 weeks\" is not a duration"),
        ("length = '2h'", "1: length:"),
        ("length = '90m'", "1: length: \"90m\" is over an hour"),
        ("seed = 1\nseed = 2\n", "2: seed: duplicate key"),
        ("[proxies]\ncount = 0\n", "2: proxies.count: 0 proxies, must be 1 to 512"),
        ("[[listeners]]\nname = 'a b'\n", "2: name: \"a b\""),
        ("[[listeners]]\nname = 'a'\n[[listeners]]\nname = 'a'\n", "4: name: duplicate listener name \"a\""),
        (
            "[[listeners]]\ndial_timeout = '100ms'\n",
            "2: dial_timeout: 100ms must be greater than 0 and not below handshake_target (500ms)",
        ),
        ("[[servers]]\nspeed = -1.0\n", "2: speed: a speed of -1, must be positive"),
        ("[[faults]]\nwhat = 'fire'\nat = '1s'\n", "2: what: unknown variant"),
        ("[[faults]]\nwhat = 'store-slow'\nat = '1s'\nfor = '1s'\n", "1: factor: missing"),
        (
            "[[faults]]\nwhat = 'server-died'\nat = '1s'\nwhich = [9]\n",
            "4: which: index 9 is out of range: 6 targets",
        ),
        (
            "[[faults]]\nwhat = 'list-lost'\nat = '30s'\nfor = '1s'\n",
            "3: at: 30s is not before the end of the run at 20s",
        ),
        ("[store]\nrate = nan\n", "2: store.rate: a rate of NaN calls"),
    ] {
        let problems = problems(text);
        assert!(problems.iter().any(|p| p.starts_with(expected_prefix)), "{text:?}: {problems:?}");
    }
    assert_eq!(problems("length = '0s'\n[proxies]\ncount = 0\n[must]\nservice = 2.0\n").len(), 3);
    assert_eq!(ConfigDuration::parse("1.5s"), Ok(ConfigDuration(15_000)));
}
