//! The forms in which scenarios are read and findings written, held against files: every key, byte for byte.
use larklink_simulation::audit::{Answers, Breach, Broken, Findings, Shape};
use larklink_simulation::book::{Answer, Ask, Book, DialEnd, End, Way, What};
use larklink_simulation::scenario::{Kind, Retry, Scenario, Trouble};

/// What can be broken, in the order of its numbers, and the rule that it breaks.
const BROKEN: [(Broken, u8); 18] = [
    (Broken::NoAnswer, 1),
    (Broken::TwoAnswers, 1),
    (Broken::LateAnswer, 1),
    (Broken::NotAnAnswer, 1),
    (Broken::TwoDialsOut, 2),
    (Broken::MayRunTwice, 2),
    (Broken::RefusedThoughItMayHaveRun, 2),
    (Broken::AcceptedByNobody, 1),
    (Broken::TooManyDials, 2),
    (Broken::ToldTooLong, 0),
    (Broken::AfterDrain, 3),
    (Broken::ColdRushed, 4),
    (Broken::CutWithoutMove, 0),
    (Broken::LineHeld, 0),
    (Broken::LineChanged, 0),
    (Broken::EndedLate, 0),
    (Broken::SilentTooLong, 0),
    (Broken::LeftBehind, 0),
];

fn answers() -> Answers {
    Answers {
        opened: 1,
        accepted: 2,
        refused: 3,
        torn_down: 4,
        with_proxy: 5,
        nobody_there: 6,
        open: 7,
        dials: 8,
        retries: 9,
        moved: 10,
        ran_late: 11,
        // Not written.
        took: vec![12, 13],
    }
}

fn breach(at: u64, (what, _): (Broken, u8)) -> Breach {
    let session = if at == 0 { String::new() } else { format!("{:x}", at * 0xabc) };
    Breach { what, rule: what.rule(), session, at, seen: format!("\u{e9} \"seen\" {at}") }
}

fn findings() -> Findings {
    Findings {
        listeners: vec![answers(), Answers::default()],
        shapes: [Shape { opened: 14, accepted: 15 }, Shape { opened: 16, accepted: 17 }],
        breaches: (0..).zip(BROKEN).map(|(at, broken)| breach(at, broken)).collect(),
    }
}

#[test]
fn findings_are_written_as_in_the_file() {
    let text = serde_json::to_string_pretty(&findings()).unwrap() + "\n";
    assert_eq!(text, include_str!("fixtures/findings.json"));
    for (what, rule) in BROKEN {
        assert_eq!(what.rule(), rule, "{what:?}");
    }
    // In this order they are counted.
    assert!(BROKEN.windows(2).all(|pair| pair[0].0 < pair[1].0));
    assert_eq!(Shape::NAMES, ["old", "moved"]);
}

/// One of each thing that is noted, with each way in which it can be.
fn book() -> Book {
    let id = u64::MAX;
    let ask =
        |again, retry| Ask { client: 1, id: 2, key: 3, group: 4, listener: 5, patience: 6, again, retry };
    let mut all = vec![
        What::Opened { ask: ask(true, false), proxy: 7 },
        What::Opened { ask: ask(false, true), proxy: 0 },
        What::NobodyThere { id, proxy: 8 },
    ];
    let answers = [Answer::Accepted, Answer::Refused(0), Answer::Refused(1500), Answer::TornDown];
    all.extend(answers.map(|answer| What::Answered { id, answer }));
    all.extend([What::More { id }, What::Garbled { id }]);
    all.extend([End::Moved, End::Closed, End::Broken, End::Left].map(|how| What::Ended { id, how }));
    all.extend([What::GaveUp { id }, What::LineLate { id, took: 9 }]);
    all.extend([Way::ToServer, Way::ToClient].map(|way| What::Held { id, way, took: 10 }));
    all.extend([What::Changed { id }, What::SilentFor { id, span: 11 }]);
    all.push(What::Dial { id, server: 12, conn: 13, told: 14 });
    let ends = [
        DialEnd::TurnedAway,
        DialEnd::Failed,
        DialEnd::Accepted,
        DialEnd::Cut,
        DialEnd::SentAway,
        DialEnd::GivenUp,
    ];
    all.extend(ends.map(|how| What::DialEnded { id, server: 15, conn: 16, how }));
    all.extend([
        What::Ran { id, server: 17 },
        What::RanLate { id, server: 18 },
        What::Over { server: 19, ratio: 2.5 },
        What::ServerDied { server: 20 },
        What::ServerBack { server: 21 },
        What::ServerSilent { server: 22, until: 23 },
        What::LeftBehind { server: 24, sessions: 25 },
        What::Told { proxy: 26, server: 27, ready: true },
        What::ProxyUp { proxy: 28 },
        What::ProxyGone { proxy: 29, planned: false },
        What::Fault("\u{e9} \"fault\"".into()),
    ]);
    let mut book = Book::default();
    (0..).zip(all).for_each(|(at, what)| book.note(at, what));
    book
}

#[test]
fn a_book_is_written_as_in_the_file() {
    assert_eq!(book().lines(), include_str!("fixtures/book.jsonl"));
}

#[test]
fn every_key_of_a_scenario_is_read_from_the_file() {
    let s = Scenario::read(include_str!("fixtures/scenario.toml")).unwrap();
    assert_eq!(
        (s.name.as_str(), s.about.as_str(), s.seed, s.length.0),
        ("all of it", "Every key.", 77, 900_000)
    );
    let p = &s.proxies;
    assert_eq!((p.count, p.zones, p.memory_mb, p.descriptors, p.doors, p.moved), (5, 2, 64, 512, true, 2));
    let r = &s.rules;
    assert_eq!((r.connect_timeout.0, r.dials, r.retry_after.0, r.drain_grace.0), (3000, 7, 20_000, 7505));
    assert_eq!((r.probes, r.must_ask_in.0, r.passes), (false, 80_000, true));
    let [one, other] = &s.servers[..] else { panic!("{:?}", s.servers) };
    let v = one.get_ref();
    assert_eq!((v.count, v.cores, v.speed, v.holds), (3, 4, 1.5, 100));
    assert_eq!((v.setup_work.0, v.queue.0, v.start_capacity, v.warm_up.0), (5, 10_000, 0.5, 90_000));
    assert_eq!((v.fall_multiple, v.fall_after.0, v.falls, v.back_after.0), (2.5, 12_000, false, 30_000));
    assert_eq!((v.report_every.0, v.listed, v.weight), (1500, false, 0.25));
    let v = other.get_ref();
    assert_eq!((v.count, v.cores, v.speed, v.holds), (6, 2, 1.0, 5000));
    assert_eq!((v.setup_work.0, v.queue.0, v.start_capacity, v.warm_up.0), (20, 15_000, 0.12, 200_000));
    assert_eq!((v.fall_multiple, v.fall_after.0, v.falls, v.back_after.0), (4.0, 10_000, true, 20_000));
    assert_eq!((v.report_every.0, v.listed, v.weight), (2000, true, 1.0));
    assert_eq!((s.store.rate, s.store.bound.0), (123.5, 12_500));
    assert_eq!((s.list.lag.0, s.front.notices_after.0), (500, 7000));
    let m = &s.must;
    assert_eq!((m.service, m.accepted, m.each_shape), (Some(0.9), Some(0.95), Some(0.8)));
    assert_eq!((m.answer_p99.map(|l| l.0), m.recovers.map(|l| l.0)), (Some(11_000), Some(60_000)));
}

#[test]
fn every_key_of_its_listeners_is_read_from_the_file() {
    let s = Scenario::read(include_str!("fixtures/scenario.toml")).unwrap();
    let [one, other, last] = &s.listeners[..] else { panic!("{:?}", s.listeners) };
    let l = one.get_ref();
    assert_eq!((l.name.as_str(), l.kind, l.window.0), ("pay_1.x", Kind::Referenced, 40_000));
    assert_eq!((l.handshake_target.0, l.dial_timeout.0), (2500, 50_000));
    assert_eq!((l.standing, l.spread.0, l.rate, l.life.0), (9, 1000, 2.5, 450_000));
    assert_eq!((l.every.0, l.line_target.0, l.load, l.utility), (20_000, 800, 0.125, 3.5));
    assert_eq!((l.retry, l.wait.0, l.tries, l.again_after.0), (Retry::AtOnce, 9000, 3, 600));
    assert_eq!((l.group, l.deaf_kb), (2, 64));
    let l = other.get_ref();
    assert_eq!((l.name.as_str(), l.kind, l.window.0), ("pick-list", Kind::OnceOnly, 10_000));
    assert_eq!((l.handshake_target.0, l.dial_timeout.0), (5000, 30_000));
    assert_eq!((l.standing, l.spread.0, l.rate, l.life.0), (200, 30_000, 20.0, 150_000));
    assert_eq!((l.every.0, l.line_target.0, l.load, l.utility), (10_000, 1000, 0.004, 1.0));
    assert_eq!((l.retry, l.wait.0, l.tries, l.again_after.0), (Retry::Never, 5000, 8, 2000));
    assert_eq!((l.group, l.deaf_kb), (4, 0));
    let l = last.get_ref();
    assert_eq!((l.name.as_str(), l.kind, l.retry), ("last", Kind::Repeatable, Retry::After));
}

#[test]
fn every_key_of_its_faults_is_read_from_the_file() {
    use Trouble::*;
    let s = Scenario::read(include_str!("fixtures/scenario.toml")).unwrap();
    // What, when, for how long, and by what factor.
    let seen: Vec<_> = s.faults.iter().map(|f| f.get_ref()).collect();
    let seen: Vec<_> = seen.iter().map(|f| (f.what, f.at.0, f.lasts.map(|l| l.0), f.factor)).collect();
    assert_eq!(
        seen,
        [
            (ProxyKilled, 10_000, Some(20_000), None),
            (ServerDrops, 20_000, Some(10_000), Some(3.0)),
            (ProxyStopped, 30_000, None, None),
            (ProxyReloaded, 40_000, None, None),
            (ProxyReplaced, 50_000, None, None),
            (ServerSilent, 60_000, Some(10_000), None),
            (ServerPaused, 70_000, Some(10_000), None),
            (ServerDied, 80_000, None, None),
            (ServerDrains, 90_000, Some(10_000), None),
            (ServersJoin, 100_000, None, None),
            (StoreSlow, 110_000, Some(10_000), Some(8.0)),
            (ListLost, 120_000, Some(10_000), None),
            (ListStill, 130_000, Some(10_000), None),
            (ClientsDropped, 140_000, None, None),
        ]
    );
    let (first, second) = (s.faults[0].get_ref(), s.faults[1].get_ref());
    assert_eq!((first.which.as_deref(), first.share), (Some(&[0, 4][..]), None));
    assert_eq!((first.apart.map(|l| l.0), first.together), (Some(100), Some(2)));
    assert_eq!((first.every.map(|l| l.0), first.times, first.at_accept), (Some(200_000), Some(3), true));
    assert_eq!((second.which.as_deref(), second.share), (None, Some(0.5)));
    assert_eq!((second.apart.map(|l| l.0), second.together), (None, None));
    assert_eq!((second.every.map(|l| l.0), second.times, second.at_accept), (None, None, false));
    assert_eq!(s.faults[13].get_ref().share, Some(0.75));
}
