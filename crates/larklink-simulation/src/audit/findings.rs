//! The result of the audit: violations and session outcomes.
use std::collections::BTreeMap;
use std::fmt;

use serde::Serialize;

use crate::time::{TickDuration, Timestamp};

/// The session id of a violation that concerns no single session.
pub(super) const NO_SESSION: u64 = 0;

/// The kinds of violations. Their serialized names appear in reports and in `docs/testbed.md`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ViolationKind {
    /// A session got no final response.
    #[serde(rename = "no_answer")]
    NoResponse,
    /// The client received a second response, or data after a response that ended the session.
    #[serde(rename = "two_answers")]
    ExtraResponse,
    /// The response came after the client's dial timeout.
    #[serde(rename = "late_answer")]
    LateResponse,
    /// The client received a line that is not a valid response.
    #[serde(rename = "not_an_answer")]
    MalformedResponse,
    /// Two attempts of a session were in flight at once.
    #[serde(rename = "two_dials_out")]
    ConcurrentAttempts,
    /// Another attempt followed one that may have run, though the session must not run twice.
    MayRunTwice,
    /// A session was rejected, which invites a retry, although it may have run.
    #[serde(rename = "refused_though_it_may_have_run")]
    RejectedThoughMayHaveRun,
    /// A session was accepted without an attempt at any server.
    #[serde(rename = "accepted_by_nobody")]
    AcceptedWithoutAttempt,
    /// A session had more attempts than allowed.
    #[serde(rename = "too_many_dials")]
    TooManyAttempts,
    /// An attempt gave its server a timeout longer than its client was still going to wait.
    #[serde(rename = "told_too_long")]
    TimeoutTooLong,
    /// An attempt started after the drain grace of its endpoint.
    #[serde(rename = "after_drain")]
    AttemptAfterDrainGrace,
    /// A server was overloaded during slow start.
    #[serde(rename = "cold_rushed")]
    SlowStartOverloaded,
    /// An established session was broken without a migration.
    #[serde(rename = "cut_without_move")]
    BrokenWithoutMigration,
    /// A message took too long between client and server.
    #[serde(rename = "line_held")]
    MessageDelayed,
    /// A message was altered in transit.
    #[serde(rename = "line_changed")]
    MessageAltered,
    /// A client's connection was ended too late after its server had ended the session.
    #[serde(rename = "ended_late")]
    EndNotifiedLate,
    /// An established connection delivered nothing for too long.
    SilentTooLong,
    /// A server stopped with sessions still established.
    #[serde(rename = "left_behind")]
    SessionsLeftBehind,
}

impl ViolationKind {
    /// The number of the violated rule, from 1 to 4, or 0 for the additional checks: on connections, on the timeouts
    /// given to servers, and on sessions left behind by a server.
    pub fn rule(self) -> u8 {
        match self {
            Self::NoResponse
            | Self::ExtraResponse
            | Self::LateResponse
            | Self::MalformedResponse
            | Self::AcceptedWithoutAttempt => 1,
            Self::ConcurrentAttempts
            | Self::MayRunTwice
            | Self::RejectedThoughMayHaveRun
            | Self::TooManyAttempts => 2,
            Self::AttemptAfterDrainGrace => 3,
            Self::SlowStartOverloaded => 4,
            Self::TimeoutTooLong
            | Self::BrokenWithoutMigration
            | Self::MessageDelayed
            | Self::MessageAltered
            | Self::EndNotifiedLate
            | Self::SilentTooLong
            | Self::SessionsLeftBehind => 0,
        }
    }
}

/// The name used in tables: the serialized name in camel case.
impl fmt::Display for ViolationKind {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            Self::NoResponse => "NoAnswer",
            Self::ExtraResponse => "TwoAnswers",
            Self::LateResponse => "LateAnswer",
            Self::MalformedResponse => "NotAnAnswer",
            Self::ConcurrentAttempts => "TwoDialsOut",
            Self::MayRunTwice => "MayRunTwice",
            Self::RejectedThoughMayHaveRun => "RefusedThoughItMayHaveRun",
            Self::AcceptedWithoutAttempt => "AcceptedByNobody",
            Self::TooManyAttempts => "TooManyDials",
            Self::TimeoutTooLong => "ToldTooLong",
            Self::AttemptAfterDrainGrace => "AfterDrain",
            Self::SlowStartOverloaded => "ColdRushed",
            Self::BrokenWithoutMigration => "CutWithoutMove",
            Self::MessageDelayed => "LineHeld",
            Self::MessageAltered => "LineChanged",
            Self::EndNotifiedLate => "EndedLate",
            Self::SilentTooLong => "SilentTooLong",
            Self::SessionsLeftBehind => "LeftBehind",
        })
    }
}

/// One violation of a rule.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Violation {
    /// The kind of violation.
    #[serde(rename = "what")]
    pub kind: ViolationKind,
    /// The rule number, as returned by [`ViolationKind::rule`].
    pub rule: u8,
    /// The session id in hex; empty if the violation concerns no single session.
    pub session: String,
    /// When it happened, in tenths of a millisecond from the start.
    pub at: Timestamp,
    /// A description of what was observed.
    #[serde(rename = "seen")]
    pub observed: String,
}

impl Violation {
    /// Creates a violation. `session` is [`NO_SESSION`] if it concerns no single session.
    pub(super) fn new(kind: ViolationKind, session: u64, at: Timestamp, observed: String) -> Self {
        let session = if session == NO_SESSION { String::new() } else { format!("{session:x}") };
        Self { kind, rule: kind.rule(), session, at, observed }
    }
}

/// Counts of the session outcomes of a listener.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct SessionOutcomes {
    /// Sessions that clients opened.
    pub opened: u64,
    /// Sessions that were accepted.
    pub accepted: u64,
    /// Sessions that were rejected.
    #[serde(rename = "refused")]
    pub rejected: u64,
    /// Sessions that failed.
    #[serde(rename = "torn_down")]
    pub failed: u64,
    /// Sessions without a response because their proxy was killed; the client has to retry them.
    #[serde(rename = "with_proxy")]
    pub lost_with_proxy: u64,
    /// Sessions that the external load balancer sent to a dead proxy.
    #[serde(rename = "nobody_there")]
    pub proxy_unreachable: u64,
    /// Sessions still waiting at the end of the run, or abandoned by the client itself.
    #[serde(rename = "open")]
    pub unfinished: u64,
    /// Attempts at servers.
    #[serde(rename = "dials")]
    pub attempts: u64,
    /// Sessions that are a client's retry of an earlier one.
    pub retries: u64,
    /// Sessions that were migrated.
    #[serde(rename = "moved")]
    pub migrated: u64,
    /// Session setups that a server completed after the attempt had been abandoned.
    #[serde(rename = "ran_late")]
    pub ran_after_abandoned: u64,
    /// The response time of each accepted session, in tenths of a millisecond.
    #[serde(skip)]
    pub response_times: Vec<TickDuration>,
}

/// Counts of session outcomes at the proxies of one shape.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct ShapeOutcomes {
    /// Sessions that clients opened.
    pub opened: u64,
    /// Sessions that were accepted.
    pub accepted: u64,
}

impl ShapeOutcomes {
    /// The names of the shapes, in the order of [`Findings::shapes`].
    pub const NAMES: [&str; 2] = ["old", "moved"];

    /// The fraction of sessions that were accepted; 0 if there were none.
    pub fn acceptance_ratio(&self) -> f64 {
        self.accepted as f64 / self.opened.max(1) as f64
    }
}

/// The complete result of an audit.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Findings {
    /// The outcomes of each listener, in the order of the scenario.
    pub listeners: Vec<SessionOutcomes>,
    /// The outcomes at the proxies of the original shape and at those of the moved shape.
    pub shapes: [ShapeOutcomes; 2],
    /// All violations, ordered by time.
    #[serde(rename = "breaches")]
    pub violations: Vec<Violation>,
}

impl Findings {
    /// The number of violations of each kind.
    pub fn counts(&self) -> BTreeMap<ViolationKind, usize> {
        let mut counts = BTreeMap::new();
        for violation in &self.violations {
            *counts.entry(violation.kind).or_default() += 1;
        }
        counts
    }
}
