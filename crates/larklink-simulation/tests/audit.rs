//! The audit on books written by hand: each thing that can be broken, beside the nearest thing that is sound.
use larklink_simulation::audit::{Broken, Findings, audit};
use larklink_simulation::book::{Answer, Ask, Book, DialEnd, End, Way, What};
use larklink_simulation::scenario::Scenario;
use larklink_simulation::spans::SECOND;

const ID: u64 = 7;
const END: u64 = 20 * SECOND;

fn scenario(more: &str) -> Scenario {
    let text = "[[listeners]]\nname = 'r'\n[[listeners]]\nname = 'o'\nkind = 'once-only'\n\
                [[listeners]]\nname = 'f'\nkind = 'referenced'\nwindow = '1s'\n";
    Scenario::read(&format!("{more}\n{text}")).unwrap()
}

fn opened(listener: usize) -> What {
    let ask = Ask {
        client: 0,
        id: ID,
        key: 1,
        group: 1,
        listener,
        patience: 3 * SECOND,
        again: false,
        retry: false,
    };
    What::Opened { ask, proxy: 0 }
}

fn dial(server: usize) -> What {
    What::Dial { id: ID, server, conn: server as u64, told: 1000 }
}

fn dial_ended(server: usize, how: DialEnd) -> What {
    What::DialEnded { id: ID, server, conn: server as u64, how }
}

fn answered(answer: Answer) -> What {
    What::Answered { id: ID, answer }
}

fn ended(how: End) -> What {
    What::Ended { id: ID, how }
}

/// The findings in a book of these entries, in milliseconds.
fn judge(entries: Vec<(u64, What)>) -> Findings {
    let mut book = Book::default();
    entries.into_iter().for_each(|(ms, what)| book.note(ms * 10, what));
    audit(&scenario(""), &book, END)
}

/// What was broken, once each.
fn broken(entries: Vec<(u64, What)>) -> Vec<Broken> {
    judge(entries).counts().into_keys().collect()
}

#[test]
fn what_each_shape_of_proxies_got_is_told_apart() {
    let mixed = scenario("[proxies]\ncount = 2\nmoved = 1\n");
    let got = |proxy, answer| {
        let mut book = Book::default();
        let What::Opened { ask, .. } = opened(0) else { unreachable!() };
        book.note(0, What::Opened { ask, proxy });
        book.note(20, answered(answer));
        audit(&mixed, &book, END).shapes.map(|s| (s.opened, s.accepted))
    };
    assert_eq!(got(0, Answer::Accepted), [(1, 1), (0, 0)]);
    assert_eq!(got(1, Answer::Refused(0)), [(0, 0), (1, 0)]);
    for (text, key) in
        [("[proxies]\nmoved = 4\n", "proxies.moved"), ("[must]\neach_shape = 0.5\n", "must.each_shape")]
    {
        assert!(Scenario::read(text).unwrap_err().iter().any(|p| p.key == key), "{text}");
    }
}

#[test]
fn an_answer_in_time_is_sound_and_one_too_many_too_late_or_none_is_not() {
    use Broken::*;
    let at = |ms, rest: Vec<(u64, What)>| {
        let mut all = vec![(0, opened(0)), (1, dial(0)), (2, dial_ended(0, DialEnd::Accepted))];
        all.push((ms, answered(Answer::Accepted)));
        all.extend(rest);
        broken(all)
    };
    assert_eq!(at(3049, vec![]), []);
    assert_eq!(at(3051, vec![]), [LateAnswer]);
    assert_eq!(at(10, vec![(11, answered(Answer::Refused(0)))]), [TwoAnswers]);
    assert_eq!(at(10, vec![(11, What::More { id: ID })]), [TwoAnswers]);
    assert_eq!(broken(vec![(0, opened(0))]), [NoAnswer]);
    assert_eq!(broken(vec![(0, opened(0)), (5, ended(End::Closed))]), [NoAnswer]);
    assert_eq!(
        broken(vec![(0, opened(0)), (5, What::Garbled { id: ID }), (5, ended(End::Closed))]),
        [NoAnswer, NotAnAnswer]
    );
    assert_eq!(broken(vec![(0, opened(0)), (9, answered(Answer::Accepted))]), [AcceptedByNobody]);
    // Its client left, or the run ended before it had to be answered.
    assert_eq!(broken(vec![(0, opened(0)), (5, ended(End::Left))]), []);
    assert_eq!(broken(vec![(18_000, opened(0))]), []);
}

#[test]
fn what_went_down_with_a_killed_proxy_is_no_loss_but_a_planned_stop_excuses_nothing() {
    let with = |planned| {
        let gone = What::ProxyGone { proxy: 0, planned };
        judge(vec![(0, opened(0)), (100, gone), (101, ended(End::Broken))])
    };
    assert_eq!(with(false).listeners[0].with_proxy, 1);
    assert!(with(false).breaches.is_empty());
    assert_eq!(with(true).breaches[0].what, Broken::NoAnswer);
    let nobody = judge(vec![(0, opened(0)), (1, What::NobodyThere { id: ID, proxy: 0 })]);
    assert_eq!((nobody.listeners[0].nobody_there, nobody.breaches.len()), (1, 0));
}

#[test]
fn a_dial_after_one_that_may_have_run_goes_by_the_kind() {
    use Broken::*;
    let again = |listener, first: DialEnd, at| {
        let entries = vec![
            (0, opened(listener)),
            (1, dial(0)),
            (20, dial_ended(0, first)),
            (at, dial(1)),
            (at + 1, dial_ended(1, DialEnd::Accepted)),
            (at + 1, answered(Answer::Accepted)),
        ];
        broken(entries)
    };
    assert_eq!(again(0, DialEnd::GivenUp, 30), []);
    assert_eq!(again(1, DialEnd::TurnedAway, 30), []);
    assert_eq!(again(1, DialEnd::GivenUp, 30), [MayRunTwice]);
    assert_eq!(again(1, DialEnd::Cut, 30), [MayRunTwice]);
    assert_eq!(again(2, DialEnd::GivenUp, 900), []);
    assert_eq!(again(2, DialEnd::GivenUp, 1060), [MayRunTwice]);
    // The end of the first is seen up to 50 ms after the second has come.
    let out = |first_ends| {
        broken(vec![
            (0, opened(0)),
            (1, dial(0)),
            (30, dial(1)),
            (first_ends, dial_ended(0, DialEnd::GivenUp)),
            (90, dial_ended(1, DialEnd::Accepted)),
            (90, answered(Answer::Accepted)),
        ])
    };
    assert_eq!((out(79), out(81)), (vec![], vec![TwoDialsOut]));
    let refused = |listener, first, at| {
        broken(vec![
            (0, opened(listener)),
            (1, dial(0)),
            (20, dial_ended(0, first)),
            (at, answered(Answer::Refused(0))),
        ])
    };
    assert_eq!(refused(1, DialEnd::TurnedAway, 30), []);
    assert_eq!(refused(1, DialEnd::Failed, 30), [RefusedThoughItMayHaveRun]);
    assert_eq!(refused(2, DialEnd::Failed, 30), []);
    assert_eq!(refused(2, DialEnd::Failed, 1100), [RefusedThoughItMayHaveRun]);
    let many = (0..5)
        .flat_map(|n| [(n * 10, dial(n as usize)), (n * 10 + 1, dial_ended(n as usize, DialEnd::Failed))]);
    let many = std::iter::once((0, opened(0))).chain(many).chain([(60, answered(Answer::TornDown))]);
    assert_eq!(broken(many.collect()), [TooManyDials]);
}

#[test]
fn servers_that_drain_or_are_cold_are_let_be() {
    use Broken::*;
    let told = |ready| What::Told { proxy: 0, server: 0, ready };
    let dialled = |at| {
        broken(vec![
            (0, told(false)),
            (0, opened(0)),
            (at, dial(0)),
            (at + 1, dial_ended(0, DialEnd::Failed)),
            (at + 1, answered(Answer::TornDown)),
        ])
    };
    assert_eq!((dialled(549), dialled(551)), (vec![], vec![AfterDrain]));
    // Told twice, the first counts; told that it is up again, none does.
    let back = vec![
        (0, told(false)),
        (500, told(false)),
        (600, told(true)),
        (1000, opened(0)),
        (1001, dial(0)),
        (1002, dial_ended(0, DialEnd::Failed)),
        (1003, answered(Answer::TornDown)),
    ];
    assert_eq!(broken(back), []);
    assert_eq!(broken(vec![(0, What::Over { server: 0, ratio: 5.0 })]), [ColdRushed]);
    assert_eq!(broken(vec![(0, What::LeftBehind { server: 0, sessions: 3 })]), [LeftBehind]);
}

#[test]
fn an_accepted_session_is_cut_by_its_server_or_moved() {
    use Broken::*;
    let stood = |rest: Vec<(u64, What)>| {
        let mut all = vec![(0, opened(0)), (1, dial(0)), (2, dial_ended(0, DialEnd::Accepted))];
        all.push((3, answered(Answer::Accepted)));
        all.extend(rest);
        broken(all)
    };
    assert_eq!(stood(vec![(500, ended(End::Closed))]), [CutWithoutMove]);
    assert_eq!(stood(vec![(500, ended(End::Moved))]), []);
    let cut = |client| stood(vec![(500, dial_ended(0, DialEnd::Cut)), (client, ended(End::Broken))]);
    assert_eq!((cut(501), cut(1540), cut(1560)), (vec![], vec![], vec![EndedLate]));
    assert_eq!(stood(vec![(499, What::ServerDied { server: 0 }), (500, ended(End::Broken))]), []);
    assert_eq!(stood(vec![(5, What::Held { id: ID, way: Way::ToClient, took: 11_000 })]), [LineHeld]);
    assert_eq!(stood(vec![(5, What::Changed { id: ID })]), [LineChanged]);
    assert_eq!(stood(vec![(5, What::SilentFor { id: ID, span: 71_000 })]), [SilentTooLong]);
    // Told to wait for longer than its client does.
    let long = What::Dial { id: ID, server: 0, conn: 0, told: 3060 };
    let told = vec![
        (0, opened(0)),
        (1, long),
        (2, dial_ended(0, DialEnd::Accepted)),
        (3, answered(Answer::Accepted)),
    ];
    assert_eq!(broken(told), [ToldTooLong]);
}

#[test]
fn where_packets_pass_through_the_end_of_a_proxy_is_no_cut() {
    let mut book = Book::default();
    let entries = [
        (0, opened(0)),
        (1, dial(0)),
        (2, dial_ended(0, DialEnd::Accepted)),
        (3, answered(Answer::Accepted)),
        (500, ended(End::Closed)),
        (520, What::ProxyGone { proxy: 0, planned: true }),
    ];
    entries.into_iter().for_each(|(ms, what)| book.note(ms * 10, what));
    let found = |more| audit(&scenario(more), &book, END).breaches.len();
    assert_eq!((found(""), found("[rules]\npasses = true\n")), (1, 0));
}
