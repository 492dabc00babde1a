//! `larklinkctl run`: a scenario, its progress, its table, its report.
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use comfy_table::{Table, presets::UTF8_HORIZONTAL_ONLY};
use indicatif::{ProgressBar, ProgressStyle};
use larklink_simulation::audit::ShapeOutcomes;
use larklink_simulation::scenario::Scenario;
use larklink_testbed::plots;
use larklink_testbed::report::Report;
use larklink_testbed::run::{self, Options};

/// The scenarios that ship with the daemon, by name.
const SHIPPED: [(&str, &str); 18] = [
    ("calm", include_str!("../../../scenarios/calm.toml")),
    ("cold-herd", include_str!("../../../scenarios/cold-herd.toml")),
    ("cold-return", include_str!("../../../scenarios/cold-return.toml")),
    ("deaf-clients", include_str!("../../../scenarios/deaf-clients.toml")),
    ("killed-at-accept", include_str!("../../../scenarios/killed-at-accept.toml")),
    ("list-lost", include_str!("../../../scenarios/list-lost.toml")),
    ("list-lost-late", include_str!("../../../scenarios/list-lost-late.toml")),
    ("operators-call", include_str!("../../../scenarios/operators-call.toml")),
    ("proxy-killed", include_str!("../../../scenarios/proxy-killed.toml")),
    ("reload-and-stop", include_str!("../../../scenarios/reload-and-stop.toml")),
    ("replace-process", include_str!("../../../scenarios/replace-process.toml")),
    ("retry-storm", include_str!("../../../scenarios/retry-storm.toml")),
    ("rolling-restart", include_str!("../../../scenarios/rolling-restart.toml")),
    ("silent-fifth", include_str!("../../../scenarios/silent-fifth.toml")),
    ("slow-store", include_str!("../../../scenarios/slow-store.toml")),
    ("stops-in-turn", include_str!("../../../scenarios/stops-in-turn.toml")),
    ("term-start", include_str!("../../../scenarios/term-start.toml")),
    ("two-shapes", include_str!("../../../scenarios/two-shapes.toml")),
];
/// Breaches that the terminal shows; the JSON has them all.
const SHOWN: usize = 20;

#[derive(clap::Args)]
pub struct Arguments {
    /// A scenario file, or the name of one that ships with the daemon
    #[arg(required_unless_present = "list")]
    scenario: Option<String>,
    /// List the scenarios that ship with the daemon
    #[arg(long)]
    list: bool,
    /// The daemon's program [default: `larklink` beside this one]
    #[arg(long, value_name = "PATH")]
    daemon: Option<PathBuf>,
    /// In place of the scenario's seed
    #[arg(long, value_name = "N")]
    seed: Option<u64>,
    /// Keep all that was found as JSON
    #[arg(long, value_name = "FILE")]
    json: Option<PathBuf>,
    /// Write a page with tables and plots
    #[arg(long, value_name = "FILE.html")]
    report: Option<PathBuf>,
}

const WRONG: u8 = 2;

pub fn execute(arguments: &Arguments) -> ExitCode {
    if arguments.list {
        let scenarios = SHIPPED.iter().filter_map(|(name, text)| Some((name, Scenario::parse(text).ok()?)));
        scenarios.for_each(|(name, s)| println!("{name:16} {:>4}  {}", s.length.to_string(), s.about));
        return ExitCode::SUCCESS;
    }
    match rehearse(arguments) {
        Ok(report) if report.strained => {
            eprintln!("larklinkctl: the kit itself fell behind: this run counts for nothing");
            ExitCode::from(WRONG)
        }
        Ok(report) if report.kept() => ExitCode::SUCCESS,
        Ok(_) => ExitCode::FAILURE,
        Err(wrong) => {
            eprintln!("larklinkctl: {wrong}");
            ExitCode::from(WRONG)
        }
    }
}

fn rehearse(arguments: &Arguments) -> Result<Report, String> {
    let name = arguments.scenario.as_deref().unwrap_or_default();
    let scenario = read(name)?;
    let daemon = match &arguments.daemon {
        Some(path) => path.clone(),
        None => std::env::current_exe().map_err(|e| e.to_string())?.with_file_name("larklink"),
    };
    if !daemon.is_file() {
        return Err(format!("{}: no such program; name the daemon by --daemon", daemon.display()));
    }
    let bar = ProgressBar::new(scenario.length.0 / 10);
    // Without a terminal nothing is drawn.
    bar.set_style(ProgressStyle::with_template("{bar:30} {msg}").map_err(|e| e.to_string())?);
    let (sender, samples) = async_channel::bounded::<larklink_testbed::report::Sample>(16);
    let shown = bar.clone();
    let watching = std::thread::spawn(move || {
        while let Ok(sample) = samples.recv_blocking() {
            shown.set_position(sample.at / 10);
            shown.set_message(format!("{} stand, {} wait", sample.standing, sample.waiting));
        }
    });
    let mut options = Options::new(&daemon, arguments.seed.unwrap_or(scenario.seed));
    options.progress = Some(sender);
    let result = run::run(&scenario, &options);
    drop(options);
    let _ = watching.join();
    bar.finish_and_clear();
    let report = result?;
    if let Some(path) = &arguments.json {
        let text = serde_json::to_string_pretty(&report).map_err(|e| e.to_string())?;
        write(path, &text)?;
    }
    if let Some(path) = &arguments.report {
        write(path, &plots::page(&report))?;
    }
    print(&report);
    Ok(report)
}

fn write(path: &Path, text: &str) -> Result<(), String> {
    std::fs::write(path, text).map_err(|e| format!("{}: {e}", path.display()))
}

fn read(name: &str) -> Result<Scenario, String> {
    let shipped = SHIPPED.iter().find(|(n, _)| *n == name).map(|(_, text)| (*text).to_owned());
    let text = match shipped {
        Some(text) => text,
        None => std::fs::read_to_string(name)
            .map_err(|e| format!("{name}: {e}; `larklinkctl run --list` shows those that ship"))?,
    };
    Scenario::parse(&text).map_err(|wrong| {
        let lines: Vec<_> = wrong.problems.iter().map(|w| format!("{name}:{w}")).collect();
        lines.join("\nlarklinkctl: ")
    })
}

fn table_of(header: &[&str]) -> Table {
    let mut table = Table::new();
    table.load_style(UTF8_HORIZONTAL_ONLY).set_header(header.iter().copied());
    table
}

fn print(report: &Report) {
    let mut table = table_of(&[
        "listener",
        "opened",
        "accepted",
        "refused",
        "torn down",
        "with proxy",
        "nobody",
        "open",
        "dials",
        "retries",
        "moved",
        "ran late",
        "service",
    ]);
    for row in &report.rows {
        let a = &row.answers;
        let counts = [
            a.opened,
            a.accepted,
            a.refused,
            a.torn_down,
            a.with_proxy,
            a.nobody_there,
            a.open,
            a.dials,
            a.retries,
            a.moved,
            a.ran_late,
        ];
        let mut cells = vec![row.listener.clone()];
        cells.extend(counts.iter().map(ToString::to_string));
        cells.push(format!("{:.3}", row.service));
        table.add_row(cells);
    }
    println!("{table}");
    let mut times = table_of(&["milliseconds", "count", "p50", "p99", "p99.9", "max", "late"]);
    for row in &report.rows {
        for (what, q, late) in [
            ("to the answer", &row.answer_ms, String::new()),
            ("a line", &row.line_ms, row.late_lines.to_string()),
        ] {
            let name = format!("{}, {what}", row.listener);
            let mut cells = vec![name, q.count.to_string()];
            cells.extend([q.p50, q.p99, q.p999, q.max].map(|ms| format!("{ms:.1}")));
            cells.push(late);
            times.add_row(cells);
        }
    }
    println!("{times}");
    for (i, u) in report.daemons.iter().enumerate() {
        println!(
            "proxy {i}: {:.2} s of CPU, {:.1} MB at most, started {} times",
            u.cpu_s,
            u.peak_kb as f64 / 1024.0,
            u.starts
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
    let (most, worst) = report.kit_late_us;
    println!(
        "the kit was late by {:.1} ms at 999 in 1000, {:.1} ms at worst",
        most as f64 / 1e3,
        worst as f64 / 1e3
    );
    for b in report.violations.iter().take(SHOWN) {
        let at = b.at as f64 / 10_000.0;
        println!("rule {} {:?} at {at:.3} s, session {}: {}", b.rule, b.kind, b.session, b.observed);
    }
    if report.violations.len() > SHOWN {
        println!("and {} more", report.violations.len() - SHOWN);
    }
    report.unmet.iter().for_each(|wrong| println!("not so: {wrong}"));
    let verdict = if report.kept() { "all rules kept" } else { "found wanting" };
    println!("{}, seed {}: service {:.3}, {verdict}", report.scenario, report.seed, report.service);
}
