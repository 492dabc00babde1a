//! Recovery of goodput after a restart, on hand-written event logs and in the shipped rolling restart in simulated
//! time. There, the session store serves its queue in order, including calls that have been abandoned.
use larklink_simulation::duration::SECOND;
use larklink_simulation::event_log::{ClientRequest, ClientResponse, EventKind, EventLog};
use larklink_simulation::goodput::{Recovery, recovery};
use larklink_simulation::scenario::Scenario;
use larklink_simulation::simulate::{Run, run};

const SHIPPED: &str = include_str!("../../../scenarios/rolling-restart.toml");
/// The recovery time that the scenario itself requires.
const REQUIRED_RECOVERY_TIME: u64 = 5 * SECOND;

fn scenario(text: &str) -> Scenario {
    Scenario::parse(text).unwrap_or_else(|error| panic!("{error:?}"))
}

/// The shipped scenario with another number of proxies and another dial timeout. A tenth of the proxies restarts at a
/// time. With more than 30 proxies, the store is three times as fast and there are three times as many clients, so that
/// each of 300 proxies gets less than one session per second.
fn rolling_restart(proxies: usize, dial_timeout: &str) -> Scenario {
    let scale = if proxies > 30 { 3 } else { 1 };
    let changes = [
        ("\ncount = 30\n", format!("\ncount = {proxies}\n")),
        ("together = 3\n", format!("together = {}\n", proxies / 10)),
        ("dial_timeout = \"900ms\"", format!("dial_timeout = {dial_timeout:?}")),
        ("rate = 80.0\n", format!("rate = {}.0\n", 80 * scale)),
        ("rate = 40.0\n", format!("rate = {}.0\n", 40 * scale)),
        ("standing = 200\n", format!("standing = {}\n", 200 * scale)),
    ];
    let text = changes.iter().fold(SHIPPED.to_owned(), |text, (original, replacement)| {
        assert_eq!(text.matches(original).count(), 1, "{original}");
        text.replace(original, replacement)
    });
    scenario(&text)
}

/// Why a rolling restart with this seed does not recover in time; `None` if it does.
fn failure(proxies: usize, dial_timeout: &str, seed: u64) -> Option<String> {
    let Run { recovery, findings, .. } = run(&rolling_restart(proxies, dial_timeout), seed);
    assert!(findings.violations.is_empty(), "{:?}", findings.counts());
    let recovery = recovery.expect("proxies were restarted");
    let describe = |reason| format!("{proxies} proxies, {dial_timeout}, seed {seed}: {reason}: {recovery}");
    recovery.unmet_requirement(REQUIRED_RECOVERY_TIME).map(describe)
}

/// Guards against a metastable overload of the session store. Restarted proxies have no record of failures; if they do
/// not count attempt timeouts as failures either, their attempts can keep the store's queue longer than an attempt
/// lasts, with no external cause left. No session was then accepted until the end of the run.
#[test]
fn goodput_comes_back_after_a_rolling_restart() {
    let runs = [(30, "900ms"), (30, "3200ms"), (300, "900ms"), (300, "3200ms")];
    let failures: Vec<_> = std::thread::scope(|scope| {
        let spawn = |(proxies, timeout)| {
            scope.spawn(move || (1..=5).filter_map(|seed| failure(proxies, timeout, seed)).collect())
        };
        let threads: Vec<_> = runs.map(spawn).into();
        threads.into_iter().flat_map(|thread| -> Vec<String> { thread.join().unwrap() }).collect()
    });
    assert!(failures.is_empty(), "{} of 20:\n{}", failures.len(), failures.join("\n"));
}

/// An event log of 12 s with a restart at 2 s. Every 50 ms another client opens a session, which is accepted after
/// `response_delay` of its opening time, or never if that is `None`.
fn event_log(response_delay: impl Fn(u64) -> Option<u64>) -> EventLog {
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
            dial_timeout: SECOND,
            reconnecting: false,
            retry: false,
        };
        events.push((at, EventKind::Opened { request, proxy: 0 }));
        events.extend(
            response_delay(at)
                .map(|delay| (at + delay, EventKind::Answered { id, response: ClientResponse::Accepted })),
        );
    }
    events.sort_by_key(|event| event.0);
    events.into_iter().for_each(|(at, kind)| event_log.record(at, kind));
    event_log
}

fn recovery_of(rate: f64, response_delay: impl Fn(u64) -> Option<u64>) -> Option<Recovery> {
    recovery(&scenario(&format!("length = '12s'\n[store]\nrate = {rate}\n")), &event_log(response_delay))
}

/// From the given time on, accepts every other one of the 20 sessions opened per second.
fn half_from(from: u64) -> impl Fn(u64) -> Option<u64> {
    move |at| (at >= from && (at / (SECOND / 20)).is_multiple_of(2)).then_some(10)
}

#[test]
fn goodput_recovers_at_the_first_window_that_stays_above_the_threshold() {
    let recovery_time = |rate, response_delay: &dyn Fn(u64) -> Option<u64>| {
        recovery_of(rate, response_delay).unwrap().recovery_time
    };
    assert_eq!(recovery_time(10.0, &half_from(0)), Some(0));
    // Goodput must reach 90 % of a window of 2 s, so the window may begin 0.2 s before 6 s, 3.8 s after the restart.
    assert_eq!(recovery_time(10.0, &half_from(6 * SECOND)), Some(38 * SECOND / 10));
    // If the store can serve all that is offered, half of it is not enough. A store rate above the offered load makes
    // the offered load the target.
    assert_eq!(recovery_time(20.0, &half_from(0)), None);
    assert_eq!(recovery_time(1000.0, &|_| Some(10)), Some(0));
    // Responses after the dial timeout are not goodput, and a recovery that does not last until the end does not count.
    assert_eq!(recovery_time(10.0, &|_| Some(SECOND + 1)), None);
    assert_eq!(recovery_time(10.0, &|at| half_from(0)(at).filter(|_| at < 9 * SECOND)), None);
}

#[test]
fn retries_of_one_client_count_once_as_offered() {
    let mut all = event_log(|_| None);
    for event in &mut all.events {
        if let EventKind::Opened { request, .. } = &mut event.kind {
            request.client %= 4;
        }
    }
    let since_restart = recovery(&scenario("length = '12s'\n"), &all).unwrap().since_restart;
    assert!((since_restart.offered - 0.4).abs() < 1e-9, "{since_restart:?}");
}

#[test]
fn unmet_recovery_requirement_is_reported() {
    let unmet = |response_delay: &dyn Fn(u64) -> Option<u64>, within| {
        recovery_of(10.0, response_delay).unwrap().unmet_requirement(within)
    };
    assert_eq!(unmet(&half_from(6 * SECOND), 4 * SECOND), None);
    let late = unmet(&half_from(6 * SECOND), 3 * SECOND).unwrap();
    assert_eq!(late, "goodput came back only 3.8 s after the last restart");
    let never = unmet(&|_| None, 5 * SECOND).unwrap();
    assert_eq!(never, "goodput never came back after the last restart");
    let short = unmet(&|_| None, 9 * SECOND).unwrap();
    assert!(short.contains("too short"), "{short}");
    assert!(
        recovery(&scenario("length = '3s'\n"), &event_log(|_| Some(10))).is_none(),
        "no window fits in after the restart"
    );
    for (text, key) in [
        ("[must]\nrecovers = '5s'\n", "must.recovers"),
        ("[[faults]]\nwhat = 'proxy-stopped'\nat = '1s'\ntogether = 0\n", "together"),
    ] {
        assert!(Scenario::parse(text).unwrap_err().problems.iter().any(|p| p.key == key), "{text}");
    }
}

/// A tenth of the proxies stops at a time, in ten steps, and each proxy restarts exactly once.
#[test]
fn all_proxies_are_restarted_a_tenth_at_a_time() {
    let run = run(&rolling_restart(30, "900ms"), 1);
    let mut starts = [0; 30];
    for event in run.event_log.events.iter().filter(|e| e.at > 0) {
        match event.kind {
            EventKind::ProxyUp { proxy } => starts[proxy] += 1,
            EventKind::ProxyExited { planned, .. } => assert!(planned),
            _ => {}
        }
    }
    assert_eq!(starts, [1; 30]);
    let stops = run
        .event_log
        .events
        .iter()
        .filter(|e| matches!(&e.kind, EventKind::FaultInjected(f) if f.contains("Stop")));
    let mut stop_times: Vec<_> = stops.map(|e| e.at).collect();
    assert_eq!(stop_times.len(), 30);
    stop_times.dedup();
    assert_eq!(stop_times.len(), 10);
}
