//! Tests of when the endpoint list is polled.
use larklink_balancer::{Action, Settings};

use crate::fixture::{SECOND, START, at, balancer_with, settings};

#[test]
fn a_failed_poll_is_repeated_before_the_discovery_deadline() {
    let settings = Settings { polled_discovery: true, ..settings() };
    let mut balancer = balancer_with(settings.clone(), 3);
    assert!(balancer.poll(START).contains(&Action::PollEndpointList));
    balancer.discovery_failed(at(SECOND));
    assert!(balancer.next_wakeup() < at(SECOND + settings.discovery_deadline));
    assert!(balancer.poll(at(SECOND + settings.discovery_deadline)).contains(&Action::PollEndpointList));
}
