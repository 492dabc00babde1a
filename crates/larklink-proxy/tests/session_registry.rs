//! The ids that processes of one proxy refuse, whatever the order of sessions, messages and exits.
#![allow(clippy::unwrap_used, reason = "a test stops where its setup fails")]
use std::collections::BTreeMap;
use std::rc::Rc;

use larklink_proxy::protocol::{OpenLine, parse_open_line};
use larklink_proxy::session_registry::{
    MAX_USED_IDS, OpenSession, ProcessLink, SessionIdError, SessionRegistry,
};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

const IDS: u64 = 6;
const PROCESSES: usize = 3;

fn with_open_line<T>(id: u64, act: impl FnOnce(&OpenLine<'_>) -> T) -> T {
    act(&parse_open_line(format!("OPEN {id:x} 1 c=pay,d=2000\r\n").as_bytes()).unwrap())
}

fn check(registry: &SessionRegistry, id: u64) -> Result<(), SessionIdError> {
    with_open_line(id, |line| registry.check_id(line))
}

fn open(registry: &Rc<SessionRegistry>, id: u64) -> OpenSession {
    with_open_line(id, |line| registry.open(line))
}

/// Sends all changes that one process knows to the other.
fn deliver(from: &ProcessLink, to: &ProcessLink) {
    while let Some(changes) = from.take_unsent() {
        to.apply(changes);
    }
}

/// A step of the model. Processes stand in a chain, each with a link to the next one.
#[derive(Clone, Debug)]
enum Step {
    /// A client sends an id to a process; if it is not refused, the session is sent to an endpoint or not.
    Open { process: usize, id: u64, is_sent: bool },
    /// The attempt of an open session ends, and the session with it.
    End { id: u64, proven_not_run: bool },
    /// The messages that one process of a link has for the other are delivered.
    Deliver { link: usize, forward: bool },
    /// The first process of the chain that still runs exits with all its sessions.
    ExitFirst,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..PROCESSES, 0..IDS, any::<bool>())
            .prop_map(|(process, id, is_sent)| Step::Open { process, id, is_sent }),
        3 => (0..IDS, any::<bool>()).prop_map(|(id, proven_not_run)| Step::End { id, proven_not_run }),
        4 => (0..PROCESSES - 1, any::<bool>()).prop_map(|(link, forward)| Step::Deliver { link, forward }),
        1 => Just(Step::ExitFirst),
    ]
}

/// A session of the model and its process.
struct ModelSession {
    process: usize,
    session: OpenSession,
}

#[derive(Default)]
struct Model {
    registries: Vec<Rc<SessionRegistry>>,
    /// The two ends of each link; none once one of the processes has exited.
    links: Vec<Option<(ProcessLink, ProcessLink)>>,
    sessions: Vec<(u64, ModelSession)>,
    /// The ids that may have run, by the first process that knew it.
    may_have_run: BTreeMap<u64, usize>,
    first_running: usize,
}

impl Model {
    fn new() -> Self {
        let registries: Vec<Rc<SessionRegistry>> = (0..PROCESSES).map(|_| Rc::default()).collect();
        let links = registries.windows(2).map(|pair| Some((pair[0].link(), pair[1].link()))).collect();
        Self { registries, links, ..Self::default() }
    }

    fn apply(&mut self, step: &Step) {
        match *step {
            Step::Open { process, id, is_sent } if process >= self.first_running => {
                if check(&self.registries[process], id).is_err() {
                    return;
                }
                let session = open(&self.registries[process], id);
                if is_sent {
                    session.record_sent();
                }
                self.sessions.push((id, ModelSession { process, session }));
            }
            Step::End { id, proven_not_run } => {
                let Some(position) = self.sessions.iter().position(|(open, _)| *open == id) else { return };
                let (_, ended) = self.sessions.remove(position);
                ended.session.record_attempt_ended(proven_not_run);
                if ended.session.may_have_run() {
                    self.may_have_run.entry(id).or_insert(ended.process);
                }
            }
            Step::Deliver { link, forward } => self.deliver(link, forward),
            Step::ExitFirst if self.first_running + 1 < PROCESSES => self.exit_first(),
            Step::Open { .. } | Step::ExitFirst => {}
        }
    }

    fn deliver(&self, link: usize, forward: bool) {
        if let Some((first, second)) = &self.links[link] {
            if forward { deliver(first, second) } else { deliver(second, first) }
        }
    }

    /// A process that exits in good order has reported all that it knows.
    fn exit_first(&mut self) {
        let exiting = self.first_running;
        let (ended, running): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.sessions).into_iter().partition(|(_, open)| open.process == exiting);
        self.sessions = running;
        for (id, open) in ended {
            if open.session.may_have_run() {
                self.may_have_run.entry(id).or_insert(exiting);
            }
        }
        self.deliver(exiting, true);
        self.links[exiting] = None;
        self.first_running += 1;
    }

    /// Checks that the process that knew first that an id may have run refuses it, and that all do once the messages have
    /// arrived.
    fn check(&mut self) {
        for (&id, &process) in &self.may_have_run {
            if process >= self.first_running {
                assert!(check(&self.registries[process], id).is_err(), "{id} accepted by {process}");
            }
        }
    }

    fn check_after_delivery(&mut self) {
        for _ in 0..PROCESSES {
            for link in 0..self.links.len() {
                self.deliver(link, true);
                self.deliver(link, false);
            }
        }
        for registry in &self.registries[self.first_running..] {
            for id in 0..IDS {
                let is_open = self.sessions.iter().any(|(open, _)| *open == id);
                let expected = match (is_open, self.may_have_run.contains_key(&id)) {
                    (true, _) => Err(SessionIdError::InUse),
                    (false, true) => Err(SessionIdError::Used),
                    (false, false) => Ok(()),
                };
                assert_eq!(check(registry, id), expected, "id {id}");
            }
        }
    }
}

proptest! {
    #![proptest_config(Config { cases: 512, rng_seed: RngSeed::Fixed(65), failure_persistence: None, ..Config::default() })]

    /// Guards against a session that runs twice, under any order of sessions, messages and exits of three processes.
    #[test]
    fn an_id_that_may_have_run_is_refused_by_all_processes(steps in prop::collection::vec(step(), 1..60)) {
        let mut model = Model::new();
        for step in &steps {
            model.apply(step);
            model.check();
        }
        model.check_after_delivery();
    }
}

/// A process that is killed reports no ends: its open sessions may have run.
#[test]
fn the_ids_of_a_process_that_was_killed_stay_refused() {
    let (old, new): (Rc<SessionRegistry>, Rc<SessionRegistry>) = (Rc::default(), Rc::default());
    let (old_link, new_link) = (old.link(), new.link());
    let session = open(&old, 1);
    deliver(&old_link, &new_link);
    assert_eq!(check(&new, 1), Err(SessionIdError::InUse));
    drop(new_link);
    assert_eq!(check(&new, 1), Err(SessionIdError::Used));
    drop((session, old_link));
}

/// Guards against memory that grows without end, in each of two processes, while one client uses ever new ids.
#[test]
fn the_number_of_remembered_ids_is_bounded() {
    let (old, new): (Rc<SessionRegistry>, Rc<SessionRegistry>) = (Rc::default(), Rc::default());
    let ids = 0..2 * MAX_USED_IDS as u64;
    for id in ids.clone() {
        open(&old, id).record_sent();
    }
    let (old_link, new_link) = (old.link(), new.link());
    deliver(&old_link, &new_link);
    for registry in [&old, &new] {
        let refused: Vec<_> = ids.clone().filter(|&id| check(registry, id).is_err()).collect();
        assert_eq!(
            refused,
            (MAX_USED_IDS as u64..ids.end).collect::<Vec<_>>(),
            "the latest ones stay refused"
        );
    }
}
