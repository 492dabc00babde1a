//! The connection limiter: what is reserved for whom, and who is evicted first.
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
    // One health check runs whatever clients use, on what is reserved for the process.
    let mut health_checks = vec![limiter.try_acquire_health_check().unwrap()];
    assert!(limiter.try_acquire_health_check().is_none());
    let mut evicted = 0;
    for endpoints in [1, 8, 16, 1024] {
        limiter.reserve_for_health_checks(endpoints);
        // A third of the limit at most, with what is reserved for the process.
        let reserved = endpoints.min(33 - 10);
        let gone =
            idle.iter().filter(|connection| block_on(poll_once(connection.evicted())).is_some()).count();
        assert_eq!(evicted + gone, reserved, "as many as were reserved, the oldest");
        assert!(
            limiter.try_acquire_health_check().is_none(),
            "evicted connections use theirs until they have closed"
        );
        idle.drain(..gone).for_each(drop);
        evicted += gone;
        health_checks.extend(std::iter::from_fn(|| limiter.try_acquire_health_check()));
        assert_eq!((health_checks.len(), limiter.client_descriptors()), (reserved, 90 - reserved));
    }
    drop(health_checks);
    // A new connection does not take what is reserved: the oldest idle one is evicted for it, the session never.
    let new = limiter.try_acquire().unwrap();
    assert!(block_on(poll_once(idle[0].evicted())).is_some());
    assert!(block_on(poll_once(limiter.evictions_done())).is_none(), "the oldest has not closed yet");
    idle.remove(0);
    assert!(block_on(poll_once(limiter.evictions_done())).is_some());
    assert!(block_on(poll_once(session.evicted())).is_none());
    // With a shorter list the descriptors are free for clients again.
    limiter.reserve_for_health_checks(0);
    idle.extend((0..23).map(|_| limiter.try_acquire().unwrap()));
    assert_eq!(limiter.client_descriptors(), 90);
    assert!(idle.iter().all(|connection| block_on(poll_once(connection.evicted())).is_none()));
    drop(new);
}

/// The open line of an evicted connection may lie in the kernel while many others are accepted.
#[test]
fn an_evicted_connection_with_a_line_is_kept_and_the_next_idle_one_evicted() {
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
    assert!(!last.cancel_eviction(), "all others are sessions");
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
fn the_other_process_leaves_what_is_in_use_and_not_what_is_reserved_for_health_checks() {
    let limiter = ConnectionLimiter::with_reserved(10, 100);
    limiter.reserve_for_health_checks(20);
    let _probes = (limiter.try_acquire_health_check().unwrap(), limiter.try_acquire_health_check().unwrap());
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
    // Sessions stay where a list has grown: health checks get their descriptors as sessions end.
    let limiter = ConnectionLimiter::with_reserved(4, 30);
    let mut sessions: Vec<_> =
        (0..26).map(|_| limiter.try_acquire().filter(|permit| permit.start_session()).unwrap()).collect();
    limiter.reserve_for_health_checks(1024);
    assert!(limiter.try_acquire().is_none());
    let first = limiter.try_acquire_health_check();
    assert!(first.is_some() && limiter.try_acquire_health_check().is_none());
    sessions.truncate(23);
    let few: Vec<_> = std::iter::from_fn(|| limiter.try_acquire_health_check()).collect();
    assert_eq!(few.len(), 2);
}
