//! Plain values that pass between a proxy and its [`Balancer`](crate::balancer::Balancer).

/// A time or a span, in whole tenths of a millisecond.
pub type Time = u64;

/// A server's small index; the caller gives each id a new one, counting from 0.
pub type ServerIx = usize;

/// The handle of a session, good until its end.
pub type SessIx = usize;

/// May a session of this listener run twice?
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    Repeatable,
    /// Repeats are dropped by the servers of one group, for a window from the first dial that may have run.
    Referenced {
        group: Group,
        window: Time,
    },
    OnceOnly,
}

/// The servers that know a referenced session's repeats.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    All,
    Zone,
    Cell,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Listener {
    pub kind: Kind,
    pub handshake_target: Time,
    /// What a second of one of its sessions is worth, in no unit; 0 where that is not told.
    pub utility: f64,
}

/// A retry budget of further dials: in any window of a length, a proxy's dials beyond each session's first number at
/// most `free` plus `share` x the sessions that it took in that window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudget {
    pub free: f64,
    pub share: f64,
    pub over: Time,
}

/// What calm spans weigh: the mean of how many tenfold steps the share not served lies below the whole.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Nines {
    /// Its weight in the result.
    pub part: f64,
    /// So many steps count in full.
    pub top: f64,
}

/// What a proxy is told at its start; by default nothing is told or allowed.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    pub listeners: Vec<Listener>,
    /// How many proxies share the servers; 0 where that is not told.
    pub proxies: u32,
    /// The list's weights compare sizes and stand still.
    pub weighted: bool,
    /// The list must be asked for.
    pub on_request: bool,
    pub must_ask_in: Time,
    pub drain_grace: Time,
    /// Only a server that was itself listed as draining is closed to new work: one that is merely gone may be up.
    pub only_drains: bool,
    pub start_capacity: f64,
    pub cold: Time,
    pub fall_multiple: f64,
    pub overload_for: Time,
    /// None where further dials are not rationed.
    pub retry_budget: Option<RetryBudget>,
    pub nines: Option<Nines>,
    pub connect_timeout: Time,
    pub max_dials: u32,
    pub max_retry_after: Time,
    pub retry_after: bool,
    pub probing: bool,
    /// The answer to a probe tells the load asked of the server over what it can do.
    pub tells_load: bool,
    /// The zone of this proxy; none where there is but one, or where a crossing is cheaper than a move.
    pub zone: Option<u16>,
    /// The longest time for which any client waits to be accepted; `Time::MAX` where none is told.
    pub dial_timeout: Time,
    /// The shortest time within which any listener wants a message.
    pub message_target: Time,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum State {
    Ready,
    Draining,
    #[default]
    Gone,
}

/// A line of the server list.
#[derive(Clone, Copy, Debug, Default)]
pub struct Entry {
    pub server: ServerIx,
    /// The same at every proxy; the table is built from it.
    pub id: u32,
    pub zone: u16,
    pub cell: u16,
    pub state: State,
    pub weight: f64,
    /// Its last start; 0: long ago.
    pub came_up: Time,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    Changes,
    Whole,
    Cached,
}

/// A session as it reaches the proxy.
#[derive(Clone, Copy, Debug, Default)]
pub struct Session {
    pub listener: usize,
    pub group_key: u64,
    pub client_key: u64,
    /// Time until its dial timeout.
    pub patience: Time,
    pub mid_flow: bool,
    /// Its client comes again after a break or a move.
    pub again: bool,
    /// Its client marks it as a repeat of one that was not accepted.
    pub retry: bool,
}

/// What to do with a session now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Its first byte may be sent up to `by`; one that comes up later must not be sent, and settles as unsent.
    Dial {
        server: ServerIx,
        limit: Time,
        by: Time,
    },
    /// Not yet: a chore will tell, well before its dial timeout.
    Wait,
    Refuse {
        retry_after: Time,
    },
    TearDown,
}

/// How a dial, a connection or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Accepted,
    Error,
    Full,
    Late,
    Unmade,
    Broken,
    CalledOff,
    Unsent,
}

impl Outcome {
    /// Proves that the dial never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Full | Outcome::Unmade | Outcome::Unsent)
    }
}

/// Word on an open connection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Note {
    /// Its load now, microseconds of work a second.
    Load(f64),
    /// What a message takes at its server now.
    Delay(Time),
    /// A message has brought nothing back for longer than a connect time-out.
    Unanswered,
}

/// Housekeeping that the proxy is to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Chore {
    Probe(ServerIx),
    /// What to do with a session that was to wait.
    Tell(SessIx, Verdict),
    /// The dial that is out may be sent up to this time, no longer for as long as its verdict said.
    SendBy(SessIx, Time),
    Move(SessIx),
    Subscribe,
    Log(String),
}
