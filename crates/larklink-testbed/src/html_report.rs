//! The report as a self-contained HTML page: tables, and plots over time as SVG with faults shown as bands.
use std::error::Error;
use std::fmt::Write;

use larklink_simulation::duration::SECOND;
use larklink_simulation::time::Timestamp;
use plotters::coord::Shift;
use plotters::prelude::{
    ChartBuilder, Color, DrawingArea, IntoDrawingArea, LineSeries, Palette, Palette99, PathElement, RED,
    Rectangle, SVGBackend, WHITE,
};

use crate::report::{ListenerReport, Report};
use crate::sample::Sample;

/// The width of a plot.
const PLOT_WIDTH_PX: u32 = 960;
/// The height of a plot.
const PLOT_HEIGHT_PX: u32 = 260;
/// The most violations that are listed. The JSON report contains all of them.
const MAX_VIOLATIONS_LISTED: usize = 200;
/// The most series for which a plot has a legend.
const MAX_LEGEND_SERIES: usize = 12;
/// The minimum width of a fault's band, so that short faults stay visible.
const MIN_BAND_SECONDS: f64 = 0.1;
/// The top of the y axis as a factor of the highest value.
const Y_AXIS_HEADROOM: f64 = 1.05;

const PAGE_HEAD: &str = "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>larklink run</title><style>body{font:15px \
     sans-serif;max-width:60rem;margin:2rem auto;color:#222}table{border-collapse:collapse}td,th{padding:.2rem \
     .6rem;border-bottom:1px solid #ddd;text-align:right}td:first-child,th:first-child{text-align:left}.bad{color:\
     #b00}svg{max-width:100%;height:auto}</style>";
const LISTENERS_HEAD: &str = "<table><tr><th>listener<th>opened<th>accepted<th>rejected<th>failed<th>with a proxy\
     <th>no proxy<th>attempts<th>migrated<th>response p99, ms<th>message p99, ms<th>service</tr>";
const VIOLATIONS_HEAD: &str =
    "<h2>Violations</h2><table><tr><th>violation<th>rule<th>session<th>at, s<th>observed</tr>";

/// A value at one moment.
struct Point {
    seconds: f64,
    value: f64,
}

/// A named line of a plot.
struct Series {
    name: String,
    points: Vec<Point>,
}

impl Series {
    fn new(report: &Report, name: impl Into<String>, value: impl Fn(&Sample) -> f64) -> Self {
        let point = |sample: &Sample| Point { seconds: to_seconds(sample.at), value: value(sample) };
        Self { name: name.into(), points: report.samples.iter().map(point).collect() }
    }
}

/// A plot of series over time.
struct Plot {
    title: &'static str,
    series: Vec<Series>,
}

fn to_seconds(at: Timestamp) -> f64 {
    at as f64 / SECOND as f64
}

/// Renders the report as a self-contained HTML page.
#[must_use]
pub fn render(report: &Report) -> String {
    let mut page = String::from(PAGE_HEAD);
    page += &summary(report);
    page += &listeners_table(&report.listeners);
    if let Some(recovery) = &report.recovery {
        page += &format!("<p>Goodput: {}.</p>", escape(&recovery.to_string()));
    }
    for requirement in &report.unmet_requirements {
        page += &format!("<p class=bad>{}</p>", escape(requirement));
    }
    for plot in plots(report) {
        // If a plot cannot be drawn, its error takes its place and the tables are kept.
        page += &draw(report, &plot).unwrap_or_else(|error| escape(&error.to_string()));
    }
    page += &violations_table(report);
    page
}

fn summary(report: &Report) -> String {
    let verdict = match (report.testbed_late, report.passed()) {
        (true, _) => "<p class=bad>The testbed itself fell behind: this run does not count.</p>",
        (false, true) => "<p>No findings.</p>",
        (false, false) => "<p class=bad>Findings, see below.</p>",
    };
    format!(
        "<h1>{}</h1><p>{}</p>{verdict}<p>Seed {}, service {:.3}.</p>",
        escape(&report.scenario),
        escape(&report.about),
        report.seed,
        report.service
    )
}

fn listeners_table(listeners: &[ListenerReport]) -> String {
    let mut table = String::from(LISTENERS_HEAD);
    for row in listeners {
        let outcomes = &row.outcomes;
        let _ = write!(table, "<tr><td>{}", escape(&row.listener));
        for count in [
            outcomes.opened,
            outcomes.accepted,
            outcomes.rejected,
            outcomes.failed,
            outcomes.lost_with_proxy,
            outcomes.proxy_unreachable,
            outcomes.attempts,
            outcomes.migrated,
        ] {
            let _ = write!(table, "<td>{count}");
        }
        let _ = write!(
            table,
            "<td>{:.1}<td>{:.1}<td>{:.3}</tr>",
            row.response_ms.p99, row.message_ms.p99, row.service
        );
    }
    table + "</table>"
}

fn violations_table(report: &Report) -> String {
    if report.violations.is_empty() {
        return String::new();
    }
    let mut table = String::from(VIOLATIONS_HEAD);
    for violation in report.violations.iter().take(MAX_VIOLATIONS_LISTED) {
        let _ = write!(
            table,
            "<tr><td>{}<td>{}<td>{}<td>{:.3}<td>{}</tr>",
            violation.kind,
            violation.rule,
            violation.session,
            to_seconds(violation.at),
            escape(&violation.observed)
        );
    }
    table + "</table>"
}

fn plots(report: &Report) -> [Plot; 4] {
    let servers = report.samples.first().map_or(0, |sample| sample.sessions_by_server.len());
    let by_server = (0..servers).map(|server| {
        Series::new(report, format!("s-{server}"), |sample| sample.sessions_by_server[server] as f64)
    });
    [
        Plot {
            title: "Service at this moment",
            series: vec![Series::new(report, "service", |sample| sample.service)],
        },
        Plot {
            title: "Sessions",
            series: vec![
                Series::new(report, "established", |sample| sample.established as f64),
                Series::new(report, "waiting", |sample| sample.waiting as f64),
            ],
        },
        Plot {
            title: "Responses in the last quarter of a second",
            series: vec![
                Series::new(report, "accepted", |sample| sample.accepted as f64),
                Series::new(report, "rejected", |sample| sample.rejected as f64),
                Series::new(report, "failed", |sample| sample.failed as f64),
            ],
        },
        Plot { title: "Sessions by server", series: by_server.collect() },
    ]
}

/// Renders a plot as SVG.
fn draw(report: &Report, plot: &Plot) -> Result<String, Box<dyn Error>> {
    let mut svg = String::new();
    let area = SVGBackend::with_string(&mut svg, (PLOT_WIDTH_PX, PLOT_HEIGHT_PX)).into_drawing_area();
    draw_on(&area, report, plot)?;
    area.present()?;
    drop(area);
    Ok(svg)
}

fn draw_on(
    area: &DrawingArea<SVGBackend<'_>, Shift>,
    report: &Report,
    plot: &Plot,
) -> Result<(), Box<dyn Error>> {
    let points = || plot.series.iter().flat_map(|series| &series.points);
    let right = points().map(|point| point.seconds).fold(1.0, f64::max);
    let top = points().map(|point| point.value).fold(0.0, f64::max).max(1.0) * Y_AXIS_HEADROOM;
    let mut chart = ChartBuilder::on(area)
        .caption(plot.title, ("sans-serif", 16))
        .margin(6)
        .x_label_area_size(24)
        .y_label_area_size(48)
        .build_cartesian_2d(0.0..right, 0.0..top)?;
    chart.configure_mesh().light_line_style(WHITE).x_desc("seconds").draw()?;
    for fault in &report.fault_bands {
        let from = to_seconds(fault.from);
        let to = to_seconds(fault.to).max(from + MIN_BAND_SECONDS);
        let band = Rectangle::new([(from, 0.0), (to.min(right), top)], RED.mix(0.08).filled());
        chart.draw_series(std::iter::once(band))?;
    }
    let has_legend = plot.series.len() <= MAX_LEGEND_SERIES;
    for (i, series) in plot.series.iter().enumerate() {
        let color = Palette99::pick(i).to_rgba();
        let line = series.points.iter().map(|point| (point.seconds, point.value));
        let drawn = chart.draw_series(LineSeries::new(line, color.stroke_width(2)))?;
        if has_legend {
            let legend = move |(x, y)| PathElement::new(vec![(x, y), (x + 14, y)], color);
            drawn.label(series.name.as_str()).legend(legend);
        }
    }
    if plot.series.len() > 1 && has_legend {
        chart.configure_series_labels().background_style(WHITE.mix(0.8)).draw()?;
    }
    Ok(())
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}
