//! The rolling restart that is shipped as a scenario. It is alone in its test binary: beside other runs, its thirty
//! proxies and the testbed are late.
#[expect(dead_code, reason = "the other scenario tests use the rest")]
mod scenario_runner;
use scenario_runner::{assert_passed, run_scenario};

/// All proxies are restarted, a tenth at a time, while half of the servers are replaced, in front of one session store
/// that serves its queue in order. Guards against a congestion collapse: attempts of restarted proxies whose clients
/// had left kept that queue full to the end of the run. A run takes 26 s.
#[test]
fn goodput_recovers_after_a_rolling_restart_of_thirty_proxies() {
    let report = run_scenario(include_str!("../../../scenarios/rolling-restart.toml"), 1, None);
    println!("{:?}, timer delay {:?} us", report.recovery, report.timer_delay);
    assert_passed(&report);
    assert!(
        report.proxies.len() == 30 && report.proxies.iter().all(|proxy| proxy.starts == 2),
        "{:?}",
        report.proxies
    );
}
