//! The audit: joins what clients and servers logged by session id, and judges the four rules. Sessions that went down
//! with a proxy that was killed are counted apart from losses.

use crate::audit::judge::Judge;
use crate::audit::run_history::RunHistory;
use crate::event_log::EventLog;
use crate::scenario::Scenario;
use crate::time::Timestamp;

mod findings;
mod intervals;
mod judge;
mod run_history;
mod session_history;
mod tolerance;

pub use findings::{Findings, SessionOutcomes, ShapeOutcomes, Violation, ViolationKind};

/// Judges an event log; `end` is when the run was stopped, and what was open then is not judged for its end.
pub fn audit(scenario: &Scenario, event_log: &EventLog, end: Timestamp) -> Findings {
    let history = RunHistory::read(scenario, &event_log.events);
    let mut judge = Judge::new(scenario, &history, end);
    let mut listeners = vec![SessionOutcomes::default(); scenario.listeners.len()];
    let mut shapes = [ShapeOutcomes::default(); 2];
    for (&id, session) in &history.sessions {
        let outcomes = &mut listeners[session.request.listener];
        let accepted_before = outcomes.accepted;
        judge.judge(id, session, outcomes);
        let shape = &mut shapes[usize::from(scenario.moved(session.proxy))];
        shape.opened += 1;
        shape.accepted += outcomes.accepted - accepted_before;
    }
    let judged = judge.violations;
    let mut violations = history.violations;
    violations.extend(judged);
    violations.sort_by_key(|violation| violation.at);
    Findings { listeners, shapes, violations }
}
