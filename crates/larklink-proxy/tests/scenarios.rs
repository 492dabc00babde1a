//! The program itself in small rehearsals: clean as it is, and each fault that is planted before it is found.
use std::path::Path;
use std::thread;

use larklink_simulation::audit::ViolationKind;
use larklink_simulation::scenario::Scenario;
use larklink_testbed::faulty_relay::PlantedFault;
use larklink_testbed::options::Options;
use larklink_testbed::report::Report;
use larklink_testbed::run::run;

mod kit;
use kit::{TROUBLED, clean, rehearse};

fn found(report: &Report, what: ViolationKind) -> bool {
    report.violations.iter().any(|b| b.kind == what)
}

#[test]
fn a_calm_day_is_clean() {
    let report = rehearse("length = '4s'\n", 1, None);
    clean(&report);
    assert!(report.service > 0.95, "{}", report.service);
    assert!(report.rows[0].outcomes.accepted > 200);
}

/// The front goes on sending to the dead proxy; what it held is told apart from a loss.
#[test]
fn a_proxy_killed_and_started_again_loses_nothing_else() {
    let text = "length = '6s'\n[[faults]]\nwhat = 'proxy-killed'\nat = '2s'\nfor = '2s'\n";
    let report = rehearse(text, 1, None);
    clean(&report);
    assert!(report.rows[0].outcomes.proxy_unreachable > 0, "{:?}", report.rows[0].outcomes);
    assert_eq!(report.proxies[0].starts, 2);
}

/// The connection that a proxy has just taken goes down with it, nothing else does, and nothing runs twice.
#[test]
fn a_proxy_killed_at_an_accept_takes_down_what_it_held_and_no_more() {
    let text = "length = '7s'\n[proxies]\ncount = 2\n[front]\nnotices_after = '100ms'\n[[listeners]]\nkind = 'once-only'\n\
                rate = 60.0\nlife = '2s'\n[[faults]]\nwhat = 'proxy-killed'\nat = '2s'\nfor = '300ms'\nwhich = [0, 1]\n\
                apart = '1s'\nevery = '2s'\ntimes = 2\nat_accept = true\n";
    let report = rehearse(text, 1, None);
    clean(&report);
    assert!(report.rows[0].outcomes.lost_with_proxy > 0, "{:?}", report.rows[0].outcomes);
    assert!(report.proxies.iter().all(|d| d.starts == 3), "{:?}", report.proxies);
}

#[test]
fn proxies_that_stop_in_turn_and_read_their_files_anew_move_all_they_hold() {
    let text = "length = '8s'\n[proxies]\ncount = 2\n[[faults]]\nwhat = 'proxy-reloaded'\nat = '500ms'\n\
                [[faults]]\nwhat = 'proxy-stopped'\nat = '2s'\nfor = '100ms'\n";
    let report = rehearse(text, 1, None);
    clean(&report);
    assert!(report.rows[0].outcomes.migrated > 20, "{:?}", report.rows[0].outcomes);
}

/// All try again at once while the store is slow: each hears, and nobody twice.
#[test]
fn a_storm_of_retries_on_a_slow_store_is_answered() {
    let text = "length = '8s'\n[store]\nrate = 200.0\nbound = '1s'\n[[listeners]]\nstanding = 150\nlife = '30s'\n\
                rate = 5.0\nspread = '1500ms'\nretry = 'at-once'\n[[faults]]\nwhat = 'store-slow'\nat = '3s'\n\
                for = '3s'\nfactor = 8.0\n[[faults]]\nwhat = 'clients-dropped'\nat = '3500ms'\n";
    let report = rehearse(text, 1, None);
    clean(&report);
    assert!(report.rows[0].outcomes.rejected > 0, "{:?}", report.rows[0].outcomes);
}

/// A restart after which the store never again bears what it did is told by the verdict; the same day without that is
/// clean, so that it is what was found.
#[test]
fn goodput_that_never_comes_back_is_found_wanting() {
    let day = |slow| {
        format!(
            "length = '6s'\n[store]\nrate = 100.0\n[[listeners]]\nstanding = 30\nrate = 30.0\nlife = '2s'\ntries = 10\n\
             dial_timeout = '900ms'\nspread = '1s'\n[[faults]]\nwhat = 'proxy-stopped'\nat = '1s'\nfor = '100ms'\n{slow}[must]\nrecovers = '1s'\n"
        )
    };
    let well = rehearse(&day(""), 1, None);
    clean(&well);
    assert!(well.recovery.unwrap().took.is_some());
    let slow = "[[faults]]\nwhat = 'store-slow'\nat = '1s'\nfor = '60s'\nfactor = 20.0\n";
    let report = rehearse(&day(slow), 1, None);
    assert_eq!(report.unmet_requirements, ["goodput never came back after the last restart, 1s asked for"]);
    assert!(!report.passed());
}

/// A server that pauses for longer than its clients wait, and then answers: the late run is in the book, and no
/// client hears of it.
#[test]
fn an_answer_after_the_clients_patience_reaches_nobody() {
    let text = "length = '7s'\n[rules]\nprobes = false\n[[servers]]\ncount = 1\n[[listeners]]\nkind = 'once-only'\nstanding = 30\n\
           dial_timeout = '600ms'\nrate = 30.0\n[[faults]]\nwhat = 'server-paused'\nat = '3s'\nfor = '2s'\n";
    let report = rehearse(text, 1, None);
    clean(&report);
    assert!(report.rows[0].outcomes.ran_after_abandoned > 0, "{:?}", report.rows[0].outcomes);
}

#[test]
fn each_planted_fault_is_found_and_the_daemon_alone_is_clean() {
    let of = |planted| match planted {
        PlantedFault::RespondsTwice => ViolationKind::ExtraResponse,
        PlantedFault::SwallowsResponses => ViolationKind::NoResponse,
        PlantedFault::AttemptsTwo => ViolationKind::ConcurrentAttempts,
        PlantedFault::AttemptsDraining => ViolationKind::AttemptAfterDrainGrace,
        PlantedFault::RetriesFailed => ViolationKind::MayRunTwice,
        PlantedFault::Cuts => ViolationKind::BrokenWithoutMigration,
        PlantedFault::OverloadsSlowStart => ViolationKind::SlowStartOverloaded,
        PlantedFault::DropsQueued => ViolationKind::NoResponse,
        PlantedFault::StallsTestbed | PlantedFault::CountsTwice => unreachable!("they break no rule"),
    };
    // Sent again is what was torn down, a few of some 400 sessions: one run in ten had none that could be.
    let day = |planted| match planted {
        PlantedFault::RetriesFailed => TROUBLED.replace("rate = 40.0", "rate = 120.0"),
        _ => TROUBLED.to_owned(),
    };
    // A few at a time, so that the machine has time for each.
    for planted in PlantedFault::BREAKING.chunks(4) {
        let runs = planted.iter().map(|&p| (p, thread::spawn(move || rehearse(&day(p), 1, Some(p)))));
        for (planted, run) in runs.collect::<Vec<_>>() {
            let report = run.join().unwrap();
            assert!(found(&report, of(planted)), "{planted:?}: {:?}", report.violations.iter().take(3));
        }
    }
    let alone = (1..=3).map(|seed| thread::spawn(move || rehearse(TROUBLED, seed, None)));
    alone.collect::<Vec<_>>().into_iter().for_each(|run| clean(&run.join().unwrap()));
}

/// Replaced under load in both modes, no session is lost, cut or moved, and the figures of all processes together are
/// what clients saw; a figure that counts twice is found.
#[test]
fn a_process_is_replaced_without_loss_and_its_figures_are_true() {
    let text = |passes| {
        format!(
            "length = '8s'\n[proxies]\ncount = 2\ndoors = true\n[rules]\npasses = {passes}\n[[listeners]]\nstanding = 100\n\
             rate = 40.0\nlife = '4s'\n[[faults]]\nwhat = 'proxy-replaced'\nat = '2s'\nevery = '3s'\ntimes = 2\n"
        )
    };
    for passes in [false, true] {
        let report = rehearse(&text(passes), 1, None);
        clean(&report);
        let answers = &report.rows[0].outcomes;
        assert_eq!((answers.migrated, answers.proxy_unreachable), (0, 0), "{answers:?}");
        assert_eq!(report.proxies[0].starts, 3);
    }
    let report = rehearse(&text(false), 1, Some(PlantedFault::CountsTwice));
    assert!(
        report.unmet_requirements.iter().any(|u| u.contains("pick-list: passed")),
        "{:?}",
        report.unmet_requirements
    );
}

#[test]
fn a_run_for_which_the_kit_itself_is_late_counts_for_nothing() {
    let report = rehearse("length = '2s'\n", 1, Some(PlantedFault::StallsTestbed));
    assert!(report.testbed_late, "{:?}", report.timer_delay);
}

#[test]
fn what_cannot_be_run_is_refused_with_its_reason() {
    let wrong = |text: &str, daemon: &str| {
        run(&Scenario::parse(text).unwrap(), &Options::new(Path::new(daemon), 1)).unwrap_err().to_string()
    };
    let many = wrong("[[listeners]]\nstanding = 9000000\n", "/bin/true");
    assert!(many.contains("descriptors are needed"), "{many}");
    let few = wrong("[proxies]\ndescriptors = 100\n", "/bin/true");
    assert!(few.contains("each daemon needs"), "{few}");
    let ended = wrong("", "/bin/false");
    assert!(ended.contains("proxy 0 ended at its start"), "{ended}");
    assert!(wrong("", "/nonexistent").contains("/nonexistent"));
}
