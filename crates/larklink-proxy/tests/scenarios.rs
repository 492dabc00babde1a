//! Short scenarios on the testbed: the compiled proxy passes them, and the audit finds each fault that is planted in
//! front of it.
use std::path::Path;
use std::thread;

use larklink_simulation::audit::ViolationKind;
use larklink_simulation::scenario::Scenario;
use larklink_testbed::faulty_relay::PlantedFault;
use larklink_testbed::options::Options;
use larklink_testbed::report::Report;
use larklink_testbed::run::run;

mod scenario_runner;
use scenario_runner::{MULTIPLE_FAULTS, assert_passed, run_scenario};

fn has_violation(report: &Report, kind: ViolationKind) -> bool {
    report.violations.iter().any(|violation| violation.kind == kind)
}

#[test]
fn a_run_without_faults_passes() {
    let report = run_scenario("length = '4s'\n", 1, None);
    assert_passed(&report);
    assert!(report.service > 0.95, "{}", report.service);
    assert!(report.listeners[0].outcomes.accepted > 200);
}

/// The external load balancer keeps sending clients to the dead proxy. These clients are counted apart, and neither
/// they nor the sessions that the proxy had are violations.
#[test]
fn a_killed_and_restarted_proxy_loses_no_other_sessions() {
    let text = "length = '6s'\n[[faults]]\nwhat = 'proxy-killed'\nat = '2s'\nfor = '2s'\n";
    let report = run_scenario(text, 1, None);
    assert_passed(&report);
    assert!(report.listeners[0].outcomes.proxy_unreachable > 0, "{:?}", report.listeners[0].outcomes);
    assert_eq!(report.proxies[0].starts, 2);
}

/// A proxy is killed right after it accepted a connection: only the sessions that it had are lost, and none runs twice.
#[test]
fn a_proxy_killed_at_an_accept_loses_only_its_own_sessions() {
    let text = "length = '7s'\n[proxies]\ncount = 2\n[front]\nnotices_after = '100ms'\n[[listeners]]\nkind = 'once-only'\n\
                rate = 60.0\nlife = '2s'\n[[faults]]\nwhat = 'proxy-killed'\nat = '2s'\nfor = '300ms'\nwhich = [0, 1]\n\
                apart = '1s'\nevery = '2s'\ntimes = 2\nat_accept = true\n";
    let report = run_scenario(text, 1, None);
    assert_passed(&report);
    assert!(report.listeners[0].outcomes.lost_with_proxy > 0, "{:?}", report.listeners[0].outcomes);
    assert!(report.proxies.iter().all(|proxy| proxy.starts == 3), "{:?}", report.proxies);
}

#[test]
fn proxies_that_reload_and_stop_in_turn_migrate_their_sessions() {
    let text = "length = '8s'\n[proxies]\ncount = 2\n[[faults]]\nwhat = 'proxy-reloaded'\nat = '500ms'\n\
                [[faults]]\nwhat = 'proxy-stopped'\nat = '2s'\nfor = '100ms'\n";
    let report = run_scenario(text, 1, None);
    assert_passed(&report);
    assert!(report.listeners[0].outcomes.migrated > 20, "{:?}", report.listeners[0].outcomes);
}

/// All clients reconnect together and retry without backoff while the session store is slow: each session gets exactly
/// one answer.
#[test]
fn a_retry_storm_on_a_slow_session_store_is_answered() {
    let text = "length = '8s'\n[store]\nrate = 200.0\nbound = '1s'\n[[listeners]]\nstanding = 150\nlife = '30s'\n\
                rate = 5.0\nspread = '1500ms'\nretry = 'at-once'\n[[faults]]\nwhat = 'store-slow'\nat = '3s'\n\
                for = '3s'\nfactor = 8.0\n[[faults]]\nwhat = 'clients-dropped'\nat = '3500ms'\n";
    let report = run_scenario(text, 1, None);
    assert_passed(&report);
    assert!(report.listeners[0].outcomes.rejected > 0, "{:?}", report.listeners[0].outcomes);
}

/// The report says so if goodput does not recover after a restart, here because the session store stays slow. The same
/// scenario without the slow store passes, so nothing else makes the run fail.
#[test]
fn a_run_in_which_goodput_never_recovers_does_not_pass() {
    let scenario = |slow_store| {
        format!(
            "length = '6s'\n[store]\nrate = 100.0\n[[listeners]]\nstanding = 30\nrate = 30.0\nlife = '2s'\ntries = 10\n\
             dial_timeout = '900ms'\nspread = '1s'\n[[faults]]\nwhat = 'proxy-stopped'\nat = '1s'\nfor = '100ms'\n{slow_store}[must]\nrecovers = '1s'\n"
        )
    };
    let recovered = run_scenario(&scenario(""), 1, None);
    assert_passed(&recovered);
    assert!(recovered.recovery.unwrap().recovery_time.is_some());
    let slow_store = "[[faults]]\nwhat = 'store-slow'\nat = '1s'\nfor = '60s'\nfactor = 20.0\n";
    let report = run_scenario(&scenario(slow_store), 1, None);
    assert_eq!(report.unmet_requirements, ["goodput never came back after the last restart, 1s asked for"]);
    assert!(!report.passed());
}

/// A server pauses for longer than the dial timeout and then answers. The event log records that the server ran
/// sessions after their clients had given up, and no client receives the answers.
#[test]
fn an_answer_after_the_dial_timeout_reaches_no_client() {
    let text = "length = '7s'\n[rules]\nprobes = false\n[[servers]]\ncount = 1\n[[listeners]]\nkind = 'once-only'\nstanding = 30\n\
           dial_timeout = '600ms'\nrate = 30.0\n[[faults]]\nwhat = 'server-paused'\nat = '3s'\nfor = '2s'\n";
    let report = run_scenario(text, 1, None);
    assert_passed(&report);
    assert!(report.listeners[0].outcomes.ran_after_abandoned > 0, "{:?}", report.listeners[0].outcomes);
}

#[test]
fn each_planted_fault_is_found_and_the_proxy_alone_passes() {
    let expected_violation = |planted| match planted {
        PlantedFault::RespondsTwice => ViolationKind::ExtraResponse,
        PlantedFault::SwallowsResponses => ViolationKind::NoResponse,
        PlantedFault::MakesConcurrentAttempts => ViolationKind::ConcurrentAttempts,
        PlantedFault::MakesAttemptsToDraining => ViolationKind::AttemptAfterDrainGrace,
        PlantedFault::RetriesFailed => ViolationKind::MayRunTwice,
        PlantedFault::CutsEstablished => ViolationKind::BrokenWithoutMigration,
        PlantedFault::OverloadsSlowStart => ViolationKind::SlowStartOverloaded,
        PlantedFault::DropsQueued => ViolationKind::NoResponse,
        PlantedFault::StallsTestbed | PlantedFault::MiscountsMetrics => {
            unreachable!("{planted:?} breaks no rule")
        }
    };
    // The relay retries sessions that failed, a few of some 400. At a rate of 40, about one run in ten had no failed
    // session for the relay to retry.
    let scenario = |planted| match planted {
        PlantedFault::RetriesFailed => MULTIPLE_FAULTS.replace("rate = 40.0", "rate = 120.0"),
        _ => MULTIPLE_FAULTS.to_owned(),
    };
    // Few runs at a time, so that the machine is not too busy for them.
    for planted in PlantedFault::RULE_BREAKING.chunks(4) {
        let runs =
            planted.iter().map(|&p| (p, thread::spawn(move || run_scenario(&scenario(p), 1, Some(p)))));
        for (planted, run) in runs.collect::<Vec<_>>() {
            let report = run.join().unwrap();
            assert!(
                has_violation(&report, expected_violation(planted)),
                "{planted:?}: {:?}",
                report.violations.iter().take(3)
            );
        }
    }
    let without_faults = (1..=3).map(|seed| thread::spawn(move || run_scenario(MULTIPLE_FAULTS, seed, None)));
    without_faults.collect::<Vec<_>>().into_iter().for_each(|run| assert_passed(&run.join().unwrap()));
}

/// Replaces the process under load, with and without pass-through: no session is lost, broken or migrated, and the
/// metrics of all processes together match what clients observed. Metrics that count a session twice are found.
#[test]
fn a_process_is_replaced_without_loss_and_its_metrics_are_right() {
    let scenario = |pass_through| {
        format!(
            "length = '8s'\n[proxies]\ncount = 2\ndoors = true\n[rules]\npasses = {pass_through}\n\
             [[listeners]]\nstanding = 100\nrate = 40.0\nlife = '4s'\n[[faults]]\n\
             what = 'proxy-replaced'\nat = '2s'\nevery = '3s'\ntimes = 2\n"
        )
    };
    for pass_through in [false, true] {
        let report = run_scenario(&scenario(pass_through), 1, None);
        assert_passed(&report);
        let outcomes = &report.listeners[0].outcomes;
        assert_eq!((outcomes.migrated, outcomes.proxy_unreachable), (0, 0), "{outcomes:?}");
        assert_eq!(report.proxies[0].starts, 3);
    }
    let report = run_scenario(&scenario(false), 1, Some(PlantedFault::MiscountsMetrics));
    assert!(
        report.unmet_requirements.iter().any(|text| text.contains("pick-list: passed")),
        "{:?}",
        report.unmet_requirements
    );
}

#[test]
fn a_run_in_which_the_testbed_is_late_is_reported_as_late() {
    let report = run_scenario("length = '2s'\n", 1, Some(PlantedFault::StallsTestbed));
    assert!(report.testbed_late, "{:?}", report.timer_delay);
}

#[test]
fn a_run_that_cannot_start_fails_with_its_reason() {
    let run_error = |text: &str, proxy_program: &str| {
        run(&Scenario::parse(text).unwrap(), &Options::new(Path::new(proxy_program), 1))
            .unwrap_err()
            .to_string()
    };
    let too_many_sessions = run_error("[[listeners]]\nstanding = 9000000\n", "/bin/true");
    assert!(too_many_sessions.contains("descriptors are needed"), "{too_many_sessions}");
    let too_few_descriptors = run_error("[proxies]\ndescriptors = 100\n", "/bin/true");
    assert!(too_few_descriptors.contains("each proxy needs"), "{too_few_descriptors}");
    let early_exit = run_error("", "/bin/false");
    assert!(early_exit.contains("proxy 0 ended at its start"), "{early_exit}");
    assert!(run_error("", "/nonexistent").contains("/nonexistent"));
}
