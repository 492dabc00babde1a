//! `larklinkctl run`: runs a scenario on the testbed, prints its report, and writes it to files if requested.
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

use crate::{built_in, tables};

/// The exit code for incorrect usage and for a run that could not be completed or is invalid.
const EXIT_NO_RESULT: u8 = 2;
/// The capacity of the channel of samples for the progress bar. Samples that do not fit are dropped.
const PROGRESS_CHANNEL_CAPACITY: usize = 16;
/// Ticks (0.1 ms) of scenario time per step of the progress bar.
const TICKS_PER_STEP: u64 = 10;

/// The arguments of `larklinkctl run`.
#[derive(clap::Args)]
pub(crate) struct Arguments {
    /// A scenario file, or the name of a built-in scenario
    #[arg(required_unless_present = "list")]
    scenario: Option<String>,
    /// List the built-in scenarios
    #[arg(long)]
    list: bool,
    /// The proxy executable [default: `larklink` in the directory of this program]
    #[arg(long, alias = "daemon", value_name = "PATH")]
    proxy: Option<PathBuf>,
    /// Use this seed instead of the scenario's
    #[arg(long, value_name = "N")]
    seed: Option<u64>,
    /// Write the complete report as JSON
    #[arg(long, value_name = "FILE")]
    json: Option<PathBuf>,
    /// Write the report as an HTML page with tables and plots
    #[arg(long, value_name = "FILE.html")]
    report: Option<PathBuf>,
}

/// An error that prevents a report.
#[derive(Debug, thiserror::Error)]
enum RunError {
    #[error("{name}: {source}; `larklinkctl run --list` lists the built-in scenarios")]
    ReadScenario { name: String, source: std::io::Error },
    #[error("{}", format_problems(.name, .problems))]
    InvalidScenario { name: String, problems: Vec<ScenarioProblem> },
    #[error("cannot determine the path of this program: {0}")]
    CurrentExe(std::io::Error),
    #[error("{}: no such program; set the path of the proxy with --proxy", .0.display())]
    NoProxyProgram(PathBuf),
    #[error("cannot set up the progress bar: {0}")]
    ProgressBar(#[from] TemplateError),
    #[error(transparent)]
    Testbed(#[from] TestbedError),
    #[error("cannot serialize the report as JSON: {0}")]
    Serialize(#[from] serde_json::Error),
    #[error("{}: {source}", .path.display())]
    Write { path: PathBuf, source: std::io::Error },
}

/// Runs the subcommand.
pub(crate) fn execute(arguments: &Arguments) -> ExitCode {
    if arguments.list {
        built_in::print_list();
        return ExitCode::SUCCESS;
    }
    match run_scenario(arguments) {
        Ok(report) if report.testbed_late => {
            eprintln!("larklinkctl: the testbed itself fell behind, so this run does not count");
            ExitCode::from(EXIT_NO_RESULT)
        }
        Ok(report) if report.passed() => ExitCode::SUCCESS,
        Ok(_) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("larklinkctl: {error}");
            ExitCode::from(EXIT_NO_RESULT)
        }
    }
}

fn run_scenario(arguments: &Arguments) -> Result<Report, RunError> {
    let scenario = read_scenario(arguments.scenario.as_deref().unwrap_or_default())?;
    let proxy = proxy_program(arguments)?;
    let bar = ProgressBar::new(scenario.length.0 / TICKS_PER_STEP);
    // Draws nothing if standard error is not a terminal.
    bar.set_style(ProgressStyle::with_template("{bar:30} {msg}")?);
    let (sender, samples) = async_channel::bounded::<Sample>(PROGRESS_CHANNEL_CAPACITY);
    let progress_bar = bar.clone();
    // The thread ends when the sender is dropped together with the options.
    let progress_thread = std::thread::spawn(move || {
        while let Ok(sample) = samples.recv_blocking() {
            progress_bar.set_position(sample.at / TICKS_PER_STEP);
            progress_bar
                .set_message(format!("{} established, {} waiting", sample.established, sample.waiting));
        }
    });
    let mut options = Options::new(&proxy, arguments.seed.unwrap_or(scenario.seed));
    options.progress = Some(sender);
    let result = run::run(&scenario, &options);
    drop(options);
    let _ = progress_thread.join();
    bar.finish_and_clear();
    let report = result?;
    if let Some(path) = &arguments.json {
        write(path, &serde_json::to_string_pretty(&report)?)?;
    }
    if let Some(path) = &arguments.report {
        write(path, &html_report::render(&report))?;
    }
    tables::print(&report);
    Ok(report)
}

fn proxy_program(arguments: &Arguments) -> Result<PathBuf, RunError> {
    let program = match &arguments.proxy {
        Some(path) => path.clone(),
        None => std::env::current_exe().map_err(RunError::CurrentExe)?.with_file_name("larklink"),
    };
    if program.is_file() { Ok(program) } else { Err(RunError::NoProxyProgram(program)) }
}

fn write(path: &Path, text: &str) -> Result<(), RunError> {
    std::fs::write(path, text).map_err(|source| RunError::Write { path: path.to_owned(), source })
}

/// Reads the built-in scenario with this name, or else the file at this path.
fn read_scenario(name: &str) -> Result<Scenario, RunError> {
    let text = match built_in::text(name) {
        Some(text) => text.to_owned(),
        None => std::fs::read_to_string(name)
            .map_err(|source| RunError::ReadScenario { name: name.to_owned(), source })?,
    };
    Scenario::parse(&text)
        .map_err(|error| RunError::InvalidScenario { name: name.to_owned(), problems: error.problems })
}

/// Formats one line per problem, with file, line, key and reason.
fn format_problems(name: &str, problems: &[ScenarioProblem]) -> String {
    // The caller prefixes the first line with the name of the command.
    let lines: Vec<_> = problems.iter().map(|problem| format!("{name}:{problem}")).collect();
    lines.join("\nlarklinkctl: ")
}
