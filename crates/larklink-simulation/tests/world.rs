//! The world in simulated time: seeded runs that check after every step, and a case for each kind of fault.
use std::ops::Range;

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
    Scenario::parse(text).unwrap_or_else(|wrong| panic!("{wrong:?}"))
}

fn clean(run: &Run) {
    let some: Vec<_> = run.findings.violations.iter().take(5).collect();
    assert!(some.is_empty(), "{:?} {some:#?}", run.findings.counts());
}

proptest! {
    #![proptest_config(Config { cases: 64, rng_seed: RngSeed::Fixed(7), failure_persistence: None, ..Config::default() })]

    /// Work is conserved: what is done is what was taken, and never more than the cores could do in that time.
    #[test]
    fn no_server_works_above_its_capacity(
        steps in prop::collection::vec((0u64..400, 0u8..6, 100f64..20_000.0), 1..300),
        cold in any::<bool>(),
    ) {
        let mut server = Server::new(ServerProfile { dies_when_overloaded: false, ..profile() });
        let (mut now, mut connection, mut outputs) = (SECOND, 0, Vec::new());
        if cold {
            server.start(now, &mut outputs);
        }
        let mut store = SessionStore::new(500.0, SECOND);
        let (mut lines, mut answered) = (0, 0);
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
                    lines += 1;
                    server.receive_message(now, connection, work, vec![1], &mut outputs);
                }
            }
            server.advance(now, &mut outputs);
            answered += outputs.iter().filter(|o| matches!(o, ServerOutput::Send(_, ServerMessage::Message(_)))).count();
            prop_assert!(answered <= lines, "each line comes back once at most");
            prop_assert!(server.sessions_held() <= 50);
            outputs.clear();
        }
        // What it has taken on is done by then and not before: two cores at full speed at the best.
        let begun = SECOND;
        let mut end = now;
        while server.next_event_at() != u64::MAX {
            end = end.max(server.next_event_at());
            server.advance(end, &mut outputs);
        }
        let could = (end - begun) as f64 / SECOND as f64 * 2e6;
        prop_assert!(server.done <= could + 1.0, "{} done of {could}", server.done);
    }

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

    /// Whatever fault is injected, each session ends once, and the decisions alone keep the rules.
    #[test]
    fn every_session_ends_once(seed in 0u64..1000, what in 0usize..6) {
        let fault = [
            "what = 'proxy-killed'\nat = '2s'\nfor = '1s'",
            "what = 'server-silent'\nat = '2s'\nfor = '2s'\nshare = 0.3",
            "what = 'server-died'\nat = '2s'\nfor = '1s'",
            "what = 'store-slow'\nat = '2s'\nfor = '2s'\nfactor = 20.0",
            "what = 'server-drains'\nat = '2s'\nfor = '2s'",
            "what = 'clients-dropped'\nat = '3s'",
        ][what];
        let s = scenario(&format!("length = '6s'\n[[listeners]]\nstanding = 60\n[[faults]]\n{fault}\n"));
        let run = run(&s, seed);
        for l in &run.findings.listeners {
            let ends = l.accepted + l.rejected + l.failed + l.lost_with_proxy + l.proxy_unreachable + l.open;
            let without = run.findings.counts().get(&ViolationKind::NoResponse).copied().unwrap_or(0);
            prop_assert_eq!(l.opened, ends + without as u64);
        }
        prop_assert!(run.findings.violations.iter().all(|b| b.rule == 0), "{:?}", run.findings.violations.first());
    }
}

#[test]
fn the_same_seed_writes_the_same_book_to_the_byte() {
    let s =
        scenario("length = '5s'\n[[faults]]\nwhat = 'server-silent'\nat = '2s'\nfor = '2s'\nshare = 0.2\n");
    let (one, two, other) = (run(&s, 3), run(&s, 3), run(&s, 4));
    assert_eq!(one.event_log.to_json_lines(), two.event_log.to_json_lines());
    assert_ne!(one.event_log.to_json_lines(), other.event_log.to_json_lines());
}

/// A zone whose only proxy is dead waits until the external load balancer has noticed, and then until it is back; the other
/// zone goes on.
#[test]
fn the_front_deals_within_a_zone() {
    let mut load_balancer = ExternalLoadBalancer::new(3, 2, SECOND);
    assert_eq!(load_balancer.next_proxy(0, 0), None, "none has answered yet");
    (0..3).for_each(|proxy| load_balancer.proxy_answered(proxy));
    let dealt: Vec<_> = (0..4).map(|_| load_balancer.next_proxy(0, 4)).collect();
    assert_eq!(dealt, [Some(0), Some(2), Some(0), Some(2)]);
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
    clean(&run(&scenario(text), 1));
}

#[test]
fn a_calm_day_is_served_and_clean() {
    let run = run(&scenario("length = '10s'\n"), 1);
    clean(&run);
    assert!(run.service > 0.97, "{}", run.service);
    assert!(run.findings.listeners[0].accepted > 300);
}

/// The sessions of a killed proxy are its clients' to retry; the external load balancer goes on sending to it for two
/// seconds.
#[test]
fn what_a_killed_proxy_held_is_told_apart_from_a_loss() {
    let run = run(&scenario("length = '8s'\n[[faults]]\nwhat = 'proxy-killed'\nat = '3s'\nfor = '3s'\n"), 1);
    clean(&run);
    assert!(run.findings.listeners[0].proxy_unreachable > 10, "{:?}", run.findings.listeners);
    assert!(run.service > 0.8, "{}", run.service);
}

/// It is killed not at its time but with the next connection after it, which goes down with it, and it starts again once.
#[test]
fn a_proxy_killed_at_an_accept_is_killed_by_a_connection() {
    let day = |more| {
        format!(
            "length = '6s'\n[[listeners]]\nstanding = 0\nrate = 3.0\n[[faults]]\nwhat = 'proxy-killed'\nat = '2s'\nfor = '500ms'\n{more}"
        )
    };
    let run = run(&scenario(&day("at_accept = true\n")), 1);
    clean(&run);
    let at = |of: fn(&EventKind) -> bool| {
        run.event_log.events.iter().filter(move |e| e.at > 0 && of(&e.kind)).map(|e| e.at)
    };
    let exits = at(|what| matches!(what, EventKind::ProxyExited { planned: false, .. })).collect::<Vec<_>>();
    let [end] = exits[..] else { panic!("{exits:?}") };
    assert!(end > 2 * SECOND, "{end}");
    let opened = at(|what| matches!(what, EventKind::Opened { proxy: 0, .. }));
    assert!(opened.into_iter().any(|at| at + 2 == end), "no connection came at {end}");
    assert_eq!(at(|what| matches!(what, EventKind::ProxyUp { .. })).collect::<Vec<_>>(), [end + SECOND / 2]);
    assert_eq!(run.findings.listeners[0].lost_with_proxy, 1);
    let wrong =
        Scenario::parse("[[faults]]\nwhat = 'proxy-stopped'\nat = '1s'\nat_accept = true\n").unwrap_err();
    assert!(wrong.problems.iter().any(|p| p.key == "at_accept"), "{wrong:?}");
}

/// No change of the endpoint list starts a killed proxy again, where another is stopped by plan.
#[test]
fn a_killed_proxy_stays_dead_where_another_is_stopped_and_started() {
    let s = scenario(
        "length = '6s'\n[[faults]]\nwhat = 'proxy-killed'\nat = '1s'\nwhich = [1]\n[[faults]]\nwhat = 'proxy-stopped'\n\
         at = '2s'\nfor = '2s'\n[[faults]]\nwhat = 'server-died'\nat = '2500ms'\n",
    );
    let run = run(&s, 1);
    let at = |of: fn(&EventKind) -> Option<usize>| {
        let some = run.event_log.events.iter().filter(|e| e.at > 0);
        some.filter_map(|e| of(&e.kind).map(|proxy| (proxy, e.at))).collect::<Vec<_>>()
    };
    let exits = at(|what| match what {
        EventKind::ProxyExited { proxy, planned: true } => Some(*proxy),
        _ => None,
    });
    let starts = at(|what| match what {
        EventKind::ProxyUp { proxy } => Some(*proxy),
        _ => None,
    });
    // A shutdown takes as long as that of the daemon, and its sessions have to be migrated by then; 2 s later it is back.
    let [(0, end)] = exits[..] else { panic!("{exits:?}") };
    assert!((2 * SECOND + 6000..=2 * SECOND + 36_000).contains(&end), "{end}");
    assert_eq!(starts, [(0, end + 2 * SECOND)]);
    clean(&run);
}

/// A server that pauses for longer than a client's patience and then does what waited: the event log has a session that ran
/// after it was abandoned, and no client is notified of it.
#[test]
fn a_set_up_after_a_pause_runs_late_and_answers_nobody() {
    let text = "length = '8s'\n[servers.0]\n";
    assert!(Scenario::parse(text).is_err(), "servers are a list");
    let s = scenario(
        "length = '8s'\n[[servers]]\ncount = 1\n[rules]\nprobes = false\n[[listeners]]\nkind = 'once-only'\n\
         dial_timeout = '600ms'\n[[faults]]\nwhat = 'server-paused'\nat = '3s'\nfor = '2s'\n",
    );
    let run = run(&s, 1);
    clean(&run);
    let l = &run.findings.listeners[0];
    assert!(l.ran_after_abandoned > 0 && l.failed > 0, "{l:?}");
}

#[test]
fn a_cold_server_that_is_rushed_falls_over_once_and_comes_back_cold() {
    let (mut server, mut store, mut outputs) =
        (Server::new(profile()), SessionStore::new(1e6, SECOND), Vec::new());
    let mut now = SECOND;
    server.start(now, &mut outputs);
    outputs.clear();
    // A tenth of two cores is 100 set-ups a second; four times that for a second is the most it bears.
    for connection in 0..900 {
        now += 5;
        server.receive_request(now, connection, connection, 0.0, &mut store, &mut outputs);
        server.advance(now, &mut outputs);
    }
    let over =
        outputs.iter().filter(|o| matches!(o, ServerOutput::Overloaded(ratio) if *ratio > 4.0)).count();
    assert_eq!((over, server.state()), (1, ServerState::Dead));
    server.advance(now + SECOND, &mut outputs);
    assert_eq!(server.state(), ServerState::Up);
    assert!(server.warmth(now + SECOND) < 0.2);
    // The same to a warm one is nothing.
    let (mut warm, mut outputs) = (Server::new(profile()), Vec::new());
    (0..900).for_each(|connection| {
        warm.receive_request(SECOND + connection * 5, connection, connection, 0.0, &mut store, &mut outputs)
    });
    assert!(!outputs.iter().any(|o| matches!(o, ServerOutput::Overloaded(_))));
}

#[test]
fn three_proxies_do_not_rush_a_fresh_server_together() {
    let s = scenario(
        "length = '12s'\n[[servers]]\ncount = 4\n[[servers]]\ncount = 1\nlisted = false\n\
         [[listeners]]\nstanding = 300\nrate = 60.0\n[[faults]]\nwhat = 'servers-join'\nat = '3s'\n",
    );
    let run = run(&s, 1);
    clean(&run);
}

/// A run of a hundred proxies before so many of sixty servers, the others not listed yet. It must be without a violation and
/// serve so much.
fn vast(listed: usize, least: f64, faults: &str) -> Run {
    let run = run(
        &scenario(&format!(
            "length = '14s'\n[proxies]\ncount = 100\nzones = 4\n[store]\nrate = 400.0\n[[servers]]\ncount = {listed}\n\
             [[servers]]\ncount = {}\nlisted = false\n[[listeners]]\nstanding = 400\nrate = 20.0\nlife = '30s'\n{faults}",
            60 - listed
        )),
        1,
    );
    clean(&run);
    assert!(run.service > least, "{}", run.service);
    run
}

/// How many sessions these servers accepted.
fn accepted(run: &Run, servers: Range<usize>) -> usize {
    let ends = |e: &&LoggedEvent| matches!(e.kind, EventKind::AttemptEnded { server, end: AttemptEnd::Accepted, .. } if servers.contains(&server));
    run.event_log.events.iter().filter(ends).count()
}

#[test]
fn a_herd_of_seventy_proxies_killed_at_once_while_the_list_is_away() {
    let faults = "[[faults]]\nwhat = 'proxy-killed'\nat = '4s'\nfor = '2s'\nshare = 0.7\n\
        [[faults]]\nwhat = 'list-lost'\nat = '5s'\nfor = '3s'\n";
    vast(60, 0.6, faults);
}

#[test]
fn a_zone_of_proxies_and_servers_lost_and_back_cold() {
    let zone = |of: usize| (0..of).step_by(4).collect::<Vec<_>>();
    let (proxies, servers) = (zone(100), zone(60));
    let faults = format!(
        "[[faults]]\nwhat = 'proxy-killed'\nat = '4s'\nfor = '4s'\nwhich = {proxies:?}\n\
         [[faults]]\nwhat = 'server-died'\nat = '4s'\nfor = '4s'\nwhich = {servers:?}\n"
    );
    vast(60, 0.6, &faults);
}

/// Six in ten servers are replaced: those in slow start are used, none is overloaded, and those that drain are empty in time.
#[test]
fn six_in_ten_servers_replaced_within_seven_seconds() {
    let six_in_ten = (0..22).collect::<Vec<_>>();
    let faults = format!(
        "[[faults]]\nwhat = 'servers-join'\nat = '3s'\napart = '150ms'\n\
         [[faults]]\nwhat = 'server-drains'\nat = '4s'\nfor = '3500ms'\napart = '150ms'\nwhich = {six_in_ten:?}\n"
    );
    let run = vast(38, 0.8, &faults);
    let (new, old) = (accepted(&run, 38..60), accepted(&run, 0..38));
    assert!(new > old / 10, "{new} of {old} sessions on new servers");
}

/// All problems are reported at once, each with its line.
#[test]
fn a_bad_scenario_is_refused_with_line_key_and_reason() {
    let wrong = |text: &str| -> Vec<String> {
        Scenario::parse(text).unwrap_err().problems.iter().map(ToString::to_string).collect()
    };
    for (text, at) in [
        ("seed = 1\nlenght = '3s'\n", "2: lenght: unknown field"),
        ("length = '3 weeks'\n", "1: length: \"3 weeks\" is no span"),
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
        let found = wrong(text);
        assert!(found.iter().any(|f| f.starts_with(at)), "{text:?}: {found:?}");
    }
    assert_eq!(wrong("length = '0s'\n[proxies]\ncount = 0\n[must]\nservice = 2.0\n").len(), 3);
    assert_eq!(ConfigDuration::parse("1.5s"), Ok(ConfigDuration(15_000)));
}
