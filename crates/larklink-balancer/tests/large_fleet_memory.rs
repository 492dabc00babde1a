//! Test of the memory of a balancer in a large fleet. A binary of its own, since it reads the memory of the process.
use larklink_balancer::{
    Balancer, Decision, EndpointEntry, EndpointIndex, EndpointState, Idempotency, ListScope, Listener,
    SessionRequest, Settings, TickDuration, Timestamp,
};

const USUAL_ENDPOINTS: usize = 200;
const LARGE_FLEET_ENDPOINTS: usize = 3_200;
/// Groups of sessions, enough for most of the buckets.
const GROUPS: u64 = 12_000;
const DIAL_TIMEOUT: TickDuration = TickDuration::from_secs(2);
const MEBIBYTE: usize = 1 << 20;

/// The most memory that a process may use in a large fleet if it uses `usual` bytes in one of usual size.
fn memory_limit(usual: usize) -> usize {
    usual * 3 / 2 + 8 * MEBIBYTE + 4 * MEBIBYTE * LARGE_FLEET_ENDPOINTS / 1_000
}

/// Returns the anonymous memory of this process, in bytes.
fn process_memory() -> usize {
    let status = std::fs::read_to_string("/proc/self/status").expect("status of the process");
    let field = status.lines().find_map(|line| line.strip_prefix("RssAnon:")).expect("memory");
    let kibibytes: usize = field.trim().trim_end_matches(" kB").parse().expect("a number of KiB");
    kibibytes << 10
}

/// Returns a balancer that has placed one session of each group.
fn balancer_after_many_groups(endpoints: usize) -> Balancer {
    let listener = Listener {
        idempotency: Idempotency::Idempotent,
        handshake_objective: TickDuration::from_millis(500),
        priority_weight: 1.0,
    };
    let settings = Settings {
        listeners: vec![listener],
        discovery_deadline: TickDuration::from_secs(10),
        connect_timeout: TickDuration::from_millis(250),
        max_attempts: 4,
        max_dial_timeout: DIAL_TIMEOUT,
        ..Settings::default()
    };
    let entry = |index| EndpointEntry {
        index: EndpointIndex(index),
        id: 77 + 1_000 * index as u32,
        state: EndpointState::Ready,
        weight: 1.0,
        ..EndpointEntry::default()
    };
    let entries: Vec<_> = (0..endpoints).map(entry).collect();
    let mut balancer = Balancer::new(settings, 7, Timestamp::ZERO);
    balancer.update_endpoints(Timestamp::ZERO, ListScope::Cached, &entries);
    for group_key in 1..=GROUPS {
        let request = SessionRequest { group_key, dial_timeout: DIAL_TIMEOUT, ..SessionRequest::default() };
        let (session, decision) = balancer.place(Timestamp::ZERO, request);
        assert!(matches!(decision, Decision::Connect { .. }), "{decision:?}");
        balancer.client_left(session);
        balancer.poll(Timestamp::ZERO);
    }
    balancer
}

/// Guards against a proxy that is killed for its memory: a ranking of all endpoints was kept for each bucket.
#[test]
fn sessions_of_many_groups_fit_the_memory_limit_of_a_large_fleet() {
    let at_start = process_memory();
    let _usual = balancer_after_many_groups(USUAL_ENDPOINTS);
    let with_usual = process_memory();
    let _large = balancer_after_many_groups(LARGE_FLEET_ENDPOINTS);
    let (usual, large) = (with_usual - at_start, process_memory() - with_usual);
    let limit = memory_limit(usual);
    println!(
        "{usual} bytes with {USUAL_ENDPOINTS} endpoints, {large} with {LARGE_FLEET_ENDPOINTS}, limit {limit}"
    );
    assert!(large <= limit, "{large} bytes, limit {limit}; {usual} in a fleet of usual size");
}
