//! Formats that the proxy writes and reads, compared with fixture files byte for byte: messages between two processes
//! of one proxy, the configuration, and the endpoint list. Other programs and versions rely on these formats.
use std::io::{Read, Write};
use std::net::Shutdown;
use std::os::unix::net::UnixStream;
use std::path::Path;

use async_io::Async;
use larklink_balancer::{
    AvailabilityNines, DeduplicationGroup, EndpointEntry, EndpointState, Idempotency, Listener,
    RetryBudgetSettings, Settings, TickDuration,
};
use larklink_proxy::config::Config;
use larklink_proxy::endpoint_list::{Endpoint, EndpointList, endpoint_id};
use larklink_proxy::handover::channel::message_channel;
use larklink_proxy::handover::messages::{
    EstablishedSession, HandoverMessage, OpenId, SessionIdChanges, VERSION, parse_message,
};

const MESSAGES: &str = include_str!("fixtures/handover_messages_v1.jsonl");
const LIST: &str = include_str!("fixtures/endpoint_list.json");

fn endpoint(
    name: &str,
    address: &str,
    status: &str,
    (zone, cell): (&str, u16),
    weight_and_start: [f64; 2],
) -> Endpoint {
    Endpoint {
        name: name.into(),
        address: address.into(),
        status: status.into(),
        zone: zone.into(),
        cell,
        weight: weight_and_start[0],
        started_at_ms: weight_and_start[1],
    }
}

/// The endpoints of the fixtures: some with every field, one with characters that JSON escapes, and one with the
/// required fields only.
fn endpoints() -> Vec<Endpoint> {
    vec![
        endpoint("s-0", "127.0.0.1:7001", "up", ("a", 0), [1.0, 0.0]),
        endpoint("s-1", "[::1]:7002", "draining", ("b", 7), [0.25, 1234.5]),
        endpoint("\u{e9} \"q\"\\", "h:65535", "removed", ("", 65535), [1e21, 1e-7]),
        endpoint("s-3", "127.0.0.1:7004", "starts", ("c", 3), [3.0, 1_700_000_000_000.1]),
        endpoint("s-4", "127.0.0.1:7005", "up", ("", 0), [0.0, 0.0]),
    ]
}

fn session_message(
    open_line: &str,
    buffered: [&[u8]; 2],
    unanswered_messages: usize,
    load: Option<f64>,
) -> HandoverMessage {
    let [to_server, to_client] = buffered.map(<[u8]>::to_vec);
    HandoverMessage::Session(EstablishedSession {
        open_line: open_line.into(),
        endpoint: u32::MAX,
        to_server,
        to_client,
        unanswered_messages,
        load,
    })
}

/// The messages of the fixture, in the order of its lines.
fn messages() -> Vec<HandoverMessage> {
    let open_line = "OPEN ab 12 c=chat,t=\u{e9},d=2000,g=1f\r\n";
    vec![
        HandoverMessage::Offer { version: 1, endpoints: endpoints(), exchanges_session_ids: false },
        HandoverMessage::Offer { version: 1, endpoints: Vec::new(), exchanges_session_ids: false },
        HandoverMessage::TakeOver,
        HandoverMessage::Granted { descriptors_in_use: 0 },
        HandoverMessage::Granted { descriptors_in_use: 4096 },
        HandoverMessage::AlreadyTaken,
        HandoverMessage::DescriptorsInUse { descriptors_in_use: 17 },
        HandoverMessage::Stopping,
        session_message(open_line, [b"half a\r\n\0\xff", b"\x80M 1\r\n"], 3, Some(12.5)),
        session_message("", [b"", b""], 0, None),
        session_message("x", [b"", b"\n"], 1, Some(0.0)),
        HandoverMessage::Offer { version: 1, endpoints: Vec::new(), exchanges_session_ids: true },
        HandoverMessage::SessionIds(SessionIdChanges::default()),
        HandoverMessage::SessionIds(SessionIdChanges {
            opened: vec![OpenId { id: u64::MAX, client_key: 0 }, OpenId { id: 0x9b1f, client_key: u64::MAX }],
            closed: vec![0, u64::MAX],
            used: Vec::new(),
        }),
        HandoverMessage::SessionIds(SessionIdChanges {
            used: vec![0, u64::MAX],
            ..SessionIdChanges::default()
        }),
    ]
}

#[test]
fn handover_messages_are_written_as_in_the_fixture() {
    assert_eq!(VERSION, 1);
    let (own_end, mut other_end) = UnixStream::pair().unwrap();
    let (_, writer) = message_channel(Async::new(own_end).unwrap());
    async_io::block_on(async {
        for message in messages() {
            writer.send(&message, &[]).await.unwrap();
        }
    });
    drop(writer);
    let mut written = String::new();
    other_end.read_to_string(&mut written).unwrap();
    assert_eq!(written, MESSAGES);
}

#[test]
fn handover_messages_are_read_from_the_fixture() {
    assert_eq!(
        MESSAGES.lines().map(|line| parse_message(line.as_bytes()).unwrap()).collect::<Vec<_>>(),
        messages()
    );
    let (own_end, mut other_end) = UnixStream::pair().unwrap();
    other_end.write_all(MESSAGES.as_bytes()).unwrap();
    other_end.shutdown(Shutdown::Write).unwrap();
    let (mut reader, _writer) = message_channel(Async::new(own_end).unwrap());
    async_io::block_on(async {
        for message in messages() {
            assert_eq!(reader.receive().await.unwrap(), message);
        }
        assert_eq!(reader.receive().await.unwrap_err().kind(), std::io::ErrorKind::UnexpectedEof);
    });
}

#[test]
fn messages_of_an_unsupported_version_or_format_are_errors() {
    for (line, error) in [
        (r#"{"offer":{"version":2,"list":[]}}"#, "unsupported protocol version 2"),
        (r#"{"offer":{"version":0,"list":[]}}"#, "unsupported protocol version 0"),
        (r#"{"offer":{"list":[]}}"#, "missing field `version` at line 1 column 20"),
        (
            r#""give""#,
            "unknown variant `give`, expected one of `offer`, `take`, `yours`, `taken`, `held`, `ids`, \
             `stops`, `session` at line 1 column 6",
        ),
        (r#""yours""#, "invalid type: unit variant, expected struct variant"),
    ] {
        let e = parse_message(line.as_bytes()).unwrap_err();
        assert_eq!((e.kind(), e.to_string().as_str()), (std::io::ErrorKind::InvalidData, error), "{line}");
    }
}

#[test]
fn the_endpoint_list_is_read_as_discovery_writes_it() {
    let list: EndpointList = serde_json::from_str(LIST).unwrap();
    assert_eq!((list.index, list.snapshot), (41, true));
    assert_eq!(list.endpoints, endpoints());
    let changes: EndpointList = serde_json::from_str(r#"{"index":7,"endpoints":[]}"#).unwrap();
    assert_eq!((changes.index, changes.snapshot, changes.endpoints), (7, false, Vec::new()));
    // The entries that are passed to the balancer.
    let zones = ["a", "b"].map(String::from);
    let fields =
        |e: EndpointEntry| (e.index.0, e.id, (e.zone, e.cell), e.state, e.weight, e.started_at.as_ticks());
    let entries: Vec<_> = list.endpoints.iter().map(|e| fields(e.to_entry(&zones))).collect();
    assert_eq!(
        entries,
        [
            (0, ENDPOINT_IDS[0], (0, 0), EndpointState::Ready, 1.0, 0),
            (0, ENDPOINT_IDS[1], (1, 7), EndpointState::Draining, 0.25, 12_345),
            (0, ENDPOINT_IDS[2], (2, 65535), EndpointState::Removed, 1e21, 0),
            (0, ENDPOINT_IDS[3], (2, 3), EndpointState::Draining, 3.0, 17_000_000_000_001),
            (0, ENDPOINT_IDS[4], (2, 0), EndpointState::Ready, 0.0, 0),
        ]
    );
    assert_eq!(endpoint_id(""), ENDPOINT_IDS[5]);
}

/// The ids of the names of [`endpoints`], and last that of an empty name. All proxies must compute the same id for a
/// name.
const ENDPOINT_IDS: [u32; 6] =
    [55_804_380, 310_835_227, 566_310_032, 2_833_927_301, 3_445_714_532, 953_390_274];

#[test]
fn every_field_of_the_configuration_is_read_from_the_fixture() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/config.json");
    let config = Config::read(&path).unwrap();
    assert_eq!(config.name, "edge-7");
    assert_eq!(config.listen, "127.0.0.1:7411".parse().unwrap());
    assert_eq!(config.discovery, "127.0.0.2:7412".parse().unwrap());
    assert_eq!(config.admin_address, Some("[::1]:7413".parse().unwrap()));
    assert_eq!(config.seed, 0x0123_4567_89ab_cdef);
    assert_eq!(config.limits.max_descriptors, 4096);
    assert_eq!(config.cached_endpoints.endpoints, endpoints());
    assert_eq!(
        config.cached_endpoints.errors.iter().map(ToString::to_string).collect::<Vec<_>>(),
        [
            "known.endpoints[5]: missing field `address`",
            "known.endpoints[6]: invalid type: integer `5`, expected a string",
        ]
    );
    let proxy_settings = &config.settings;
    assert_eq!(proxy_settings.listeners, ["chat", "pay", "push", "feed", "bulk", "odd"]);
    assert_eq!(proxy_settings.zones, ["a", "b", "c"]);
    assert_eq!(proxy_settings.load_report_names, ["inflight", "q", "x0"]);
    assert_eq!((proxy_settings.load_position, proxy_settings.in_flight_position), (Some(2), Some(0)));
    assert_eq!(
        (
            proxy_settings.max_dial_timeout.as_ticks(),
            proxy_settings.passthrough,
            proxy_settings.reports_message_latency
        ),
        (72_000, true, true)
    );
    assert_balancer_settings(&proxy_settings.balancer);
}

fn assert_balancer_settings(settings: &Settings) {
    let listener = |idempotency, handshake_objective, priority_weight| Listener {
        idempotency,
        handshake_objective: TickDuration::from_ticks(handshake_objective),
        priority_weight,
    };
    let with_key = |group, window| Idempotency::WithKey { group, window: TickDuration::from_ticks(window) };
    assert_eq!(
        settings.listeners,
        [
            listener(Idempotency::Idempotent, 5000, 1.5),
            listener(Idempotency::OnceOnly, 2501, 0.0),
            listener(with_key(DeduplicationGroup::All, 300_000), 1, 2.0),
            listener(with_key(DeduplicationGroup::Zone, 10), 0, 0.25),
            listener(with_key(DeduplicationGroup::Cell, 0), 0, 3.0),
            listener(Idempotency::OnceOnly, 0, 0.0),
        ]
    );
    assert_eq!((settings.proxy_count, settings.weighted, settings.polled_discovery), (12, true, true));
    assert_eq!(
        (
            settings.discovery_deadline.as_ticks(),
            settings.drain_grace.as_ticks(),
            settings.removal_not_binding
        ),
        (80_000, 5003, true)
    );
    assert_eq!(
        (
            settings.initial_capacity,
            settings.slow_start_duration.as_ticks(),
            settings.overload_multiple,
            settings.overload_window.as_ticks()
        ),
        (0.12, 200_000, 4.5, 7000)
    );
    assert_eq!(
        settings.retry_budget,
        Some(RetryBudgetSettings {
            min_retries: 2.5,
            retry_ratio: 0.2,
            window: TickDuration::from_ticks(100_000)
        })
    );
    assert_eq!(settings.availability_nines, Some(AvailabilityNines { weight: 0.3, max_nines: 5.0 }));
    assert_eq!(
        (settings.connect_timeout.as_ticks(), settings.max_attempts, settings.max_retry_after.as_ticks()),
        (2500, 4, 15_000)
    );
    assert_eq!(
        (settings.retry_after_allowed, settings.health_checks, settings.load_reports),
        (true, true, true)
    );
    assert_eq!(
        (settings.local_zone, settings.max_dial_timeout.as_ticks(), settings.message_objective.as_ticks()),
        (Some(1), 72_000, 1000)
    );
}

#[test]
fn fields_missing_from_the_configuration_have_their_defaults() {
    let text = r#"{"listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"1f","settings":{"grades":[{"name":"c"}]}}"#;
    let config: Config = serde_json::from_str(text).unwrap();
    assert_eq!((config.name.as_str(), config.admin_address, config.seed), ("", None, 31));
    assert_eq!(config.limits.max_descriptors, 1024);
    assert!(config.cached_endpoints.endpoints.is_empty() && config.cached_endpoints.errors.is_empty());
    let proxy_settings = &config.settings;
    assert_eq!(
        (&proxy_settings.listeners, proxy_settings.zones.len(), proxy_settings.load_report_names.len()),
        (&vec!["c".to_owned()], 0, 0)
    );
    assert_eq!((proxy_settings.load_position, proxy_settings.in_flight_position), (None, None));
    assert_eq!(
        (
            proxy_settings.max_dial_timeout.as_ticks(),
            proxy_settings.passthrough,
            proxy_settings.reports_message_latency
        ),
        (0, false, false)
    );
    let settings = &proxy_settings.balancer;
    assert_eq!(
        settings.listeners,
        [Listener {
            idempotency: Idempotency::OnceOnly,
            handshake_objective: TickDuration::ZERO,
            priority_weight: 0.0
        }]
    );
    assert_eq!((settings.proxy_count, settings.weighted, settings.polled_discovery), (0, false, false));
    assert_eq!(
        (
            settings.discovery_deadline.as_ticks(),
            settings.drain_grace.as_ticks(),
            settings.removal_not_binding
        ),
        (100_000, 0, false)
    );
    assert_eq!(
        (
            settings.initial_capacity,
            settings.slow_start_duration.as_ticks(),
            settings.overload_multiple,
            settings.overload_window.as_ticks()
        ),
        (1.0, 0, 1.0, 10_000)
    );
    assert_eq!((settings.retry_budget, settings.availability_nines), (None, None));
    assert_eq!(
        (settings.connect_timeout.as_ticks(), settings.max_attempts, settings.max_retry_after.as_ticks()),
        (2500, 1, 0)
    );
    assert_eq!(
        (settings.retry_after_allowed, settings.health_checks, settings.load_reports),
        (false, false, false)
    );
    assert_eq!(
        (settings.local_zone, settings.max_dial_timeout.as_ticks(), settings.message_objective.as_ticks()),
        (None, u64::MAX, 0)
    );
}
