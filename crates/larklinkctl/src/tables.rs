//! The report of a run as tables and lines for a terminal.
use comfy_table::{Table, presets::UTF8_HORIZONTAL_ONLY};
use larklink_simulation::audit::ShapeOutcomes;
use larklink_simulation::duration::SECOND;
use larklink_testbed::report::{ListenerReport, Report};

/// Findings that are printed; the JSON has them all.
const FINDINGS_PRINTED: usize = 20;
/// Kilobytes in a megabyte.
const KB_PER_MB: f64 = 1024.0;
/// Microseconds in a millisecond.
const US_PER_MS: f64 = 1e3;

/// Prints the whole report to standard output.
pub(crate) fn print(report: &Report) {
    println!("{}", outcomes_table(&report.rows));
    println!("{}", times_table(&report.rows));
    print_processes(report);
    print_findings(report);
    let verdict = if report.passed() { "all rules kept" } else { "findings, see above" };
    println!("{}, seed {}: service {:.3}, {verdict}", report.scenario, report.seed, report.service);
}

fn table_of(header: &[&str]) -> Table {
    let mut table = Table::new();
    table.load_style(UTF8_HORIZONTAL_ONLY).set_header(header.iter().copied());
    table
}

/// How the sessions of each listener ended.
fn outcomes_table(rows: &[ListenerReport]) -> Table {
    let mut table = table_of(&[
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
    for row in rows {
        let outcomes = &row.outcomes;
        let counts = [
            outcomes.opened,
            outcomes.accepted,
            outcomes.rejected,
            outcomes.failed,
            outcomes.lost_with_proxy,
            outcomes.proxy_unreachable,
            outcomes.open,
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

/// How long answers and lines of each listener took.
fn times_table(rows: &[ListenerReport]) -> Table {
    let mut table = table_of(&["milliseconds", "count", "p50", "p99", "p99.9", "max", "late"]);
    for row in rows {
        for (what, quantiles, late) in [
            ("to the answer", &row.response_ms, String::new()),
            ("a line", &row.message_ms, row.late_messages.to_string()),
        ] {
            let mut cells = vec![format!("{}, {what}", row.listener), quantiles.count.to_string()];
            let times = [quantiles.p50, quantiles.p99, quantiles.p999, quantiles.max];
            cells.extend(times.map(|ms| format!("{ms:.1}")));
            cells.push(late);
            table.add_row(cells);
        }
    }
    table
}

/// What the proxies used, the shapes of proxies, goodput, the store, and how late the testbed was.
fn print_processes(report: &Report) {
    for (i, usage) in report.proxies.iter().enumerate() {
        println!(
            "proxy {i}: {:.2} s of CPU, {:.1} MB at most, started {} times",
            usage.cpu_s,
            usage.peak_kb as f64 / KB_PER_MB,
            usage.starts
        );
    }
    for (shape, name) in report.shapes.iter().zip(ShapeOutcomes::NAMES).filter(|(shape, _)| shape.opened > 0)
    {
        println!("proxies of the {name} shape: {} of {} sessions accepted", shape.accepted, shape.opened);
    }
    if let Some(recovery) = &report.recovery {
        println!("goodput: {recovery}");
    }
    println!("store: {} calls, {} failed", report.store_calls, report.store_failed);
    println!(
        "the testbed was late by {:.1} ms at 999 in 1000, {:.1} ms at worst",
        report.timer_delay.p999_us as f64 / US_PER_MS,
        report.timer_delay.max_us as f64 / US_PER_MS
    );
}

/// Broken rules, then requirements of the scenario that were not met.
fn print_findings(report: &Report) {
    for finding in report.violations.iter().take(FINDINGS_PRINTED) {
        let at_s = finding.at as f64 / SECOND as f64;
        println!(
            "rule {} {} at {at_s:.3} s, session {}: {}",
            finding.rule, finding.kind, finding.session, finding.observed
        );
    }
    if report.violations.len() > FINDINGS_PRINTED {
        println!("and {} more", report.violations.len() - FINDINGS_PRINTED);
    }
    for requirement in &report.unmet_requirements {
        println!("requirement not met: {requirement}");
    }
}
