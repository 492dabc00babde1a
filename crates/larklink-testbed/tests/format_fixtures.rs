//! Compares the JSON report of a run, as `larklinkctl` writes it, byte for byte with fixture files.
#![expect(clippy::unwrap_used, reason = "a panic in a helper fails the test")]
use hdrhistogram::Histogram;
use larklink_simulation::audit::{Findings, SessionOutcomes, ShapeOutcomes, Violation, ViolationKind};
use larklink_simulation::faults::FaultBand;
use larklink_simulation::goodput::{GoodputRate, Recovery};
use larklink_simulation::model::Model;
use larklink_simulation::scenario::Scenario;
use larklink_testbed::proxy_process::ProxyUsage;
use larklink_testbed::report::{ListenerReport, Quantiles, Report, RunMeasurements};
use larklink_testbed::sample::Sample;
use larklink_testbed::timer_delay::TimerDelay;

fn json(report: &Report) -> String {
    serde_json::to_string_pretty(report).unwrap() + "\n"
}

fn session_outcomes(response_times: &[u64]) -> SessionOutcomes {
    SessionOutcomes {
        opened: 10,
        accepted: 5,
        rejected: 3,
        failed: 4,
        lost_with_proxy: 6,
        proxy_unreachable: 7,
        unfinished: 8,
        attempts: 9,
        retries: 11,
        migrated: 12,
        ran_after_abandoned: 13,
        response_times: response_times.to_vec(),
    }
}

fn violation() -> Violation {
    let kind = ViolationKind::MayRunTwice;
    Violation { kind, rule: kind.rule(), session: "ab".into(), at: 14, observed: "\u{e9} \"seen\"".into() }
}

fn quantiles(count: u64) -> Quantiles {
    Quantiles { count, p50: 0.5, p99: 99.0, p999: 99.9, max: 100.25 }
}

fn listener_report() -> ListenerReport {
    ListenerReport {
        listener: "chat".into(),
        outcomes: session_outcomes(&[]),
        response_ms: quantiles(15),
        message_ms: quantiles(16),
        late_messages: 17,
        service: 0.125,
        gave_up: 18,
    }
}

fn goodput_rate(from: u64) -> GoodputRate {
    GoodputRate { from, accepted: 19.5, offered: 20.0 }
}

fn recovery(recovery_time: Option<u64>) -> Recovery {
    Recovery {
        restarted_at: 21,
        recovery_time,
        observed_for: 22,
        since_restart: goodput_rate(23),
        lowest: goodput_rate(24),
        store_rate: 25.5,
    }
}

fn sample() -> Sample {
    Sample {
        at: 26,
        established: 27,
        waiting: 28,
        accepted: 29,
        rejected: 30,
        failed: 31,
        service: 0.75,
        sessions_by_server: vec![32, 33],
    }
}

fn proxy_usage() -> ProxyUsage {
    ProxyUsage { cpu_s: 1.5, peak_kb: 34, starts: 35 }
}

fn shape_outcomes() -> [ShapeOutcomes; 2] {
    [ShapeOutcomes { opened: 36, accepted: 18 }, ShapeOutcomes { opened: 40, accepted: 10 }]
}

/// Sets every field. Nearly all values differ, so that swapped fields are found.
fn full_report() -> Report {
    Report {
        scenario: "calm".into(),
        about: "\u{e9} \"about\"".into(),
        seed: u64::MAX,
        service: 0.848,
        listeners: vec![listener_report()],
        shapes: shape_outcomes(),
        recovery: Some(recovery(Some(41))),
        violations: vec![violation()],
        unmet_requirements: vec!["unmet".into()],
        proxies: vec![proxy_usage()],
        store_calls: 42,
        store_failed: 43,
        timer_delay: TimerDelay { p999_us: 44, max_us: 45 },
        testbed_late: true,
        samples: vec![sample()],
        fault_bands: vec![FaultBand { from: 46, to: 47, name: "server silent".into() }],
    }
}

#[test]
fn full_report_matches_fixture() {
    let report = full_report();
    assert_eq!(json(&report), include_str!("fixtures/report.json"));
    let not_recovered = serde_json::to_string(&recovery(None)).unwrap();
    assert!(not_recovered.starts_with(r#"{"restarted":21,"took":null,"told":22,"#), "{not_recovered}");
    // The exit code of larklinkctl depends on `passed`.
    assert!(!report.passed());
    assert!(!Report { unmet_requirements: Vec::new(), ..report.clone() }.passed());
    assert!(!Report { violations: Vec::new(), ..report.clone() }.passed());
    assert!(Report { violations: Vec::new(), unmet_requirements: Vec::new(), ..report }.passed());
}

/// Builds a report from a model in which nothing has happened yet, with findings that miss every requirement of the
/// scenario and response times from 1 to 1000 ms.
#[test]
fn report_built_from_measurements_matches_fixture() {
    let text = "name = 'short'\nabout = 'falls short'\n[proxies]\nmoved = 1\n[[listeners]]\nname = 'chat'\n\
                [[faults]]\nwhat = 'proxy-stopped'\nat = '1s'\nfor = '2s'\nwhich = [0]\n\
                [[faults]]\nwhat = 'server-silent'\nat = '3s'\nfor = '4s'\nwhich = [1, 2]\napart = '100ms'\n\
                [must]\nservice = 1.0\naccepted = 0.9\neach_shape = 0.45\nanswer_p99 = '900ms'\nrecovers = '5s'\n";
    let scenario = Scenario::parse(text).unwrap();
    let mut round_trips = Histogram::<u64>::new(3).unwrap();
    (1..=2000).for_each(|tenths| round_trips.record(tenths).unwrap());
    let response_times: Vec<_> = (1..=1000).map(|ms| ms * 10).collect();
    let findings = Findings {
        listeners: vec![session_outcomes(&response_times)],
        shapes: shape_outcomes(),
        violations: vec![violation()],
    };
    let model = Model::new(&scenario, 7);
    let measurements = RunMeasurements {
        findings,
        message_round_trips: vec![round_trips],
        proxies: vec![proxy_usage()],
        samples: vec![sample(), Sample::take(10, &model)],
        timer_delay: TimerDelay { p999_us: 1, max_us: 2 },
    };
    let report = Report::new(&scenario, 7, &model, measurements);
    assert_eq!(json(&report), include_str!("fixtures/report_from_measurements.json"));
}
