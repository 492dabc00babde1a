//! The audit: joins the events of clients and servers by session id and checks the four rules. Sessions lost with a
//! killed proxy are counted separately and are not violations.

use crate::audit::run_history::RunHistory;
use crate::audit::session_checker::SessionChecker;
use crate::event_log::EventLog;
use crate::scenario::Scenario;
use crate::time::Timestamp;

mod findings;
mod intervals;
mod run_history;
mod session_checker;
mod session_history;
mod tolerance;

pub use findings::{Findings, SessionOutcomes, ShapeOutcomes, Violation, ViolationKind};

/// Checks an event log. `end` is when the run was stopped. A response or an end that was not yet due by then is not
/// missed.
pub fn audit(scenario: &Scenario, event_log: &EventLog, end: Timestamp) -> Findings {
    let history = RunHistory::from_events(scenario, &event_log.events);
    let mut checker = SessionChecker::new(scenario, &history, end);
    let mut listeners = vec![SessionOutcomes::default(); scenario.listeners.len()];
    let mut shapes = [ShapeOutcomes::default(); 2];
    for (&id, session) in &history.sessions {
        let outcomes = &mut listeners[session.request.listener];
        let accepted_before = outcomes.accepted;
        checker.check(id, session, outcomes);
        let shape = &mut shapes[usize::from(scenario.is_moved_shape(session.proxy))];
        shape.opened += 1;
        shape.accepted += outcomes.accepted - accepted_before;
    }
    let session_violations = checker.violations;
    let mut violations = history.violations;
    violations.extend(session_violations);
    violations.sort_by_key(|violation| violation.at);
    Findings { listeners, shapes, violations }
}
