//! Tests of the load limits of endpoints.
use larklink_balancer::{Action, AttemptOutcome, Decision, EndpointIndex, Settings};

use crate::fixture::{
    SECOND, START, after_health_checks, at, balancer_with, connects_to, endpoint_of, request, settings, ticks,
};

/// Without a load limit, such an endpoint got a session from each of 226 proxies at once, 23 s later.
#[test]
fn an_endpoint_emptied_while_overloaded_is_avoided_for_most_of_a_minute() {
    let first_used_at = |overloaded: bool| {
        let mut balancer = balancer_with(Settings { health_checks: true, ..settings() }, 2);
        let owner = endpoint_of(balancer_with(settings(), 2).place(START, request(3, 0)).1);
        balancer.health_checked(
            START,
            EndpointIndex(owner),
            AttemptOutcome::Succeeded,
            if overloaded { ticks(400) } else { ticks(10) },
            0.0,
            0.0,
        );
        (1..80u64).find(|n| {
            (0..5).for_each(|part| drop(balancer.poll(at((n - 1) * SECOND + part * SECOND / 5))));
            let (session, decision) = balancer.place(at(*n * SECOND), request(3, 0));
            let decision = after_health_checks(&mut balancer, at(*n * SECOND), 2, decision);
            balancer.client_left(session);
            connects_to(decision, owner)
        })
    };
    assert_eq!(first_used_at(false), Some(1));
    assert!(first_used_at(true).is_some_and(|n| (30..60).contains(&n)), "{:?}", first_used_at(true));
}

/// A slow first health check, which includes the time to connect, must not mark an idle endpoint as
/// overloaded.
#[test]
fn where_load_is_reported_it_alone_limits_an_endpoint() {
    let mut balancer = balancer_with(Settings { health_checks: true, load_reports: true, ..settings() }, 1);
    let (first, _) = balancer.place(START, request(5, 0));
    balancer.poll(START);
    balancer.health_checked(
        at(ticks(400)),
        EndpointIndex(0),
        AttemptOutcome::Succeeded,
        ticks(400),
        0.0,
        0.0,
    );
    let decided = Action::Decided(
        first,
        Decision::Connect {
            endpoint: EndpointIndex(0),
            timeout: 2 * SECOND - ticks(400),
            send_deadline: at(2 * SECOND),
        },
    );
    assert!(
        balancer.poll(at(ticks(400))).contains(&decided),
        "an idle endpoint is not used after a slow answer"
    );
    balancer.established(at(ticks(500)), first);
    balancer.health_checked(at(SECOND), EndpointIndex(0), AttemptOutcome::Succeeded, ticks(10), 1.2, 0.0);
    assert!(
        matches!(balancer.place(at(2 * SECOND), request(5, 0)).1, Decision::Reject { .. }),
        "an overloaded endpoint got a further session"
    );
    balancer.health_checked(at(3 * SECOND), EndpointIndex(0), AttemptOutcome::Succeeded, ticks(10), 0.3, 0.0);
    // A proxy that has just started has few sessions there, so their number must not limit the endpoint.
    for key in 5..9 {
        endpoint_of(balancer.place(at(3 * SECOND), request(key, 0)).1);
    }
}
