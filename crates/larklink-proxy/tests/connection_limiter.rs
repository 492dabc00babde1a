//! The connection limiter: its reservations, and the order of evictions.
#![allow(clippy::unwrap_used, reason = "a test stops where its setup fails")]

use futures_lite::future::{block_on, poll_once};
use larklink_proxy::limiter::ConnectionLimiter;

#[test]
fn the_health_check_reservation_grows_with_the_list_and_evicts_idle_connections() {
    let limiter = ConnectionLimiter::with_reserved(10, 100);
    let mut session = limiter.try_acquire().unwrap();
    assert!(session.start_session() && session.try_acquire_upstream());
    let mut idle: Vec<_> = (0..88).map(|_| limiter.try_acquire().unwrap()).collect();
    assert_eq!(limiter.client_descriptors(), 90);
    // One health check is granted even if clients use all other descriptors; it uses a descriptor of the process.
    let mut health_checks = vec![limiter.try_acquire_health_check().unwrap()];
    assert!(limiter.try_acquire_health_check().is_none());
    let mut evicted = 0;
    for endpoints in [1, 8, 16, 1024] {
        limiter.reserve_for_health_checks(endpoints);
        // At most a third of the limit, including the reservation for the process.
        let reserved = endpoints.min(33 - 10);
        let newly_evicted =
            idle.iter().filter(|connection| block_on(poll_once(connection.evicted())).is_some()).count();
        assert_eq!(evicted + newly_evicted, reserved, "as many as were reserved");
        assert!(
            limiter.try_acquire_health_check().is_none(),
            "evicted connections hold their descriptors until they have closed"
        );
        // The oldest connections are the evicted ones.
        idle.drain(..newly_evicted).for_each(drop);
        evicted += newly_evicted;
        health_checks.extend(std::iter::from_fn(|| limiter.try_acquire_health_check()));
        assert_eq!((health_checks.len(), limiter.client_descriptors()), (reserved, 90 - reserved));
    }
    drop(health_checks);
    // A new connection does not use the reservation: the oldest idle connection is evicted for it, and no session.
    let new = limiter.try_acquire().unwrap();
    assert!(block_on(poll_once(idle[0].evicted())).is_some());
    assert!(block_on(poll_once(limiter.evictions_done())).is_none(), "the oldest has not closed yet");
    idle.remove(0);
    assert!(block_on(poll_once(limiter.evictions_done())).is_some());
    assert!(block_on(poll_once(session.evicted())).is_none());
    // After the list has shrunk, the descriptors are free for clients again.
    limiter.reserve_for_health_checks(0);
    idle.extend((0..23).map(|_| limiter.try_acquire().unwrap()));
    assert_eq!(limiter.client_descriptors(), 90);
    assert!(idle.iter().all(|connection| block_on(poll_once(connection.evicted())).is_none()));
    drop(new);
}

/// The open line of an evicted connection may wait unread in the kernel while many other connections are accepted.
#[test]
fn the_eviction_of_a_connection_with_an_open_line_is_cancelled_by_evicting_the_next_idle_one() {
    let limiter = ConnectionLimiter::new(2);
    let (mut session, idle) = (limiter.try_acquire().unwrap(), limiter.try_acquire().unwrap());
    let new = limiter.try_acquire().unwrap();
    assert!(!session.start_session());
    assert!(session.cancel_eviction() && session.start_session());
    assert!(block_on(poll_once(session.evicted())).is_none());
    assert!(block_on(poll_once(idle.evicted())).is_some());
    drop(idle);
    assert!(block_on(poll_once(limiter.evictions_done())).is_some());
    let mut last = new;
    let more = limiter.try_acquire().unwrap();
    assert!(more.start_session());
    assert!(!last.cancel_eviction(), "all other connections have sessions");
    drop((session, last, more));
    assert_eq!(limiter.client_descriptors(), 0);
}

#[test]
fn a_connection_lingering_after_its_session_uses_one_descriptor_and_is_evicted_before_sessions() {
    let limiter = ConnectionLimiter::new(4);
    let mut lingering = limiter.try_acquire().unwrap();
    assert!(lingering.start_session() && lingering.try_acquire_upstream());
    lingering.record_activity();
    assert_eq!(limiter.client_descriptors(), 1);
    let mut session = limiter.try_acquire().unwrap();
    assert!(session.start_session() && session.try_acquire_upstream());
    let idle = limiter.try_acquire().unwrap();
    let new = limiter.try_acquire().unwrap();
    assert!(block_on(poll_once(idle.evicted())).is_some() && !idle.start_session());
    drop(idle);
    assert!(new.start_session());
    let last = limiter.try_acquire().unwrap();
    assert!(block_on(poll_once(lingering.evicted())).is_some());
    drop(lingering);
    assert!(last.start_session() && limiter.try_acquire().is_none());
}

#[test]
fn descriptors_in_use_exclude_the_unused_reservation_for_health_checks() {
    let limiter = ConnectionLimiter::with_reserved(10, 100);
    limiter.reserve_for_health_checks(20);
    let _health_checks =
        (limiter.try_acquire_health_check().unwrap(), limiter.try_acquire_health_check().unwrap());
    let _idle = limiter.try_acquire().unwrap();
    assert_eq!((limiter.reserved(), limiter.in_use()), (10, 10 + 2 + 1));
}

#[test]
fn health_checks_share_the_reserved_descriptors() {
    let limiter = ConnectionLimiter::with_reserved(4, 30);
    limiter.reserve_for_health_checks(1024);
    let mut health_checks: Vec<_> = std::iter::from_fn(|| limiter.try_acquire_health_check()).collect();
    assert_eq!(health_checks.len(), 30 / 3 - 4);
    let mut next = Box::pin(limiter.acquire_health_check());
    assert!(block_on(poll_once(&mut next)).is_none());
    health_checks.pop();
    assert!(block_on(poll_once(&mut next)).is_some());
    // When the list grows, sessions are not evicted: health checks get their descriptors as sessions end.
    let limiter = ConnectionLimiter::with_reserved(4, 30);
    let mut sessions: Vec<_> =
        (0..26).map(|_| limiter.try_acquire().filter(|permit| permit.start_session()).unwrap()).collect();
    limiter.reserve_for_health_checks(1024);
    assert!(limiter.try_acquire().is_none());
    let first = limiter.try_acquire_health_check();
    assert!(first.is_some() && limiter.try_acquire_health_check().is_none());
    sessions.truncate(23);
    let further: Vec<_> = std::iter::from_fn(|| limiter.try_acquire_health_check()).collect();
    assert_eq!(further.len(), 2);
}
