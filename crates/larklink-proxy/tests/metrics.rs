//! The names of the metrics, and the detection of a process that rejects all sessions.
#![allow(clippy::unwrap_used, reason = "a test stops where its setup fails")]
use std::io::Write;
use std::sync::Arc;
use std::time::{Duration, Instant};

use larklink_proxy::log::EndReason;
use larklink_proxy::metrics::{FinalAnswer, Metrics};

fn metrics() -> Arc<Metrics> {
    Metrics::new(&["chat".to_owned(), "pay".to_owned()])
}

#[test]
fn the_metrics_have_the_documented_names() {
    let metrics = metrics();
    metrics.record_answer(0, FinalAnswer::Accepted);
    metrics.record_answer(1, FinalAnswer::Rejected);
    metrics.record_answer(1, FinalAnswer::Failed);
    metrics.record_answer(7, FinalAnswer::Failed);
    metrics.record_attempt_sent();
    metrics.set_endpoints(5, 2);
    metrics.record_list_too_long();
    let (ended, in_progress) = (metrics.session_started(), metrics.session_started());
    drop(ended);
    assert_eq!(
        metrics.text(),
        "app.handled.chat.passed=1\napp.handled.chat.dropped=0\napp.handled.chat.bad_gateway=0\n\
         app.handled.pay.passed=0\napp.handled.pay.dropped=1\napp.handled.pay.bad_gateway=1\n\
         app.upstream_tries=1\napp.in_progress=1\napp.known_servers=5\napp.skipped_servers=2\n\
         larklink_discovery_lists_too_long_total=1\n\
         larklink_sessions_refused_without_dial_total=0\nlarklink_refusing_all_periods_total=0\n"
    );
    drop(in_progress);
}

/// The counters of sessions rejected without an attempt and of periods in which all sessions were rejected.
fn rejections(metrics: &Metrics) -> (usize, usize) {
    let count = |name| {
        let text = metrics.text();
        text.lines().find_map(|l| l.strip_prefix(name)?.strip_prefix('=')?.parse().ok()).unwrap()
    };
    (count("larklink_sessions_refused_without_dial_total"), count("larklink_refusing_all_periods_total"))
}

/// Runs `work` and returns the lines that it logs.
fn logged(work: impl FnOnce()) -> Vec<String> {
    let (sender, lines) = std::sync::mpsc::channel();
    let writer = move || LogWriter(sender.clone());
    let log = tracing_subscriber::fmt().with_ansi(false).without_time().with_writer(writer).finish();
    tracing::subscriber::with_default(log, work);
    lines.into_iter().collect()
}

struct LogWriter(std::sync::mpsc::Sender<String>);

impl Write for LogWriter {
    fn write(&mut self, line: &[u8]) -> std::io::Result<usize> {
        self.0.send(String::from_utf8_lossy(line).trim().to_owned()).unwrap();
        Ok(line.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

#[test]
fn the_start_and_the_end_of_rejecting_all_sessions_are_logged_once() {
    let metrics = metrics();
    let start = Instant::now();
    let reject =
        |ms: u64, reason| metrics.record_rejection_without_attempt(reason, start + Duration::from_millis(ms));
    let attempt = |ms: u64| metrics.record_attempt_started(start + Duration::from_millis(ms));
    // None of these counts: an attempt in between, too few sessions, too short a time, a pause.
    let lines = logged(|| {
        (0..5).for_each(|n| reject(n * 900, EndReason::Rejected));
        attempt(4000);
        (0..9).for_each(|n| reject(5000 + n * 500, EndReason::Rejected));
        attempt(9500);
        (0..50).for_each(|n| reject(10_000 + n * 79, EndReason::Rejected));
        reject(18_000, EndReason::Rejected);
    });
    assert_eq!((rejections(&metrics), lines.len()), ((65, 0), 0), "{lines:?}");
    // Rejections only; once the process counts as rejecting all sessions, a pause does not end the period.
    metrics.set_endpoints(9, 4);
    let lines = logged(|| {
        (1..=20).for_each(|n| reject(18_000 + n * 400, EndReason::Rejected));
        reject(40_000, EndReason::NoDescriptors);
        attempt(41_000);
        attempt(42_000);
    });
    assert_eq!(rejections(&metrics), (86, 1));
    let cause = "the available endpoints are full or warming up, or attempts are limited";
    assert_eq!(
        lines,
        [
            format!(
                r#"WARN larklink_proxy::metrics: rejecting all sessions reason=rejected cause="{cause}" sessions=11 duration_ms=4000"#
            ),
            "INFO larklink_proxy::metrics: no longer rejecting all sessions sessions=22 duration_ms=23000"
                .to_owned(),
        ]
    );
    // The logged cause depends on the endpoints and the reason at that time.
    for (listed, avoided, reason, cause) in [
        (0, 0, EndReason::Rejected, "the endpoint list is empty"),
        (9, 9, EndReason::Rejected, "every endpoint is draining, unresponsive or failing"),
        (9, 9, EndReason::NoDescriptors, "no descriptors are left"),
        (9, 9, EndReason::Shutdown, "the proxy is shutting down"),
    ] {
        metrics.set_endpoints(listed, avoided);
        let lines = logged(|| (0..20).for_each(|n| reject(50_000 + n * 400, reason)));
        assert!(lines.len() == 1 && lines[0].contains(cause), "{lines:?}");
        attempt(60_000);
    }
    assert_eq!(rejections(&metrics), (166, 5));
}
