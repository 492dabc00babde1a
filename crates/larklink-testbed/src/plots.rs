//! The report as one page that needs nothing else: plots over time as SVG, faults as bands, and the tables.
use std::fmt::Write;

use plotters::prelude::*;

use crate::report::Report;

const SIZE: (u32, u32) = (960, 260);
/// Breaches that are listed; the JSON has them all.
const LISTED: usize = 200;

type Line<'a> = (&'a str, Vec<(f64, f64)>);

/// A self-contained page.
pub fn page(report: &Report) -> String {
    let seconds = |t: u64| t as f64 / 10_000.0;
    let series = |of: &dyn Fn(&crate::report::Sample) -> f64| -> Vec<(f64, f64)> {
        report.samples.iter().map(|s| (seconds(s.at), of(s))).collect()
    };
    let servers = report.samples.first().map_or(0, |s| s.held.len());
    let names: Vec<_> = (0..servers).map(|i| format!("s-{i}")).collect();
    let held = names.iter().enumerate().map(|(i, name)| (name.as_str(), series(&|s| s.held[i] as f64)));
    let plots = [
        ("Well served now", vec![("service", series(&|s| s.service))]),
        (
            "Sessions",
            vec![("standing", series(&|s| s.standing as f64)), ("waiting", series(&|s| s.waiting as f64))],
        ),
        (
            "Answers in a quarter second",
            vec![
                ("accepted", series(&|s| s.accepted as f64)),
                ("refused", series(&|s| s.refused as f64)),
                ("torn down", series(&|s| s.torn_down as f64)),
            ],
        ),
        ("Sessions held by each server", held.collect::<Vec<_>>()),
    ];
    let mut page = String::from(
        "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>Rehearsal</title><style>body{font:15px \
         sans-serif;max-width:60rem;margin:2rem auto;color:#222}table{border-collapse:collapse}td,th{padding:.2rem \
         .6rem;border-bottom:1px solid #ddd;text-align:right}td:first-child,th:first-child{text-align:left}.bad{color:\
         #b00}svg{max-width:100%;height:auto}</style>",
    );
    let _ = write!(page, "<h1>{}</h1><p>{}</p>", escape(&report.scenario), escape(&report.about));
    let verdict = match (report.strained, report.kept()) {
        (true, _) => "<p class=bad>The kit itself fell behind: this run counts for nothing.</p>",
        (false, true) => "<p>All rules kept.</p>",
        (false, false) => "<p class=bad>Found wanting, see below.</p>",
    };
    let _ = write!(page, "{verdict}<p>Seed {}, service {:.3}.</p>", report.seed, report.service);
    page += "<table><tr><th>listener<th>opened<th>accepted<th>refused<th>torn down<th>with a proxy<th>nobody there\
             <th>dials<th>moved<th>answer p99, ms<th>line p99, ms<th>service</tr>";
    for r in &report.rows {
        let a = &r.answers;
        let _ = write!(
            page,
            "<tr><td>{}<td>{}<td>{}<td>{}<td>{}<td>{}<td>{}<td>{}<td>{}<td>{:.1}<td>{:.1}<td>{:.3}</tr>",
            escape(&r.listener),
            a.opened,
            a.accepted,
            a.refused,
            a.torn_down,
            a.with_proxy,
            a.nobody_there,
            a.dials,
            a.moved,
            r.answer_ms.p99,
            r.line_ms.p99,
            r.service
        );
    }
    page += "</table>";
    if let Some(recovery) = &report.recovery {
        let _ = write!(page, "<p>Goodput: {}.</p>", escape(&recovery.to_string()));
    }
    for wrong in &report.unmet {
        let _ = write!(page, "<p class=bad>{}</p>", escape(wrong));
    }
    for (title, lines) in &plots {
        // A plot that cannot be drawn is no reason to lose the tables.
        let svg = draw(report, title, lines).unwrap_or_else(|e| escape(&e.to_string()));
        page += &svg;
    }
    if !report.violations.is_empty() {
        page += "<h2>Broken rules</h2><table><tr><th>what<th>rule<th>session<th>at, s<th>seen</tr>";
        for b in report.violations.iter().take(LISTED) {
            let (at, what) = (seconds(b.at), format!("{:?}", b.kind));
            let seen = escape(&b.observed);
            let _ = write!(page, "<tr><td>{what}<td>{}<td>{}<td>{at:.3}<td>{seen}</tr>", b.rule, b.session);
        }
        page += "</table>";
    }
    page
}

fn draw(report: &Report, title: &str, lines: &[Line<'_>]) -> Result<String, Box<dyn std::error::Error>> {
    let mut svg = String::new();
    {
        let root = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
        let all = || lines.iter().flat_map(|(_, points)| points);
        let right = all().map(|p| p.0).fold(1.0, f64::max);
        let top = all().map(|p| p.1).fold(0.0, f64::max).max(1.0) * 1.05;
        let mut chart = ChartBuilder::on(&root)
            .caption(title, ("sans-serif", 16))
            .margin(6)
            .x_label_area_size(24)
            .y_label_area_size(48)
            .build_cartesian_2d(0.0..right, 0.0..top)?;
        chart.configure_mesh().light_line_style(WHITE).x_desc("seconds").draw()?;
        for (from, to, _) in &report.bands {
            let (from, to) =
                (*from as f64 / 10_000.0, (*to as f64 / 10_000.0).max(*from as f64 / 10_000.0 + 0.1));
            let band = Rectangle::new([(from, 0.0), (to.min(right), top)], RED.mix(0.08).filled());
            chart.draw_series(std::iter::once(band))?;
        }
        for (i, (name, points)) in lines.iter().enumerate() {
            let color = Palette99::pick(i).to_rgba();
            let drawn = chart.draw_series(LineSeries::new(points.iter().copied(), color.stroke_width(2)))?;
            if lines.len() <= 12 {
                drawn.label(*name).legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 14, y)], color));
            }
        }
        if lines.len() > 1 && lines.len() <= 12 {
            chart.configure_series_labels().background_style(WHITE.mix(0.8)).draw()?;
        }
        root.present()?;
    }
    Ok(svg)
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}
