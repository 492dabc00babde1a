//! What the audit finds: violations, and how the sessions came out.
use std::collections::BTreeMap;
use std::fmt;

use serde::Serialize;

use crate::time::{TickDuration, Timestamp};

/// What was violated; the names stand in reports and in `docs/testbed.md`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ViolationKind {
    /// A session had no final response.
    #[serde(rename = "no_answer")]
    NoResponse,
    /// Something came after the final response.
    #[serde(rename = "two_answers")]
    ExtraResponse,
    /// The response came after the client's patience.
    #[serde(rename = "late_answer")]
    LateResponse,
    /// The client received what is no response.
    #[serde(rename = "not_an_answer")]
    MalformedResponse,
    /// Two attempts of a session were in flight at once.
    #[serde(rename = "two_dials_out")]
    ConcurrentAttempts,
    /// A session was sent again that may have run, though it must run once only.
    MayRunTwice,
    /// A session was rejected that may have run.
    #[serde(rename = "refused_though_it_may_have_run")]
    RejectedThoughMayHaveRun,
    /// A session was accepted that no server had.
    #[serde(rename = "accepted_by_nobody")]
    AcceptedWithoutAttempt,
    /// A session had more attempts than allowed.
    #[serde(rename = "too_many_dials")]
    TooManyAttempts,
    /// A server was given more time than the client had.
    #[serde(rename = "told_too_long")]
    TimeoutTooLong,
    /// An attempt was made after the drain grace of its endpoint.
    #[serde(rename = "after_drain")]
    AttemptAfterDrainGrace,
    /// A server in slow start was overloaded.
    #[serde(rename = "cold_rushed")]
    SlowStartOverloaded,
    /// An established session was broken without a migration.
    #[serde(rename = "cut_without_move")]
    BrokenWithoutMigration,
    /// A message was held for too long on its way.
    #[serde(rename = "line_held")]
    MessageDelayed,
    /// A message was altered on its way.
    #[serde(rename = "line_changed")]
    MessageAltered,
    /// A client was notified too late that its server had ended the session.
    #[serde(rename = "ended_late")]
    EndNotifiedLate,
    /// A connection was silent for too long.
    SilentTooLong,
    /// A server was removed while sessions were established there.
    #[serde(rename = "left_behind")]
    SessionsLeftBehind,
}

impl ViolationKind {
    /// The rule that it violates, from 1 to 4, or 0 for what is asked of sockets besides.
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

/// As tables name it: in the words of the report.
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

/// One violation: whose session, when, and what was observed.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Violation {
    /// What was violated.
    #[serde(rename = "what")]
    pub kind: ViolationKind,
    /// The rule of [`ViolationKind::rule`].
    pub rule: u8,
    /// The session's id in hex; empty where no session is meant.
    pub session: String,
    /// Tenths of a millisecond from the start.
    pub at: Timestamp,
    /// What was observed.
    #[serde(rename = "seen")]
    pub observed: String,
}

impl Violation {
    /// A violation in a session; 0 where no session is meant.
    pub(super) fn new(kind: ViolationKind, session: u64, at: Timestamp, observed: String) -> Self {
        let session = if session == 0 { String::new() } else { format!("{session:x}") };
        Self { kind, rule: kind.rule(), session, at, observed }
    }
}

/// How the sessions of a listener came out.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct SessionOutcomes {
    /// Sessions that clients opened.
    pub opened: u64,
    /// Accepted.
    pub accepted: u64,
    /// Rejected.
    #[serde(rename = "refused")]
    pub rejected: u64,
    /// Failed.
    #[serde(rename = "torn_down")]
    pub failed: u64,
    /// At a proxy that was killed: the client's to retry.
    #[serde(rename = "with_proxy")]
    pub lost_with_proxy: u64,
    /// Sent by the external load balancer to a proxy that was dead.
    #[serde(rename = "nobody_there")]
    pub proxy_unreachable: u64,
    /// Still waiting at the end of the run, or given up by the client for a reason of its own.
    pub open: u64,
    /// Attempts.
    #[serde(rename = "dials")]
    pub attempts: u64,
    /// Sessions that retry one without a response.
    pub retries: u64,
    /// Migrated.
    #[serde(rename = "moved")]
    pub migrated: u64,
    /// Set-ups that were done for an attempt that had been abandoned.
    #[serde(rename = "ran_late")]
    pub ran_after_abandoned: u64,
    /// Time to the response of each accepted session, tenths of a millisecond.
    #[serde(skip)]
    pub took: Vec<TickDuration>,
}

/// What the clients of one shape of proxies got.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct ShapeOutcomes {
    /// Sessions that clients opened.
    pub opened: u64,
    /// Accepted.
    pub accepted: u64,
}

impl ShapeOutcomes {
    /// What the two are called, in the order of [`Findings::shapes`].
    pub const NAMES: [&str; 2] = ["old", "moved"];

    /// The share of the sessions that were accepted; 0 where none came.
    pub fn share(&self) -> f64 {
        self.accepted as f64 / self.opened.max(1) as f64
    }
}

/// All that the audit found.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Findings {
    /// For each listener, how its sessions came out.
    pub listeners: Vec<SessionOutcomes>,
    /// Of the proxies as they were, and of those of the moved shape.
    pub shapes: [ShapeOutcomes; 2],
    /// The violations, in the order of time.
    #[serde(rename = "breaches")]
    pub violations: Vec<Violation>,
}

impl Findings {
    /// How often each thing was violated.
    pub fn counts(&self) -> BTreeMap<ViolationKind, usize> {
        let mut counts = BTreeMap::new();
        for violation in &self.violations {
            *counts.entry(violation.kind).or_default() += 1;
        }
        counts
    }
}
