//! Goodput after a restart: on event logs written by hand, and in the shipped rolling restart in simulated time, where
//! the session store serves its queue in order, also calls that have been abandoned.
use larklink_simulation::duration::SECOND;
use larklink_simulation::event_log::{ClientRequest, ClientResponse, EventKind, EventLog};
use larklink_simulation::goodput::{Recovery, recovery};
use larklink_simulation::scenario::Scenario;
use larklink_simulation::simulate::{Run, run};

const SHIPPED: &str = include_str!("../../../scenarios/rolling-restart.toml");
/// The scenario's own demand.
const WITHIN: u64 = 5 * SECOND;

fn scenario(text: &str) -> Scenario {
    Scenario::parse(text).unwrap_or_else(|wrong| panic!("{wrong:?}"))
}

/// The shipped run with so many proxies, of which a tenth is restarted at a time, and such a dial timeout. Three hundred
/// stand before a store three times as fast, with as many more clients: so each sees under one session a second.
fn rolling(proxies: usize, dial_timeout: &str) -> Scenario {
    let times = if proxies > 30 { 3 } else { 1 };
    let changes = [
        ("\ncount = 30\n", format!("\ncount = {proxies}\n")),
        ("together = 3\n", format!("together = {}\n", proxies / 10)),
        ("dial_timeout = \"900ms\"", format!("dial_timeout = {dial_timeout:?}")),
        ("rate = 80.0\n", format!("rate = {}.0\n", 80 * times)),
        ("rate = 40.0\n", format!("rate = {}.0\n", 40 * times)),
        ("standing = 200\n", format!("standing = {}\n", 200 * times)),
    ];
    let text = changes.iter().fold(SHIPPED.to_owned(), |text, (was, is)| {
        assert_eq!(text.matches(was).count(), 1, "{was}");
        text.replace(was, is)
    });
    scenario(&text)
}

/// All that is wrong with a rolling restart from that seed.
fn wrong(proxies: usize, dial_timeout: &str, seed: u64) -> Option<String> {
    let Run { recovery, findings, .. } = run(&rolling(proxies, dial_timeout), seed);
    assert!(findings.violations.is_empty(), "{:?}", findings.counts());
    let recovery = recovery.expect("proxies were restarted");
    let describe = |wrong| format!("{proxies} proxies, {dial_timeout}, seed {seed}: {wrong}: {recovery}");
    recovery.unmet(WITHIN).map(describe)
}

/// Restarted proxies that know of no faults, and do not count the time-outs of their attempts as any, may keep the queue
/// of the session store longer than an attempt lasts, with no cause left outside: no session was accepted up to the end.
#[test]
fn goodput_comes_back_after_a_rolling_restart() {
    let runs = [(30, "900ms"), (30, "3200ms"), (300, "900ms"), (300, "3200ms")];
    let wrong: Vec<_> = std::thread::scope(|scope| {
        let run_of = |(proxies, timeout)| {
            scope.spawn(move || (1..=5).filter_map(|seed| wrong(proxies, timeout, seed)).collect())
        };
        let runs: Vec<_> = runs.map(run_of).into();
        runs.into_iter().flat_map(|run_of| -> Vec<String> { run_of.join().unwrap() }).collect()
    });
    assert!(wrong.is_empty(), "{} of 20:\n{}", wrong.len(), wrong.join("\n"));
}

/// A log of one restart at 2 s, in a run of 12 s before a store that bears 10 calls a second: each 50 ms a client opens a session,
/// and is accepted by what `accepts` says of its time, so long after it asked.
fn event_log(accepts: impl Fn(u64) -> Option<u64>) -> EventLog {
    let mut event_log = EventLog::default();
    event_log.record(0, EventKind::ProxyUp { proxy: 0 });
    let mut events = vec![(2 * SECOND, EventKind::ProxyUp { proxy: 0 })];
    for n in 0..240 {
        let (at, id) = (n * SECOND / 20, n + 1);
        let request = ClientRequest {
            client: n as usize,
            id,
            key: 1,
            group: 1,
            listener: 0,
            patience: SECOND,
            reconnecting: false,
            retry: false,
        };
        events.push((at, EventKind::Opened { request, proxy: 0 }));
        events.extend(
            accepts(at)
                .map(|after| (at + after, EventKind::Answered { id, response: ClientResponse::Accepted })),
        );
    }
    events.sort_by_key(|e| e.0);
    events.into_iter().for_each(|(at, kind)| event_log.record(at, kind));
    event_log
}

fn judged(rate: f64, accepts: impl Fn(u64) -> Option<u64>) -> Option<Recovery> {
    recovery(&scenario(&format!("length = '12s'\n[store]\nrate = {rate}\n")), &event_log(accepts))
}

/// Every other one of 20 that ask each second is accepted from then on.
fn half_from(from: u64) -> impl Fn(u64) -> Option<u64> {
    move |at| (at >= from && (at / (SECOND / 20)).is_multiple_of(2)).then_some(10)
}

#[test]
fn goodput_is_back_at_the_first_span_from_which_on_all_are() {
    let took = |rate, accepts: &dyn Fn(u64) -> Option<u64>| judged(rate, accepts).unwrap().took;
    assert_eq!(took(10.0, &half_from(0)), Some(0));
    // A window of 2 s may lack a tenth at its start.
    assert_eq!(took(10.0, &half_from(6 * SECOND)), Some(38 * SECOND / 10));
    // The store serves what is offered: half of it is too little. Offered less, it has to be all of that.
    assert_eq!(took(20.0, &half_from(0)), None);
    assert_eq!(took(1000.0, &|_| Some(10)), Some(0));
    // Responses after a client's patience are no goodput, nor is a good second between two bad ones.
    assert_eq!(took(10.0, &|_| Some(SECOND + 1)), None);
    assert_eq!(took(10.0, &|at| half_from(0)(at).filter(|_| at < 9 * SECOND)), None);
}

#[test]
fn who_tries_often_is_offered_once() {
    let mut all = event_log(|_| None);
    for entry in &mut all.events {
        if let EventKind::Opened { request, .. } = &mut entry.kind {
            request.client %= 4;
        }
    }
    let after = recovery(&scenario("length = '12s'\n"), &all).unwrap().after;
    assert!((after.offered - 0.4).abs() < 1e-9, "{after:?}");
}

#[test]
fn what_a_scenario_demands_is_told_when_it_is_not_so() {
    let unmet = |accepts: &dyn Fn(u64) -> Option<u64>, within| judged(10.0, accepts).unwrap().unmet(within);
    assert_eq!(unmet(&half_from(6 * SECOND), 4 * SECOND), None);
    let late = unmet(&half_from(6 * SECOND), 3 * SECOND).unwrap();
    assert_eq!(late, "goodput came back only 3.8 s after the last restart");
    let never = unmet(&|_| None, 5 * SECOND).unwrap();
    assert_eq!(never, "goodput never came back after the last restart");
    let short = unmet(&|_| None, 9 * SECOND).unwrap();
    assert!(short.contains("too short"), "{short}");
    assert!(
        recovery(&scenario("length = '3s'\n"), &event_log(|_| Some(10))).is_none(),
        "no span after the restart"
    );
    for (text, key) in [
        ("[must]\nrecovers = '5s'\n", "must.recovers"),
        ("[[faults]]\nwhat = 'proxy-stopped'\nat = '1s'\ntogether = 0\n", "together"),
    ] {
        assert!(Scenario::parse(text).unwrap_err().problems.iter().any(|p| p.key == key), "{text}");
    }
}

/// So many at a time, each step after the one before; each proxy ends and answers again once.
#[test]
fn all_proxies_are_restarted_a_tenth_at_a_time() {
    let run = run(&rolling(30, "900ms"), 1);
    let mut up = [0; 30];
    for entry in run.event_log.events.iter().filter(|e| e.at > 0) {
        match entry.kind {
            EventKind::ProxyUp { proxy } => up[proxy] += 1,
            EventKind::ProxyExited { planned, .. } => assert!(planned),
            _ => {}
        }
    }
    assert_eq!(up, [1; 30]);
    let stops = run
        .event_log
        .events
        .iter()
        .filter(|e| matches!(&e.kind, EventKind::FaultInjected(f) if f.contains("Stop")));
    let mut at: Vec<_> = stops.map(|e| e.at).collect();
    assert_eq!(at.len(), 30);
    at.dedup();
    assert_eq!(at.len(), 10);
}
