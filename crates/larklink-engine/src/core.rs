//! One proxy's decisions behind ids: events go in, [`Action`]s come out. Whoever holds a [`Core`] hands each
//! event to it with the time, carries out the actions it returns in their order, and calls [`Core::poll`]
//! after each batch of events and when [`Core::due`] has come.
use std::collections::HashMap;

use larklink_balancer::balancer::Balancer;
use larklink_balancer::types::*;

use crate::settings::ProxySettings;

/// What is to be done, by the ids that came in.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Dial a server for a session, for so long, its first byte up to `by`; its dials are counted from 0.
    Dial {
        session: u32,
        dial: u8,
        server: u32,
        limit: Time,
        by: Time,
    },
    /// The dial that is out may be sent up to `by` only.
    SendBy {
        session: u32,
        dial: u8,
        by: Time,
    },
    Refuse {
        session: u32,
        retry_after: Time,
    },
    TearDown {
        session: u32,
    },
    /// Send an accepted session's client elsewhere. The session is over.
    Move {
        session: u32,
    },
    Probe {
        server: u32,
    },
    Subscribe,
    Log(String),
}

pub struct Core {
    balancer: Balancer,
    listeners: usize,
    load_at: Option<usize>,
    holds_at: Option<usize>,
    servers: HashMap<u32, ServerIx>,
    ids: Vec<u32>,
    /// Each session's handle and how many dials it has had.
    sessions: HashMap<u32, (SessIx, u8)>,
    /// The id of each session, by its handle.
    by_handle: HashMap<SessIx, u32>,
}

impl Core {
    pub fn new(facts: &ProxySettings, seed: u64, now: Time) -> Self {
        Self {
            load_at: facts.load_at,
            holds_at: facts.holds_at,
            listeners: facts.settings.listeners.len(),
            balancer: Balancer::new(facts.settings.clone(), seed, now),
            servers: HashMap::new(),
            ids: Vec::new(),
            sessions: HashMap::new(),
            by_handle: HashMap::new(),
        }
    }

    /// Whether the settings have a listener of this number; a session of any other must not come in.
    pub fn has_listener(&self, listener: usize) -> bool {
        listener < self.listeners
    }

    /// The server list, or what changed in it. The index in each entry is filled in here.
    pub fn heard_list(&mut self, now: Time, scope: Scope, mut entries: Vec<Entry>) {
        for entry in &mut entries {
            entry.server = self.server(entry.id);
        }
        self.balancer.heard_list(now, scope, &entries);
    }

    pub fn list_failed(&mut self, now: Time) {
        self.balancer.list_failed(now);
    }

    /// This process has taken over from another one of the same proxy, which may still dial.
    pub fn succeeds(&mut self, now: Time) {
        self.balancer.succeeds(now);
    }

    /// A session has come in: where it goes.
    pub fn open(&mut self, now: Time, session: u32, ask: Session) -> Option<Action> {
        let (handle, verdict) = self.balancer.place(now, ask);
        self.enter(session, handle, 0);
        self.act(session, verdict)
    }

    /// A connection that stands at a server already.
    pub fn adopt(&mut self, now: Time, session: u32, ask: Session, server: u32) {
        let server = self.server(server);
        let handle = self.balancer.adopt(now, ask, server);
        self.enter(session, handle, 1);
    }

    /// A dial's connection stands.
    pub fn stood(&mut self, now: Time, session: u32, dial: u8) {
        if let Some(handle) = self.current(session, dial) {
            self.balancer.stood(now, handle);
        }
    }

    /// A dial or a connection ended; `over` if its session is over with it. Else says what comes next.
    pub fn settled(&mut self, now: Time, session: u32, dial: u8, how: Outcome, over: bool) -> Option<Action> {
        let handle = self.current(session, dial)?;
        match self.balancer.settled(now, handle, how, over) {
            Some(verdict) => self.act(session, verdict),
            None => {
                self.forget(session);
                None
            }
        }
    }

    /// The client has left.
    pub fn left(&mut self, session: u32) {
        if let Some(&(handle, _)) = self.sessions.get(&session) {
            self.balancer.left(handle);
            self.forget(session);
        }
    }

    pub fn noted(&mut self, now: Time, session: u32, dial: u8, note: Note) {
        if let Some(handle) = self.current(session, dial) {
            self.balancer.noted(now, handle, note);
        }
    }

    /// A probe's answer, with the values of its load report, if it had one.
    pub fn probed(&mut self, now: Time, server: u32, how: Outcome, took: Time, report: &[f64]) {
        if let Some(&server) = self.servers.get(&server) {
            let value = |at: Option<usize>| at.and_then(|at| report.get(at)).copied().unwrap_or(0.0);
            self.balancer.probed(now, server, how, took, value(self.load_at), value(self.holds_at));
        }
    }

    /// How many servers the list has, and how many of them are avoided now.
    pub fn census(&self) -> (usize, usize) {
        self.balancer.census()
    }

    pub fn due(&self) -> Time {
        self.balancer.due()
    }

    /// What the module has to do besides its answers.
    pub fn poll(&mut self, now: Time) -> Vec<Action> {
        let mut actions = Vec::new();
        for chore in self.balancer.poll(now) {
            actions.extend(match chore {
                Chore::Probe(server) => Some(Action::Probe { server: self.ids[server] }),
                Chore::Move(handle) => {
                    let session = self.by_handle[&handle];
                    self.left(session);
                    Some(Action::Move { session })
                }
                Chore::Tell(handle, verdict) => self.act(self.by_handle[&handle], verdict),
                Chore::SendBy(handle, by) => {
                    let session = self.by_handle[&handle];
                    Some(Action::SendBy { session, dial: self.sessions[&session].1 - 1, by })
                }
                Chore::Subscribe => Some(Action::Subscribe),
                Chore::Log(text) => Some(Action::Log(text)),
            });
        }
        actions
    }

    fn act(&mut self, session: u32, verdict: Verdict) -> Option<Action> {
        let action = match verdict {
            Verdict::Wait => return None,
            Verdict::Dial { server, limit, by } => {
                let (_, dials) = self.sessions.get_mut(&session)?;
                *dials += 1;
                return Some(Action::Dial { session, dial: *dials - 1, server: self.ids[server], limit, by });
            }
            Verdict::Refuse { retry_after } => Action::Refuse { session, retry_after },
            Verdict::TearDown => Action::TearDown { session },
        };
        self.forget(session);
        Some(action)
    }

    fn enter(&mut self, session: u32, handle: SessIx, dials: u8) {
        self.sessions.insert(session, (handle, dials));
        self.by_handle.insert(handle, session);
    }

    fn forget(&mut self, session: u32) {
        if let Some((handle, _)) = self.sessions.remove(&session) {
            self.by_handle.remove(&handle);
        }
    }

    /// The session of which this is the latest dial; word on any other is ignored.
    fn current(&self, session: u32, dial: u8) -> Option<SessIx> {
        self.sessions.get(&session).filter(|(_, dials)| dial + 1 == *dials).map(|&(handle, _)| handle)
    }

    fn server(&mut self, id: u32) -> ServerIx {
        *self.servers.entry(id).or_insert_with(|| {
            self.ids.push(id);
            self.ids.len() - 1
        })
    }
}
