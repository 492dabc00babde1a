//! The rolling restart that ships, alone on the machine: thirty daemons and the kit are late beside other rehearsals.
#[expect(dead_code, reason = "what only the other rehearsals need")]
mod kit;
use kit::{clean, rehearse};

/// All are restarted, a tenth at a time, while half of the servers are replaced, before one store that serves its queue in
/// order. It takes 26 s. Restarted proxies kept that queue full of dials whose clients had gone, to the end of the run.
#[test]
fn goodput_comes_back_after_thirty_daemons_are_restarted_in_turn() {
    let report = rehearse(include_str!("../../../scenarios/rolling-restart.toml"), 1, None);
    println!("{:?}, late by {:?} us", report.recovery, report.timer_delay);
    clean(&report);
    assert!(
        report.proxies.len() == 30 && report.proxies.iter().all(|d| d.starts == 2),
        "{:?}",
        report.proxies
    );
}
