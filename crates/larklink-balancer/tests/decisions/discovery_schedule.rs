//! When the endpoint list is polled.
use larklink_balancer::{Action, Settings};

use crate::fixture::{SECOND, balancer_with, settings};

#[test]
fn a_failed_poll_is_repeated_in_time() {
    let set = Settings { polled_discovery: true, ..settings() };
    let mut balancer = balancer_with(set.clone(), 3);
    assert!(balancer.poll(0).contains(&Action::PollEndpointList));
    balancer.discovery_failed(SECOND);
    assert!(balancer.next_wakeup() < SECOND + set.discovery_deadline);
    assert!(balancer.poll(SECOND + set.discovery_deadline).contains(&Action::PollEndpointList));
}
