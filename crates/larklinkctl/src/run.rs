//! `larklinkctl run`: reads a scenario, runs it on the testbed, prints and writes its report.
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use indicatif::style::TemplateError;
use indicatif::{ProgressBar, ProgressStyle};
use larklink_simulation::scenario::{Scenario, ScenarioProblem};
use larklink_testbed::TestbedError;
use larklink_testbed::html_report;
use larklink_testbed::options::Options;
use larklink_testbed::report::Report;
use larklink_testbed::run;
use larklink_testbed::sample::Sample;

use crate::{shipped, tables};

/// The exit code for wrong usage and for a run that could not be made or does not count.
const EXIT_NOT_RUN: u8 = 2;
/// Samples that may wait to be shown; further ones are dropped.
const PROGRESS_QUEUE: usize = 16;
/// Ticks of scenario time (0.1 ms each) for each step of the progress bar.
const TICKS_PER_STEP: u64 = 10;

/// The arguments of `larklinkctl run`.
#[derive(clap::Args)]
pub(crate) struct Arguments {
    /// A scenario file, or the name of one that ships with the command
    #[arg(required_unless_present = "list")]
    scenario: Option<String>,
    /// List the scenarios that ship with the command
    #[arg(long)]
    list: bool,
    /// The proxy's program [default: `larklink` beside this one]
    #[arg(long, alias = "daemon", value_name = "PATH")]
    proxy: Option<PathBuf>,
    /// In place of the scenario's seed
    #[arg(long, value_name = "N")]
    seed: Option<u64>,
    /// Write the whole report as JSON
    #[arg(long, value_name = "FILE")]
    json: Option<PathBuf>,
    /// Write a page with tables and plots
    #[arg(long, value_name = "FILE.html")]
    report: Option<PathBuf>,
}

/// Why there is no report.
#[derive(Debug, thiserror::Error)]
enum RunError {
    #[error("{name}: {source}; `larklinkctl run --list` shows the scenarios that ship")]
    ReadScenario { name: String, source: std::io::Error },
    #[error("{}", one_line_each(.name, .problems))]
    InvalidScenario { name: String, problems: Vec<ScenarioProblem> },
    #[error("the path of this program: {0}")]
    OwnPath(std::io::Error),
    #[error("{}: no such program; name the proxy's by --proxy", .0.display())]
    NoProxyProgram(PathBuf),
    #[error("the progress bar: {0}")]
    ProgressBar(#[from] TemplateError),
    #[error(transparent)]
    Testbed(#[from] TestbedError),
    #[error("the report as JSON: {0}")]
    Serialize(#[from] serde_json::Error),
    #[error("{}: {source}", .path.display())]
    Write { path: PathBuf, source: std::io::Error },
}

/// Runs the subcommand.
pub(crate) fn execute(arguments: &Arguments) -> ExitCode {
    if arguments.list {
        shipped::print_list();
        return ExitCode::SUCCESS;
    }
    match run_scenario(arguments) {
        Ok(report) if report.testbed_late => {
            eprintln!("larklinkctl: the testbed itself fell behind: this run does not count");
            ExitCode::from(EXIT_NOT_RUN)
        }
        Ok(report) if report.passed() => ExitCode::SUCCESS,
        Ok(_) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("larklinkctl: {error}");
            ExitCode::from(EXIT_NOT_RUN)
        }
    }
}

fn run_scenario(arguments: &Arguments) -> Result<Report, RunError> {
    let scenario = read_scenario(arguments.scenario.as_deref().unwrap_or_default())?;
    let proxy = proxy_program(arguments)?;
    let bar = ProgressBar::new(scenario.length.0 / TICKS_PER_STEP);
    // Without a terminal nothing is drawn.
    bar.set_style(ProgressStyle::with_template("{bar:30} {msg}")?);
    let (sender, samples) = async_channel::bounded::<Sample>(PROGRESS_QUEUE);
    let shown = bar.clone();
    // Ends when the sender is dropped with the options.
    let progress = std::thread::spawn(move || {
        while let Ok(sample) = samples.recv_blocking() {
            shown.set_position(sample.at / TICKS_PER_STEP);
            shown.set_message(format!("{} established, {} waiting", sample.established, sample.waiting));
        }
    });
    let mut options = Options::new(&proxy, arguments.seed.unwrap_or(scenario.seed));
    options.progress = Some(sender);
    let result = run::run(&scenario, &options);
    drop(options);
    let _ = progress.join();
    bar.finish_and_clear();
    let report = result?;
    if let Some(path) = &arguments.json {
        write(path, &serde_json::to_string_pretty(&report)?)?;
    }
    if let Some(path) = &arguments.report {
        write(path, &html_report::page(&report))?;
    }
    tables::print(&report);
    Ok(report)
}

fn proxy_program(arguments: &Arguments) -> Result<PathBuf, RunError> {
    let program = match &arguments.proxy {
        Some(path) => path.clone(),
        None => std::env::current_exe().map_err(RunError::OwnPath)?.with_file_name("larklink"),
    };
    if program.is_file() { Ok(program) } else { Err(RunError::NoProxyProgram(program)) }
}

fn write(path: &Path, text: &str) -> Result<(), RunError> {
    std::fs::write(path, text).map_err(|source| RunError::Write { path: path.to_owned(), source })
}

/// Reads a scenario that ships under that name, else the file.
fn read_scenario(name: &str) -> Result<Scenario, RunError> {
    let text = match shipped::text_of(name) {
        Some(text) => text.to_owned(),
        None => std::fs::read_to_string(name)
            .map_err(|source| RunError::ReadScenario { name: name.to_owned(), source })?,
    };
    Scenario::parse(&text)
        .map_err(|error| RunError::InvalidScenario { name: name.to_owned(), problems: error.problems })
}

/// A line for each problem, with file, line, key and reason.
fn one_line_each(name: &str, problems: &[ScenarioProblem]) -> String {
    let lines: Vec<_> = problems.iter().map(|problem| format!("{name}:{problem}")).collect();
    lines.join("\nlarklinkctl: ")
}
