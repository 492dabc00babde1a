//! Simulations of the load that all proxies together send to endpoints in slow start. Guards against an
//! overload of such an endpoint in two cases:
//!
//! - `mass_restart`: about two thirds of the proxies are killed (half of 4, none of 1), half of the endpoints
//!   have started recently, one after another, and the clients of seven in ten sessions reconnect within a
//!   second, each large group to a single owner. The killed proxies restart one by one, and each is notified
//!   of the new endpoints at its own time.
//! - `burst`: no proxy is killed. Half of the endpoints start one after another, while new sessions arrive at
//!   three times the usual rate.
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Range;

use larklink_balancer::{
    AttemptOutcome, Balancer, Decision, EndpointEntry, EndpointIndex, EndpointState, Idempotency, ListScope,
    Listener, SessionHandle, SessionRequest, Settings, TickDuration, Timestamp,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

fn ticks(count: u64) -> TickDuration {
    TickDuration::from_ticks(count)
}

fn random_duration(rng: &mut ChaCha8Rng, range: Range<TickDuration>) -> TickDuration {
    ticks(rng.random_range(range.start.as_ticks()..range.end.as_ticks()))
}

const SECOND: TickDuration = TickDuration::from_secs(1);
const NOW: Timestamp = Timestamp::from_ticks(1_000_000);
/// The number of sessions that an endpoint can take after its slow start.
const CAPACITY: f64 = 60.0;
/// The mean number of sessions of an endpoint. In `burst`, also the usual number of sessions that arrive per
/// endpoint and second.
const MEAN_SESSIONS: usize = 25;

/// The settings of slow start.
#[derive(Clone, Copy)]
struct SlowStartSettings {
    overload_multiple: f64,
    overload_window: TickDuration,
    slow_start_duration: TickDuration,
}

const USUAL: SlowStartSettings = SlowStartSettings {
    overload_multiple: 3.0,
    overload_window: TickDuration::from_secs(2),
    slow_start_duration: TickDuration::from_secs(20),
};

/// A fleet and its settings.
#[derive(Clone, Copy)]
struct FleetModel {
    proxies: usize,
    endpoints: usize,
    /// The number of sessions that share a group key.
    group: usize,
    slow_start: SlowStartSettings,
    /// Whether all proxies are up and notified when the clients start to reconnect. Otherwise each starts or
    /// is notified at its own time.
    simultaneous: bool,
    /// Whether proxies enforce the slow start quota.
    quota: bool,
}

/// The result of one or more runs of a model.
#[derive(Clone, Copy, Default)]
struct RunResult {
    /// The most sessions sent to an endpoint in slow start within a window, divided by its limit.
    worst_overload: f64,
    /// The number of sessions sent to endpoints in slow start.
    sent: usize,
    /// The number of sessions that arrived.
    arrived: usize,
}

/// A run of a model.
struct Run {
    model: FleetModel,
    seed: u64,
    rng: ChaCha8Rng,
    /// The endpoints, every other one in slow start.
    entries: Vec<EndpointEntry>,
    proxies: Vec<Balancer>,
    /// When sessions were sent to each endpoint in slow start.
    sent: BTreeMap<EndpointIndex, Vec<Timestamp>>,
}

impl FleetModel {
    fn settings(&self) -> Settings {
        Settings {
            listeners: vec![Listener {
                idempotency: Idempotency::Idempotent,
                handshake_objective: SECOND / 2,
                priority_weight: 1.0,
            }],
            proxy_count: self.proxies as u32,
            drain_grace: SECOND / 2,
            initial_capacity: 0.2,
            slow_start_duration: self.slow_start.slow_start_duration,
            overload_multiple: self.slow_start.overload_multiple,
            overload_window: self.slow_start.overload_window,
            connect_timeout: SECOND / 5,
            max_attempts: 3,
            load_reports: true,
            max_dial_timeout: 2 * SECOND,
            message_objective: ticks(500),
            ..Settings::default()
        }
    }

    /// Returns the settings of the proxies.
    fn settings_of_proxies(&self) -> Settings {
        let slow_start_duration =
            if self.quota { self.slow_start.slow_start_duration } else { TickDuration::ZERO };
        Settings { slow_start_duration, ..self.settings() }
    }

    /// Returns the number of sessions that an endpoint of that age may be sent within the overload window.
    fn limit(&self, age: TickDuration) -> f64 {
        let settings = self.settings();
        let duration = settings.slow_start_duration.as_ticks_f64();
        let share =
            settings.initial_capacity + (1.0 - settings.initial_capacity) * age.as_ticks_f64() / duration;
        let n = settings.overload_multiple * share * CAPACITY / duration
            * settings.overload_window.as_ticks_f64();
        n + 2.0 * n.sqrt() + 2.0
    }
}

impl Run {
    /// Creates a run. `started_at` gives the start of every other endpoint; the others started long ago.
    fn new(model: FleetModel, seed: u64, started_at: impl Fn(u64) -> Timestamp) -> Self {
        let entry = |endpoint: usize| EndpointEntry {
            index: EndpointIndex(endpoint),
            id: 77 + 1000 * endpoint as u32,
            state: EndpointState::Ready,
            started_at: if in_slow_start(EndpointIndex(endpoint)) {
                started_at(endpoint as u64)
            } else {
                Timestamp::ZERO
            },
            ..EndpointEntry::default()
        };
        Self {
            model,
            seed,
            rng: ChaCha8Rng::seed_from_u64(seed),
            entries: (0..model.endpoints).map(entry).collect(),
            proxies: Vec::new(),
            sent: BTreeMap::new(),
        }
    }

    /// Adds a proxy that starts with the endpoint list and one load report of an endpoint that started long
    /// ago.
    fn add_proxy(&mut self, started: Timestamp, lists_new: bool, reported_at: Timestamp) {
        let seed = self.seed * 1000 + self.proxies.len() as u64;
        let mut balancer = Balancer::new(self.model.settings_of_proxies(), seed, started);
        let is_listed = |entry: &&EndpointEntry| lists_new || entry.started_at == Timestamp::ZERO;
        let listed: Vec<_> = self.entries.iter().filter(is_listed).copied().collect();
        balancer.update_endpoints(started, ListScope::Cached, &listed);
        balancer.health_checked(
            reported_at,
            EndpointIndex(1),
            AttemptOutcome::Succeeded,
            ticks(10),
            0.5,
            CAPACITY / 2.0,
        );
        self.proxies.push(balancer);
    }

    /// Returns the request of the n-th session, from 0.
    fn request(&self, n: usize, reconnecting: bool) -> SessionRequest {
        SessionRequest {
            listener: 0,
            group_key: 1 + self.seed * 100_000 + (n / self.model.group) as u64,
            client_key: 1 + n as u64,
            dial_timeout: 2 * SECOND,
            reconnecting,
            ..SessionRequest::default()
        }
    }

    fn record_sent(&mut self, now: Timestamp, endpoint: EndpointIndex) {
        if in_slow_start(endpoint) {
            self.sent.entry(endpoint).or_default().push(now);
        }
    }

    fn result(&self, arrived: usize) -> RunResult {
        let overloads = self.sent.iter().map(|(&endpoint, times)| self.overload(endpoint, times));
        RunResult {
            worst_overload: overloads.fold(0.0, f64::max),
            sent: self.sent.values().map(Vec::len).sum(),
            arrived,
        }
    }

    /// Returns the maximum number of sessions sent to an endpoint within a window, divided by its limit. The
    /// limit is that of the middle of the window, since capacity grows within it. Only sessions during the
    /// slow start count: a short slow start is over before the last sessions arrive.
    fn overload(&self, endpoint: EndpointIndex, times: &[Timestamp]) -> f64 {
        let SlowStartSettings { overload_window, slow_start_duration, .. } = self.model.slow_start;
        let age = |time: Timestamp| time - self.entries[endpoint.0].started_at;
        let counted: Vec<_> = times.iter().copied().filter(|at| age(*at) < slow_start_duration).collect();
        let sent = |from: Timestamp| {
            counted.iter().filter(|at| (from..from + overload_window).contains(*at)).count() as f64
        };
        let relative_to_limit =
            |from: &Timestamp| sent(*from) / self.model.limit(age(*from + overload_window / 2));
        counted.iter().map(relative_to_limit).fold(0.0, f64::max)
    }
}

fn in_slow_start(endpoint: EndpointIndex) -> bool {
    endpoint.0.is_multiple_of(2)
}

/// When a proxy starts, and when it is notified of the new endpoints. A proxy whose `notified` is zero lists
/// them from its start.
#[derive(Clone, Copy)]
struct ProxyTimes {
    starts: Timestamp,
    notified: Timestamp,
}

/// Simulates that about two thirds of the proxies are killed. The survivors keep three in ten of the
/// sessions, on endpoints past their slow start. The other endpoints started from 1/40 to 16/40 of the slow
/// start ago.
fn mass_restart(model: FleetModel, seed: u64) -> RunResult {
    let slow_start = model.slow_start.slow_start_duration;
    let mut run = Run::new(model, seed, |n| NOW - ((n / 2 * 7 % 16) * slow_start / 40 + slow_start / 40));
    let survivors = model.proxies.div_ceil(3);
    let times = proxy_times(&mut run, survivors);
    for time in &times {
        run.add_proxy(time.starts, time.notified == Timestamp::ZERO, time.starts.max(NOW - SECOND));
    }
    let sessions = model.endpoints * MEAN_SESSIONS;
    let kept = sessions * 3 / 10;
    for n in 0..kept {
        let proxy = run.rng.random_range(0..survivors);
        let request = run.request(n, false);
        run.proxies[proxy].adopt_established(
            NOW - SECOND,
            request,
            EndpointIndex(1 + 2 * (n % (model.endpoints / 2))),
        );
    }
    let mut queue = BTreeSet::new();
    for n in kept..sessions {
        queue.insert((NOW + random_duration(&mut run.rng, TickDuration::ZERO..SECOND), n, 0));
    }
    let arrived = queue.len();
    let mut notified = BTreeSet::new();
    while let Some((now, n, retries)) = queue.pop_first() {
        let proxy = run.rng.random_range(0..model.proxies);
        if now < times[proxy].starts {
            // The proxy is down, and the client tries another one shortly after.
            queue.insert((now + SECOND / 20, n, retries));
            continue;
        }
        if now >= times[proxy].notified && notified.insert(proxy) {
            run.proxies[proxy].update_endpoints(now, ListScope::Changes, &run.entries);
        }
        if reconnect(&mut run, now, proxy, n) && retries < 3 {
            queue.insert((now + SECOND / 3, n, retries + 1));
        }
    }
    run.result(arrived)
}

/// Returns the times of all proxies. Survivors may be notified late, and the killed proxies restart one by
/// one.
fn proxy_times(run: &mut Run, survivors: usize) -> Vec<ProxyTimes> {
    let model = run.model;
    let mut times = Vec::new();
    for n in 0..model.proxies {
        let time = if model.simultaneous {
            NOW
        } else {
            NOW + random_duration(&mut run.rng, TickDuration::ZERO..SECOND / 2)
        };
        let survives = n < survivors;
        times.push(if survives {
            ProxyTimes { starts: Timestamp::ZERO, notified: time }
        } else {
            ProxyTimes { starts: time, notified: Timestamp::ZERO }
        });
    }
    times
}

/// Places the n-th session and returns whether it is rejected. Every other session was reset and is marked as
/// reconnecting. The others are redirected and look new.
fn reconnect(run: &mut Run, now: Timestamp, proxy: usize, n: usize) -> bool {
    let request = run.request(n, n.is_multiple_of(2));
    let (handle, decision) = run.proxies[proxy].place(now, request);
    if let Decision::Connect { endpoint, .. } = decision {
        // Handshakes are prompt, so only the quota limits the sessions of an endpoint in slow start.
        run.proxies[proxy].established(now, handle);
        run.record_sent(now, endpoint);
    }
    matches!(decision, Decision::Reject { .. })
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum BurstEvent {
    /// A proxy is notified of an endpoint.
    ListUpdate(usize, EndpointIndex),
    /// A session arrives after a number of retries.
    SessionArrives(usize, u32),
    /// A session of a proxy ends.
    SessionEnds(usize, SessionHandle),
}

/// Simulates a burst of four seconds. Every other endpoint starts between one second before and 2.5 s into
/// the burst, one after another. All proxies survive. Each group arrives within a tenth of a second, and
/// sessions end soon, so that only the quota limits an endpoint in slow start.
fn burst(model: FleetModel, seed: u64) -> RunResult {
    let mut run = Run::new(model, seed, |n| NOW - SECOND + (n * 7 % 16) * SECOND / 4);
    for _ in 0..model.proxies {
        run.add_proxy(Timestamp::ZERO, false, NOW - 6 * SECOND);
    }
    let mut queue = BTreeSet::new();
    schedule_list_updates(&mut run, &mut queue);
    let arrived = schedule_sessions(&mut run, &mut queue);
    while let Some((now, event)) = queue.pop_first() {
        match event {
            BurstEvent::ListUpdate(proxy, endpoint) => {
                let changed = &run.entries[endpoint.0..=endpoint.0];
                run.proxies[proxy].update_endpoints(now, ListScope::Changes, changed);
            }
            BurstEvent::SessionEnds(proxy, handle) => run.proxies[proxy].client_left(handle),
            BurstEvent::SessionArrives(n, retries) => {
                let proxy = run.rng.random_range(0..model.proxies);
                let request = run.request(n - 1, n.is_multiple_of(2));
                let request = SessionRequest { client_key: 1 + n as u64, ..request };
                match run.proxies[proxy].place(now, request) {
                    (handle, Decision::Connect { endpoint, .. }) => {
                        run.record_sent(now, endpoint);
                        queue.insert((now + SECOND / 2, BurstEvent::SessionEnds(proxy, handle)));
                    }
                    (_, Decision::Reject { .. }) if retries < 3 => {
                        queue.insert((now + SECOND / 3, BurstEvent::SessionArrives(n, retries + 1)));
                    }
                    _ => {}
                }
            }
        }
    }
    run.result(arrived)
}

/// Schedules the notification of each proxy of each new endpoint, within a fifth of a second.
fn schedule_list_updates(run: &mut Run, queue: &mut BTreeSet<(Timestamp, BurstEvent)>) {
    let started: Vec<_> = run.entries.iter().filter(|e| e.started_at > Timestamp::ZERO).copied().collect();
    for entry in started {
        for proxy in 0..run.model.proxies {
            let at = entry.started_at + random_duration(&mut run.rng, TickDuration::ZERO..SECOND / 5);
            queue.insert((at, BurstEvent::ListUpdate(proxy, entry.index)));
        }
    }
}

/// Schedules the sessions: five seconds at the usual rate, then four at three times the rate. Returns their
/// number.
fn schedule_sessions(run: &mut Run, queue: &mut BTreeSet<(Timestamp, BurstEvent)>) -> usize {
    let FleetModel { endpoints, group, .. } = run.model;
    let mut arrived = 0;
    for (begin, seconds, rate) in [(NOW - 5 * SECOND, 5, MEAN_SESSIONS), (NOW, 4, 3 * MEAN_SESSIONS)] {
        let groups = (endpoints * rate * seconds).div_ceil(group);
        for _ in 0..groups {
            let moment = begin + random_duration(&mut run.rng, TickDuration::ZERO..seconds as u64 * SECOND);
            for _ in 0..group {
                arrived += 1;
                let at = moment + random_duration(&mut run.rng, TickDuration::ZERO..SECOND / 10);
                queue.insert((at, BurstEvent::SessionArrives(arrived, 0)));
            }
        }
    }
    arrived
}

/// Runs all seeds and returns the worst overload and the total numbers of sessions.
fn run_seeds(run: fn(FleetModel, u64) -> RunResult, model: FleetModel, seeds: u64) -> RunResult {
    let results = (1..=seeds).map(|seed| run(model, seed));
    results.fold(RunResult::default(), |all, one| RunResult {
        worst_overload: all.worst_overload.max(one.worst_overload),
        sent: all.sent + one.sent,
        arrived: all.arrived + one.arrived,
    })
}

/// A group of 150 sessions must not exceed its owner's limit, although each proxy has seen few sessions of
/// the group.
#[test]
fn no_fleet_size_overloads_an_endpoint_in_slow_start() {
    let sizes = [
        (1, 12, 24),
        (4, 12, 24),
        (20, 30, 16),
        (30, 30, 16),
        (40, 60, 12),
        (300, 90, 8),
        (350, 200, 4),
        (350, 400, 4),
    ];
    for (proxies, endpoints, seeds) in sizes {
        for group in [1, 50, 150] {
            let model =
                FleetModel { proxies, endpoints, group, slow_start: USUAL, simultaneous: true, quota: true };
            let RunResult { worst_overload, sent, arrived } = run_seeds(mass_restart, model, seeds);
            let name = format!("{proxies} proxies, {endpoints} endpoints, groups of {group}");
            assert!(worst_overload <= 1.0, "{name}: {worst_overload:.2} of the limit");
            assert!(
                sent * 100 > arrived,
                "{name}: only {sent} of {arrived} are sent to endpoints in slow start"
            );
            let RunResult { worst_overload, .. } =
                run_seeds(mass_restart, FleetModel { simultaneous: false, ..model }, seeds);
            assert!(worst_overload <= 1.0, "{name}, each at its own time: {worst_overload:.2} of the limit");
        }
    }
}

/// The smallest and the largest overload multiple, with the shortest and the longest window and slow start.
/// Without the quota, endpoints with a slow start of 10 s or longer are overloaded, which shows that the
/// model detects an overload.
#[test]
fn no_settings_let_a_fleet_overload_an_endpoint_in_slow_start() {
    for (proxies, endpoints) in [(4, 12), (20, 30), (30, 30), (300, 90)] {
        for multiple in [1.5, 8.0] {
            for (window, duration) in
                [(SECOND / 2, 3 * SECOND), (SECOND / 2, 30 * SECOND), (3 * SECOND, 8 * SECOND)]
            {
                let slow_start = SlowStartSettings {
                    overload_multiple: multiple,
                    overload_window: window,
                    slow_start_duration: duration,
                };
                let model = FleetModel {
                    proxies,
                    endpoints,
                    group: 150,
                    slow_start,
                    simultaneous: false,
                    quota: true,
                };
                let name = format!(
                    "{proxies} proxies, multiple {multiple}, window {window:?}, slow start of {duration:?}"
                );
                for group in [1, 50, 150] {
                    let RunResult { worst_overload, .. } =
                        run_seeds(mass_restart, FleetModel { group, ..model }, 6);
                    assert!(
                        worst_overload <= 1.0,
                        "{name}, groups of {group}: {worst_overload:.2} of the limit"
                    );
                }
                let RunResult { worst_overload, .. } =
                    run_seeds(mass_restart, FleetModel { quota: false, ..model }, 2);
                assert!(
                    duration < 10 * SECOND || worst_overload > 1.0,
                    "{name}: no overload without a quota"
                );
            }
        }
    }
}

/// Twenty to thirty proxies together keep within the quota of an endpoint in slow start, even in a burst.
#[test]
fn no_burst_overloads_an_endpoint_in_slow_start() {
    for (proxies, endpoints) in [(20, 12), (30, 12), (20, 40), (30, 40)] {
        for group in [1, 50, 150] {
            let model =
                FleetModel { proxies, endpoints, group, slow_start: USUAL, simultaneous: true, quota: true };
            let name = format!("{proxies} proxies, {endpoints} endpoints, groups of {group}");
            let RunResult { worst_overload, sent, arrived } = run_seeds(burst, model, 8);
            assert!(worst_overload <= 1.0, "{name}: {worst_overload:.2} of the limit");
            assert!(
                sent * 400 > arrived,
                "{name}: only {sent} of {arrived} are sent to endpoints in slow start"
            );
            let RunResult { worst_overload, .. } = run_seeds(burst, FleetModel { quota: false, ..model }, 1);
            assert!(worst_overload > 1.0, "{name}: no overload without a quota");
        }
    }
}
