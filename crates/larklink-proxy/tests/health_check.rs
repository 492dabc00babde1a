//! Health checks of endpoints with fewer descriptors than there are endpoints.
#![allow(clippy::unwrap_used, reason = "a test stops where its setup fails")]
use std::io::Read;
use std::rc::Rc;
use std::thread;

use futures_lite::future;
use larklink_balancer::AttemptOutcome;
use larklink_proxy::config::Config;
use larklink_proxy::endpoint_list::Endpoint;
use larklink_proxy::events::{DecisionEvent, queue};
use larklink_proxy::limiter::ConnectionLimiter;
use larklink_proxy::upstream::health_check::HealthChecker;

mod harness;
use harness::peer::{Peer, WAIT_TIMEOUT};
use harness::{config, listen, refusing_address};

/// No connection is held open for the next check while another check waits for its descriptor.
#[test]
fn a_waiting_health_check_takes_precedence_over_an_idle_connection() {
    let (listener, at) = listen();
    let answers = thread::spawn(move || {
        // The first two are answered once both have arrived, so that the third has to wait for a permit.
        let mut both = [Peer::accept(&listener), Peer::accept(&listener)];
        both.iter_mut().for_each(|one| assert_eq!(one.receive_line(), "PING\r\n"));
        both.iter_mut().for_each(|one| one.send("PONG\r\n"));
        let mut third = Peer::accept(&listener);
        assert_eq!(third.receive_line(), "PING\r\n");
        third.send("PONG\r\n");
        both.into_iter().filter_map(|mut one| one.0.read(&mut [0]).ok()).filter(|&n| n == 0).count()
    });
    let config = config(&[at], refusing_address(), "proxy", 1024)
        .replace(r#""send_cap""#, r#""probing":true,"send_cap""#);
    let config: Config = serde_json::from_str(&config.replace("250000000", "5000000000")).unwrap();
    let (queue, events) = queue();
    let limiter = ConnectionLimiter::with_reserved(4, 18);
    let checker = HealthChecker::new(&config.settings, queue, Rc::clone(&limiter));
    let listed = (0..3).map(|n| (n, Endpoint::default())).collect();
    checker.update_endpoints(&listed);
    let checks = future::zip(future::zip(checker.check(0, at), checker.check(1, at)), checker.check(2, at));
    let late = async {
        async_io::Timer::after(WAIT_TIMEOUT).await;
        panic!("a health check waits forever");
    };
    async_io::block_on(future::or(async { _ = checks.await }, late));
    let all = std::iter::from_fn(|| events.try_recv().ok());
    let accepted = |event: &DecisionEvent| {
        matches!(event, DecisionEvent::HealthChecked { outcome: AttemptOutcome::Succeeded, .. })
    };
    assert_eq!(all.filter(accepted).count(), 3);
    drop(checker);
    assert_eq!(answers.join().unwrap(), 2);
}
