//! Runs scenarios against the compiled proxy on the testbed.
#![allow(clippy::unwrap_used, reason = "a test stops where its setup fails")]
use std::path::Path;

use larklink_simulation::audit::ViolationKind;
use larklink_simulation::scenario::Scenario;
use larklink_testbed::faulty_relay::PlantedFault;
use larklink_testbed::options::Options;
use larklink_testbed::report::Report;
use larklink_testbed::run::run;

/// The most runs of one scenario. A run that the machine was too busy for does not count and is repeated.
const MAX_RUNS: u64 = 8;

/// A scenario with several kinds of faults: a server joins in slow start, one drains, and two drop sessions that they
/// accepted. With only one that drops, three of some 400 once-only sessions failed in a run, and none in one run of
/// twenty.
pub(crate) const MULTIPLE_FAULTS: &str = "
length = '10s'
[proxies]
count = 2
[[servers]]
count = 4
setup_work = '20ms'
[[servers]]
count = 1
setup_work = '20ms'
listed = false
[[listeners]]
name = 'pick-list'
standing = 60
rate = 50.0
life = '4s'
[[listeners]]
name = 'stock-check'
kind = 'once-only'
dial_timeout = '1500ms'
standing = 0
rate = 40.0
life = '3s'
[[faults]]
what = 'servers-join'
at = '2s'
[[faults]]
what = 'server-drops'
at = '4s'
for = '3s'
factor = 3.0
which = [1, 2]
[[faults]]
what = 'server-drains'
at = '6s'
for = '3s'
which = [0]
";

/// Runs a scenario, with a planted fault if one is given, until a run counts, and returns its report.
pub(crate) fn run_scenario(text: &str, seed: u64, planted: Option<PlantedFault>) -> Report {
    let scenario = Scenario::parse(text).unwrap_or_else(|error| panic!("{error:?}"));
    let mut options = Options::new(Path::new(env!("CARGO_BIN_EXE_larklink")), seed);
    options.planted_fault = planted;
    (0..MAX_RUNS)
        .map(|_| run(&scenario, &options).unwrap())
        .find(|report| {
            let invalid = report.testbed_late || planted.is_none() && only_proxy_was_delayed(report);
            !invalid || planted == Some(PlantedFault::StallsTestbed)
        })
        .expect("the machine is too busy: no run counts")
}

/// Whether the only violation is one server that was sent too long a timeout. This happens if a client's line waits for
/// over 50 ms before the operating system schedules the proxy, which cannot know about that delay. A proxy that sends
/// too long timeouts by itself does so in every run. With a planted fault, the first run in which the testbed was not
/// late counts.
fn only_proxy_was_delayed(report: &Report) -> bool {
    report.violations.len() == 1 && report.violations[0].kind == ViolationKind::TimeoutTooLong
}

/// Asserts that a run has no violations and meets all requirements of its scenario.
pub(crate) fn assert_passed(report: &Report) {
    let first: Vec<_> = report.violations.iter().take(5).collect();
    assert!(report.passed(), "seed {}: {first:#?} {:?}", report.seed, report.unmet_requirements);
}
