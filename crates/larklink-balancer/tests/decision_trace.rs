//! Regression test of the decisions: seeded random events are reported to a balancer, and all of its outputs
//! are hashed, one hash per seed. A hash that differs from the recorded one means that a decision has
//! changed. The hashes are updated only for an intended change of decisions.
use larklink_balancer::{
    Action, AttemptOutcome, Balancer, Decision, DeduplicationGroup, EndpointEntry, EndpointIndex,
    EndpointState, HealthSummary, Idempotency, ListScope, Listener, Observation, RetryBudgetSettings,
    SessionHandle, SessionRequest, Settings, TickDuration, Timestamp,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use xxhash_rust::xxh3::Xxh3;

fn at(since_start: TickDuration) -> Timestamp {
    Timestamp::ZERO + since_start
}

fn ticks(count: u64) -> TickDuration {
    TickDuration::from_ticks(count)
}

const SECOND: TickDuration = TickDuration::from_secs(1);
const EVENTS: usize = 6_000;

/// How an endpoint responds to sessions and health checks.
#[derive(Clone, Copy, PartialEq)]
enum Health {
    Good,
    Slow,
    Hung,
    Full,
    Failing,
    Dead,
}

/// The emphasis of a run's events.
#[derive(Clone, Copy, PartialEq)]
enum Stress {
    /// All kinds of events and settings.
    Everything,
    /// Large groups, frequent restarts of endpoints, and times at the edges of windows.
    SlowStart,
    /// The same with more endpoints than the bucket table caches of a ranking. All of them restart at once, so
    /// that sessions pass most of them.
    LargeFleet,
}

impl Stress {
    fn endpoints(self) -> usize {
        match self {
            Self::Everything | Self::SlowStart => 14,
            Self::LargeFleet => 400,
        }
    }
}

struct OpenSession {
    handle: SessionHandle,
    endpoint: EndpointIndex,
    has_attempt: bool,
    established: bool,
}

/// The kinds of output. The discriminants are hashed.
#[derive(Clone, Copy)]
enum Output {
    Connect = 0,
    Wait = 1,
    Reject = 2,
    Fail = 3,
    CheckHealth = 4,
    Decided = 5,
    LimitSendDeadline = 6,
    Migrate = 7,
    PollEndpointList = 8,
    Log = 9,
    /// A session is over without a decision.
    SessionOver = 10,
}

/// The number of kinds of output.
const OUTPUT_KINDS: usize = Output::SessionOver as usize + 1;

struct Trace {
    rng: ChaCha8Rng,
    settings: Settings,
    stress: Stress,
    balancer: Balancer,
    now: Timestamp,
    open: Vec<OpenSession>,
    health: Vec<Health>,
    hash: Xxh3,
    /// The number of outputs of each kind, by [`Output`].
    output_counts: [usize; OUTPUT_KINDS],
}

fn settings(variant: u64) -> Settings {
    let bit = |n: u64| variant >> n & 1 == 1;
    let kinds = [
        Idempotency::Idempotent,
        Idempotency::OnceOnly,
        Idempotency::WithKey { group: DeduplicationGroup::All, window: 3 * SECOND },
        Idempotency::WithKey { group: DeduplicationGroup::Zone, window: SECOND },
        Idempotency::WithKey { group: DeduplicationGroup::Cell, window: SECOND },
    ];
    let listener = |(n, kind)| Listener {
        idempotency: kind,
        handshake_objective: SECOND / 2,
        priority_weight: 1.0 + n as f64,
    };
    Settings {
        listeners: kinds.into_iter().enumerate().map(listener).collect(),
        proxy_count: [0, 6, 300][(variant % 3) as usize],
        weighted: bit(0),
        polled_discovery: bit(1),
        discovery_deadline: 10 * SECOND,
        drain_grace: SECOND / 2,
        removal_not_binding: bit(2),
        initial_capacity: 0.2,
        slow_start_duration: 20 * SECOND,
        overload_multiple: 4.0,
        overload_window: SECOND,
        retry_budget: bit(3).then_some(RetryBudgetSettings {
            min_retries: 4.0,
            retry_ratio: 0.2,
            window: 5 * SECOND,
        }),
        availability_nines: None,
        connect_timeout: SECOND / 5,
        max_attempts: 4,
        max_retry_after: SECOND,
        retry_after_allowed: !bit(5),
        health_checks: !bit(4),
        load_reports: !bit(4) && bit(1),
        local_zone: bit(5).then_some(1),
        max_dial_timeout: if variant == 13 { TickDuration::MAX } else { 2 * SECOND },
        message_objective: ticks(500),
    }
}

fn entry(endpoint: usize, state: EndpointState, started_at: Timestamp) -> EndpointEntry {
    let weight = [1.0, 2.0, 0.5][endpoint % 3];
    let (zone, cell) = (endpoint as u16 % 2, endpoint as u16 % 3);
    EndpointEntry {
        index: EndpointIndex(endpoint),
        id: 77 + 1000 * endpoint as u32,
        zone,
        cell,
        state,
        weight,
        started_at,
    }
}

impl Trace {
    fn new(stress: Stress, variant: u64) -> Self {
        let mut settings = settings(variant);
        if stress != Stress::Everything {
            settings.proxy_count = [6, 40, 300][(variant % 3) as usize];
            settings.retry_budget = Some(if variant.is_multiple_of(2) {
                RetryBudgetSettings { min_retries: 1.0, retry_ratio: 0.02, window: ticks(2_000) }
            } else {
                RetryBudgetSettings { min_retries: 2.0, retry_ratio: 0.1, window: 2 * SECOND }
            });
        }
        let mut trace = Self {
            rng: ChaCha8Rng::seed_from_u64(1_000 + variant),
            balancer: Balancer::new(settings.clone(), variant, Timestamp::ZERO),
            settings,
            stress,
            now: Timestamp::ZERO,
            open: Vec::new(),
            health: vec![Health::Good; stress.endpoints()],
            hash: Xxh3::with_seed(0),
            output_counts: [0; OUTPUT_KINDS],
        };
        trace.list(ListScope::Cached, stress.endpoints() - 2);
        trace
    }

    /// Adds values to the hash.
    fn add_to_hash(&mut self, values: &[u64]) {
        for value in values {
            self.hash.update(&value.to_le_bytes());
        }
    }

    fn output(&mut self, kind: Output, values: &[u64]) {
        self.output_counts[kind as usize] += 1;
        self.add_to_hash(&[kind as u64]);
        self.add_to_hash(values);
    }

    fn list(&mut self, scope: ListScope, endpoints: usize) {
        let entries: Vec<_> =
            (0..endpoints).map(|s| entry(s, EndpointState::Ready, at(TickDuration::ZERO))).collect();
        self.balancer.update_endpoints(self.now, scope, &entries);
    }

    fn decided(&mut self, handle: SessionHandle, decision: Decision) {
        match decision {
            Decision::Connect { endpoint, timeout, send_deadline } => {
                self.output(
                    Output::Connect,
                    &[
                        handle.number() as u64,
                        endpoint.0 as u64,
                        timeout.as_ticks(),
                        send_deadline.as_ticks(),
                    ],
                );
                match self.open.iter_mut().find(|o| o.handle == handle) {
                    Some(open) => (open.endpoint, open.has_attempt) = (endpoint, true),
                    None => self.open.push(OpenSession {
                        handle,
                        endpoint,
                        has_attempt: true,
                        established: false,
                    }),
                }
            }
            Decision::Wait => {
                self.output(Output::Wait, &[handle.number() as u64]);
                self.open.push(OpenSession {
                    handle,
                    endpoint: EndpointIndex(0),
                    has_attempt: false,
                    established: false,
                });
            }
            Decision::Reject { retry_after } => {
                self.output(Output::Reject, &[handle.number() as u64, retry_after.as_ticks()]);
                self.open.retain(|o| o.handle != handle);
            }
            Decision::Fail => {
                self.output(Output::Fail, &[handle.number() as u64]);
                self.open.retain(|o| o.handle != handle);
            }
        }
    }

    fn poll(&mut self) {
        for action in self.balancer.poll(self.now) {
            match action {
                Action::CheckHealth(endpoint) => self.output(Output::CheckHealth, &[endpoint.0 as u64]),
                Action::Decided(handle, decision) => {
                    self.output(Output::Decided, &[handle.number() as u64]);
                    self.decided(handle, decision);
                }
                Action::LimitSendDeadline(handle, send_deadline) => self
                    .output(Output::LimitSendDeadline, &[handle.number() as u64, send_deadline.as_ticks()]),
                Action::Migrate(handle) => {
                    self.output(Output::Migrate, &[handle.number() as u64]);
                    self.balancer.client_left(handle);
                    self.open.retain(|o| o.handle != handle);
                }
                Action::PollEndpointList => self.output(Output::PollEndpointList, &[]),
                Action::Log(_) => self.output(Output::Log, &[]),
            }
        }
        let HealthSummary { listed, avoided } = self.balancer.health_summary();
        self.add_to_hash(&[self.balancer.next_wakeup().as_ticks(), listed as u64, avoided as u64]);
    }

    fn session(&mut self) -> SessionRequest {
        if self.stress != Stress::Everything {
            return self.grouped_session();
        }
        let key = self.rng.random_range(1..60u64);
        SessionRequest {
            listener: self.rng.random_range(0..5),
            group_key: if self.rng.random_bool(0.5) { key % 12 } else { 0 },
            client_key: if self.rng.random_bool(0.9) { key } else { 0 },
            dial_timeout: 2 * SECOND,
            established: self.rng.random_bool(0.1),
            reconnecting: self.rng.random_bool(0.2),
            client_retry: self.rng.random_bool(0.1),
        }
    }

    /// Two fifths of the sessions are in one group, and one fifth has no group.
    fn grouped_session(&mut self) -> SessionRequest {
        let client_key = self.rng.random_range(1..500u64);
        let group_key = match self.rng.random_range(0..5) {
            0..2 => 1,
            2..4 => self.rng.random_range(2..200u64),
            _ => 0,
        };
        let dial_timeout = [ticks(3_000), ticks(5_000), SECOND, 2 * SECOND][self.rng.random_range(0..4)];
        let (listener, reconnecting) = (self.rng.random_range(0..5), self.rng.random_bool(0.2));
        SessionRequest {
            listener,
            group_key,
            client_key,
            dial_timeout,
            reconnecting,
            ..SessionRequest::default()
        }
    }

    fn place(&mut self) {
        let session = self.session();
        let (handle, decision) = self.balancer.place(self.now, session);
        self.decided(handle, decision);
    }

    fn end_attempt(&mut self, index: usize, outcome: AttemptOutcome, over: bool) {
        let handle = self.open[index].handle;
        self.open[index].has_attempt = false;
        self.open[index].established = false;
        match self.balancer.attempt_ended(self.now, handle, outcome, over) {
            Some(decision) => self.decided(handle, decision),
            None => {
                self.output(Output::SessionOver, &[handle.number() as u64]);
                self.open.retain(|o| o.handle != handle);
            }
        }
    }

    /// Establishes or ends an attempt in flight, depending on the health of its endpoint.
    fn attempt_ends(&mut self) {
        let Some(index) = self.pick(|o| o.has_attempt && !o.established) else { return };
        let unusual = [
            AttemptOutcome::Cancelled,
            AttemptOutcome::NotSent,
            AttemptOutcome::Reset,
            AttemptOutcome::Succeeded,
        ];
        let unusual = unusual[self.rng.random_range(0..4)];
        let is_unusual = self.rng.random_bool(0.04);
        let outcome = match self.health[self.open[index].endpoint.0] {
            _ if is_unusual => unusual,
            Health::Good | Health::Slow => {
                self.open[index].established = true;
                return self.balancer.established(self.now, self.open[index].handle);
            }
            Health::Hung => AttemptOutcome::TimedOut,
            Health::Full => AttemptOutcome::AtCapacity,
            Health::Failing => AttemptOutcome::Failed,
            Health::Dead => AttemptOutcome::ConnectFailed,
        };
        self.end_attempt(index, outcome, outcome == AttemptOutcome::Succeeded);
    }

    fn established_ends(&mut self) {
        let Some(index) = self.pick(|o| o.established) else { return };
        let broken = self.health[self.open[index].endpoint.0] == Health::Dead || self.rng.random_bool(0.05);
        let over = !broken || self.rng.random_bool(0.5);
        self.end_attempt(index, if broken { AttemptOutcome::Reset } else { AttemptOutcome::Succeeded }, over);
    }

    fn observe(&mut self) {
        let Some(index) = self.pick(|o| o.established) else { return };
        let health = self.health[self.open[index].endpoint.0];
        let observation = match self.rng.random_range(0..10) {
            0..5 => {
                Observation::Load(self.rng.random_range(0.0..900.0) * if index % 7 == 0 { 8.0 } else { 1.0 })
            }
            5..9 if health == Health::Slow => {
                Observation::MessageLatency(ticks(self.rng.random_range(200..3_000)))
            }
            5..9 => Observation::MessageLatency(ticks(self.rng.random_range(0..300))),
            _ if health == Health::Hung => Observation::Unresponsive,
            _ if health == Health::Slow => Observation::MessageLatency(3 * SECOND),
            _ => Observation::MessageLatency(ticks(self.rng.random_range(0..1_000))),
        };
        self.balancer.observe(self.now, self.open[index].handle, observation);
    }

    fn health_check_ends(&mut self) {
        let endpoint = self.rng.random_range(0..self.stress.endpoints());
        let (outcome, took) = match self.health[endpoint] {
            Health::Good => (AttemptOutcome::Succeeded, ticks(self.rng.random_range(0..200))),
            Health::Slow => (AttemptOutcome::Succeeded, ticks(self.rng.random_range(0..900))),
            Health::Hung => (AttemptOutcome::TimedOut, SECOND / 5),
            Health::Full => (AttemptOutcome::AtCapacity, ticks(10)),
            Health::Failing => (AttemptOutcome::Failed, ticks(10)),
            Health::Dead => (AttemptOutcome::ConnectFailed, ticks(10)),
        };
        let max_load = if self.health[endpoint] == Health::Slow { 2.0 } else { 0.7 };
        let (load, sessions) =
            (self.rng.random_range(0.01..max_load), self.rng.random_range(0.0..90.0f64).floor());
        self.balancer.health_checked(self.now, EndpointIndex(endpoint), outcome, took, load, sessions);
    }

    fn list_changes(&mut self) {
        let endpoint = self.rng.random_range(0..self.stress.endpoints());
        match self.rng.random_range(0..12) {
            0 => self.list(ListScope::Complete, self.stress.endpoints()),
            1 => self.list(ListScope::Complete, self.stress.endpoints() - 3),
            2 => self.balancer.discovery_failed(self.now),
            n => {
                let states = [
                    EndpointState::Ready,
                    EndpointState::Draining,
                    EndpointState::Ready,
                    EndpointState::Removed,
                    EndpointState::Ready,
                ];
                let state = states[self.rng.random_range(0..5)];
                let started_at = if n < 6 { self.now } else { Timestamp::ZERO };
                self.balancer.update_endpoints(
                    self.now,
                    ListScope::Changes,
                    &[entry(endpoint, state, started_at)],
                );
            }
        }
    }

    fn health_changes(&mut self) {
        let all = [Health::Slow, Health::Hung, Health::Full, Health::Failing, Health::Dead];
        let bad = all[self.rng.random_range(0..5)];
        match self.rng.random_range(0..12) {
            // The session store behind all endpoints fails or recovers.
            0 => self.health.fill(if bad == Health::Failing { Health::Failing } else { Health::Hung }),
            1..5 => self.health.fill(Health::Good),
            5..8 => {
                let endpoint = self.rng.random_range(0..self.stress.endpoints());
                self.health[endpoint] = Health::Good;
            }
            _ => {
                let endpoint = self.rng.random_range(0..self.stress.endpoints());
                self.health[endpoint] = bad;
            }
        }
    }

    /// A new process of the proxy adopts some of the established sessions.
    fn restart(&mut self) {
        let seed = self.rng.random();
        self.balancer = Balancer::new(self.settings.clone(), seed, self.now);
        self.list(ListScope::Cached, self.stress.endpoints() - 1);
        self.balancer.take_over_from_predecessor(self.now);
        let established: Vec<_> = self.open.drain(..).filter(|o| o.established).collect();
        for open in established.into_iter().take(40) {
            let session = self.session();
            let handle = self.balancer.adopt_established(self.now, session, open.endpoint);
            self.add_to_hash(&[handle.number() as u64]);
            self.open.push(OpenSession {
                handle,
                endpoint: open.endpoint,
                has_attempt: false,
                established: true,
            });
        }
    }

    fn pick(&mut self, fits: impl Fn(&OpenSession) -> bool) -> Option<usize> {
        let fit: Vec<_> = (0..self.open.len()).filter(|&index| fits(&self.open[index])).collect();
        (!fit.is_empty()).then(|| fit[self.rng.random_range(0..fit.len())])
    }

    /// Returns a duration that is often the retry budget's window or half of it, or a tick off.
    fn edge_of_a_window(&mut self) -> TickDuration {
        [ticks(1), ticks(1_999), ticks(2_000), ticks(2_001), SECOND][self.rng.random_range(0..5)]
    }

    /// A new process of the proxy starts when half of the endpoints, or all of a large fleet, have just started.
    fn restart_with_endpoints(&mut self) {
        self.restart();
        let endpoints = self.stress.endpoints();
        let count = if self.stress == Stress::LargeFleet { endpoints } else { endpoints / 2 };
        let started: Vec<_> = (0..count).map(|s| entry(s, EndpointState::Ready, self.now)).collect();
        self.balancer.update_endpoints(self.now, ListScope::Changes, &started);
    }

    fn slow_start_step(&mut self, n: usize) {
        match self.rng.random_range(0..1_000) {
            _ if n % 500 == 499 => self.restart_with_endpoints(),
            0..450 => self.place(),
            450..700 => self.attempt_ends(),
            700..760 => self.established_ends(),
            760..800 => self.observe(),
            800..840 => self.health_check_ends(),
            840..855 => {
                let endpoint = self.rng.random_range(0..self.stress.endpoints());
                let restarted = entry(endpoint, EndpointState::Ready, self.now);
                self.balancer.update_endpoints(self.now, ListScope::Changes, &[restarted]);
            }
            855..862 => self.health_changes(),
            _ => {
                let wait = self.edge_of_a_window();
                self.now += wait;
            }
        }
        self.poll();
    }

    fn step(&mut self, n: usize) {
        match self.rng.random_range(0..1_000) {
            _ if n % 3_000 == 2_999 => self.restart(),
            0..240 => self.place(),
            240..500 => self.attempt_ends(),
            500..590 => self.established_ends(),
            590..740 => self.observe(),
            740..800 => self.health_check_ends(),
            800..815 => self.list_changes(),
            815..825 => self.health_changes(),
            825..835 if !self.open.is_empty() => {
                let index = self.rng.random_range(0..self.open.len());
                let handle = self.open.remove(index).handle;
                self.balancer.client_left(handle);
            }
            _ => {
                let max_wait = if n % 4_000 < 2_500 { SECOND / 10 } else { 2 * SECOND };
                self.now += ticks(self.rng.random_range(1..max_wait.as_ticks()));
            }
        }
        self.poll();
    }

    fn run(stress: Stress, variant: u64) -> (u64, [usize; OUTPUT_KINDS]) {
        let mut trace = Self::new(stress, variant);
        for n in 0..EVENTS {
            match stress {
                Stress::Everything => trace.step(n),
                Stress::SlowStart | Stress::LargeFleet => trace.slow_start_step(n),
            }
        }
        (trace.hash.digest(), trace.output_counts)
    }
}

#[rustfmt::skip]
const HASHES: [u64; 64] = [
    0x7475_5757_85b3_dcdb, 0x29c6_ea3b_cef0_79fa, 0x213b_4246_b815_92c5, 0xd52b_dc35_d759_1d37,
    0xca6c_b6c4_801f_eef5, 0x1fb5_b676_3cb5_8cde, 0x0de2_ac3c_7bb2_b211, 0xd26c_4243_38e7_5dc7,
    0x2384_fdf5_9646_1837, 0x6dd3_21bc_131d_7788, 0x4e71_e529_8a26_a3de, 0x8f8b_c07e_704d_4ede,
    0xdd22_34a4_bc60_d331, 0x7a2a_d424_6135_52ee, 0xf5a3_bad4_37ab_6d18, 0x0974_87ec_b33f_bc35,
    0xfe87_4df6_3d9f_b310, 0x5beb_c193_71ba_5c77, 0x2852_bc31_7b60_213a, 0xe04b_6ae8_8577_568a,
    0xdec5_621e_f8ca_aa8a, 0x7fbc_76f4_80c6_0d0c, 0x1591_e0eb_9569_d768, 0x3965_7bf3_97fa_39b1,
    0xa0f6_a1cc_c6cd_fbf4, 0xcf7c_efee_4e71_40b2, 0x325a_44de_eb76_6e8b, 0xd301_b095_deb9_7e0d,
    0x6302_0a00_aef1_9dd6, 0xf3cb_feaa_ba6e_20f2, 0x08ad_e04d_d8a3_de5c, 0x3f3d_a5b4_79bc_7d77,
    0x9bcd_2985_9408_c793, 0x9cc0_70c4_f50d_2153, 0x43c1_fc2e_03e2_aa15, 0xf8cb_553d_8abb_dd5a,
    0x116a_1413_c6ab_3a3d, 0x4de3_9489_aa75_32dd, 0x1af5_ad43_bd64_ebc7, 0x5522_8caa_14d7_179f,
    0x052b_850f_0c91_6e04, 0x5642_b9ff_39d9_1691, 0x9d13_2269_43aa_b6f1, 0xe921_e96d_dc13_ca09,
    0xae4f_182b_aac8_1365, 0xb4ed_43ef_266b_3fbd, 0x1083_b60a_641e_5703, 0x6dd3_1405_61fe_4472,
    0xc31d_9ad4_5a8e_89b5, 0x34b0_e329_185b_c5c6, 0xad12_84d0_e5f5_4077, 0xd998_d263_3629_9e99,
    0xb99c_568c_85e4_73cc, 0xc5e1_14d0_9880_4170, 0xa012_d46b_dacd_7e03, 0x3d8e_47e2_8327_3139,
    0xb2cb_1700_b09f_c858, 0xe85d_09ef_9cd0_018f, 0xbd71_43a2_870a_e24b, 0xb9ec_ddac_0919_0ab0,
    0x0a21_fea0_4a47_b68e, 0x2d31_b203_df9b_2555, 0x3401_8eca_2cdc_a1d4, 0x6590_720d_414c_ee97,
];

#[rustfmt::skip]
const SLOW_START_HASHES: [u64; 48] = [
    0x8c1b_b7b9_c1e9_5a4d, 0x92ce_8419_32b8_f320, 0x99da_a49a_5459_8fe8, 0x1ef0_ea6f_503e_d5d4,
    0x046d_7cfc_1e16_6b3c, 0x1118_d208_3938_9d5a, 0x62f6_5c56_70ad_f67c, 0xcb78_0290_1fb4_9bae,
    0x7c72_fda7_8508_2ad2, 0xd4c7_ac3d_df65_b927, 0x0ab7_6b98_2895_780b, 0x62d3_c6af_fa4a_7224,
    0x27e2_1937_5a22_a07f, 0xf28b_7e41_dc22_937f, 0x10ca_e98c_ec77_9e95, 0x9e38_2088_50c7_f1a9,
    0xd791_94da_a2d8_38d4, 0x75b8_1832_7b57_a4b1, 0x1edf_8b97_b348_e684, 0x646a_5c89_07ae_f920,
    0xf3f2_68af_ffc2_b274, 0x0f27_3538_962a_bb5a, 0xe7a4_85c8_0de2_84a2, 0x224d_87c9_4b5a_010e,
    0xd284_cd11_8292_0e45, 0xb7c1_36e8_89d3_c1ba, 0x928e_5d7b_1a19_2765, 0xc35b_4667_d911_d3d3,
    0xa4f1_55dd_ff8a_e71d, 0x75e5_d0e5_2834_81c3, 0x4fb8_4b05_f32f_e058, 0x5bc2_ee91_dbe5_391c,
    0x258d_8b55_ecd1_7c76, 0x0a70_bb5e_7f74_cafa, 0x652a_e04f_b720_9744, 0x0065_2b18_74ec_3456,
    0xd134_1b49_68bb_52ad, 0x07d9_99c4_b872_e999, 0x0b54_5e8c_d938_d807, 0xd1cd_1746_800b_4092,
    0xb048_40e7_8928_05c7, 0xa5fe_85e9_2c16_ddde, 0x1ebd_ebae_9098_3906, 0x3b43_d1db_2e79_4a45,
    0x9fb8_33c1_04b8_cc54, 0x9f24_154c_9f02_0302, 0x4393_e702_cd5c_14af, 0x3640_1f83_45fa_660c,
];

#[rustfmt::skip]
const LARGE_FLEET_HASHES: [u64; 12] = [
    0xc0aa_5d03_4998_200c, 0xb616_de85_e29f_3c28, 0x869a_7cc7_62df_69fe, 0x9bca_075d_dd7d_d9cb,
    0xdc68_e0db_5d06_fedc, 0xb538_7072_292a_a575, 0xee31_a1d5_677b_e0b0, 0x8cab_7b6b_0884_4154,
    0x10ee_ba59_d51a_4b85, 0xbdb7_48e5_9f01_800a, 0xa300_d86b_fd14_1228, 0xe896_96c0_0f35_3345,
];

/// Runs all seeds and returns their hashes and the number of outputs of each kind.
fn run_all(stress: Stress, seeds: usize) -> (Vec<u64>, [usize; OUTPUT_KINDS]) {
    let runs: Vec<_> = (0..seeds as u64).map(|variant| Trace::run(stress, variant)).collect();
    let mut output_counts = [0; OUTPUT_KINDS];
    for (_, counts) in &runs {
        output_counts.iter_mut().zip(counts).for_each(|(all, n)| *all += n);
    }
    (runs.into_iter().map(|(hash, _)| hash).collect(), output_counts)
}

#[test]
fn decisions_match_the_recorded_hashes() {
    let (hashes, output_counts) = run_all(Stress::Everything, HASHES.len());
    assert!(output_counts.iter().all(|&n| n >= 50), "a kind of output is too rare: {output_counts:?}");
    assert_eq!(hashes, HASHES, "{output_counts:?} {hashes:#x?}");
}

#[test]
fn decisions_on_slow_starts_and_groups_match_the_recorded_hashes() {
    let (hashes, output_counts) = run_all(Stress::SlowStart, SLOW_START_HASHES.len());
    let expected = [Output::Connect, Output::Wait, Output::Reject, Output::Fail, Output::CheckHealth]
        .map(|kind| kind as usize);
    assert!(
        expected.iter().all(|&kind| output_counts[kind] >= 50),
        "a kind of output is too rare: {output_counts:?}"
    );
    assert_eq!(hashes, SLOW_START_HASHES, "{output_counts:?} {hashes:#x?}");
}

#[test]
fn decisions_in_a_large_fleet_match_the_recorded_hashes() {
    let (hashes, output_counts) = run_all(Stress::LargeFleet, LARGE_FLEET_HASHES.len());
    let expected = [Output::Connect, Output::Reject, Output::CheckHealth].map(|kind| kind as usize);
    assert!(
        expected.iter().all(|&kind| output_counts[kind] >= 50),
        "a kind of output is too rare: {output_counts:?}"
    );
    assert_eq!(hashes, LARGE_FLEET_HASHES, "{output_counts:?} {hashes:#x?}");
}
