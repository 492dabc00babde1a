//! Prints the report of a run as tables and text lines.
use comfy_table::{Table, presets::UTF8_HORIZONTAL_ONLY};
use larklink_simulation::audit::ShapeOutcomes;
use larklink_simulation::duration::SECOND;
use larklink_testbed::report::{ListenerReport, Report};

/// The most violations that are printed. The JSON report contains all of them.
const MAX_VIOLATIONS_PRINTED: usize = 20;
/// KiB per MiB.
const KB_PER_MB: f64 = 1024.0;
/// Microseconds per millisecond.
const US_PER_MS: f64 = 1e3;

/// Prints the whole report to standard output.
pub(crate) fn print(report: &Report) {
    println!("{}", outcomes_table(&report.listeners));
    println!("{}", latency_table(&report.listeners));
    print_run_statistics(report);
    print_findings(report);
    let verdict = if report.passed() { "no findings" } else { "findings, see above" };
    println!("{}, seed {}: service {:.3}, {verdict}", report.scenario, report.seed, report.service);
}

fn new_table(header: &[&str]) -> Table {
    let mut table = Table::new();
    table.load_style(UTF8_HORIZONTAL_ONLY).set_header(header.iter().copied());
    table
}

/// The outcomes of the sessions of each listener.
fn outcomes_table(listeners: &[ListenerReport]) -> Table {
    let mut table = new_table(&[
        "listener",
        "opened",
        "accepted",
        "rejected",
        "failed",
        "with proxy",
        "no proxy",
        "open",
        "attempts",
        "retries",
        "migrated",
        "ran late",
        "service",
    ]);
    for row in listeners {
        let outcomes = &row.outcomes;
        let counts = [
            outcomes.opened,
            outcomes.accepted,
            outcomes.rejected,
            outcomes.failed,
            outcomes.lost_with_proxy,
            outcomes.proxy_unreachable,
            outcomes.unfinished,
            outcomes.attempts,
            outcomes.retries,
            outcomes.migrated,
            outcomes.ran_after_abandoned,
        ];
        let mut cells = vec![row.listener.clone()];
        cells.extend(counts.iter().map(ToString::to_string));
        cells.push(format!("{:.3}", row.service));
        table.add_row(cells);
    }
    table
}

/// The response times and message latencies of each listener.
fn latency_table(listeners: &[ListenerReport]) -> Table {
    let mut table = new_table(&["milliseconds", "count", "p50", "p99", "p99.9", "max", "late"]);
    for row in listeners {
        for (kind, quantiles, late) in [
            ("response", &row.response_ms, String::new()),
            ("message", &row.message_ms, row.late_messages.to_string()),
        ] {
            let mut cells = vec![format!("{}, {kind}", row.listener), quantiles.count.to_string()];
            let times = [quantiles.p50, quantiles.p99, quantiles.p999, quantiles.max];
            cells.extend(times.map(|ms| format!("{ms:.1}")));
            cells.push(late);
            table.add_row(cells);
        }
    }
    table
}

/// The resource usage of the proxies, the results by proxy shape, goodput, calls to the session store, and the timer
/// delay of the testbed.
fn print_run_statistics(report: &Report) {
    for (i, usage) in report.proxies.iter().enumerate() {
        println!(
            "proxy {i}: {:.2} s CPU time, {:.1} MB peak memory, starts: {}",
            usage.cpu_s,
            usage.peak_kb as f64 / KB_PER_MB,
            usage.starts
        );
    }
    for (shape, name) in report.shapes.iter().zip(ShapeOutcomes::NAMES).filter(|(shape, _)| shape.opened > 0)
    {
        println!("proxies of shape {name}: {} of {} sessions accepted", shape.accepted, shape.opened);
    }
    if let Some(recovery) = &report.recovery {
        println!("goodput: {recovery}");
    }
    println!("session store: {} calls, {} failed", report.store_calls, report.store_failed);
    println!(
        "testbed timer delay: p99.9 {:.1} ms, max {:.1} ms",
        report.timer_delay.p999_us as f64 / US_PER_MS,
        report.timer_delay.max_us as f64 / US_PER_MS
    );
}

/// The violations that the audit found, then the requirements of the scenario that were not met, failed requests for
/// metrics, and metrics that do not match the event log.
fn print_findings(report: &Report) {
    for violation in report.violations.iter().take(MAX_VIOLATIONS_PRINTED) {
        let at_s = violation.at as f64 / SECOND as f64;
        println!(
            "rule {} {} at {at_s:.3} s, session {}: {}",
            violation.rule, violation.kind, violation.session, violation.observed
        );
    }
    if report.violations.len() > MAX_VIOLATIONS_PRINTED {
        println!("and {} more violations", report.violations.len() - MAX_VIOLATIONS_PRINTED);
    }
    for requirement in &report.unmet_requirements {
        println!("requirement not met: {requirement}");
    }
}
