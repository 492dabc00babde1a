//! Notices an endpoint that answers nothing, or a client that reads nothing while a message of its own is under way.
use std::time::{Duration, Instant};

use async_io::Timer;
use futures_lite::future;
use larklink_balancer::{AttemptOutcome, Observation};

use super::migration;
use super::state::{RelayState, SessionEnd};
use crate::events::DecisionEvent;
use crate::log::EndReason;

/// How long a message may stay unanswered before its client is migrated. A silent endpoint must be left within 7 s of its
/// last answer, which may have come seconds before the message.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1500);

/// Resolves when the session ends because an endpoint is silent, which is reported earlier. The time in which the client
/// kept the endpoint from being read does not count.
pub(super) async fn detected(state: &RelayState<'_>) -> SessionEnd {
    let report_after = state.context.connect_timeout;
    while let Some(sent_at) = state.messages.oldest() {
        if let Some(progress_at) = state.client.progress_at() {
            if progress_at.elapsed() >= SILENCE_TIMEOUT {
                return SessionEnd::without_outcome(EndReason::ClientWriteTimeout);
            }
            Timer::at((progress_at + SILENCE_TIMEOUT).min(Instant::now() + report_after)).await;
            continue;
        }
        let silent_since = state.client.blocked_until().map_or(sent_at, |until| until.max(sent_at));
        if silent_since.elapsed() < report_after {
            Timer::at(silent_since + report_after).await;
        } else if state.reported_unresponsive.get() != Some(sent_at) {
            state.reported_unresponsive.set(Some(sent_at));
            report_unresponsive(state).await;
        } else if silent_since.elapsed() < SILENCE_TIMEOUT {
            Timer::at(silent_since + SILENCE_TIMEOUT).await;
        } else {
            return match migration::migrate(state, EndReason::Unresponsive).await {
                EndReason::Unresponsive => {
                    SessionEnd::with_outcome(EndReason::Unresponsive, AttemptOutcome::Reset)
                }
                reason => SessionEnd::without_outcome(reason),
            };
        }
    }
    // Nothing is under way: this is called again with the next message.
    future::pending().await
}

async fn report_unresponsive(state: &RelayState<'_>) {
    let event = DecisionEvent::Observed {
        session: state.session,
        attempt: state.attempt,
        observation: Observation::Unresponsive,
    };
    state.context.queue.send(event).await;
}
