//! Detects an endpoint that does not answer, or a client that does not read although it waits for an answer.
use std::time::{Duration, Instant};

use async_io::Timer;
use futures_lite::future;
use larklink_balancer::{AttemptOutcome, Observation};

use super::migration;
use super::state::{RelayState, SessionEnd};
use crate::events::DecisionEvent;
use crate::log::EndReason;

/// How long a message may stay unanswered before its client is migrated. A client must be migrated within 7 s of the
/// last answer of a silent endpoint, which may have come seconds before the message.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1500);

/// Resolves when the session ends because its endpoint is silent, or its client blocks writes. A silent endpoint is
/// reported as unresponsive before that. Time in which the client blocked writes, so that the endpoint was not read,
/// does not count.
pub(super) async fn detected(state: &RelayState<'_>) -> SessionEnd {
    // An unanswered message makes the endpoint suspect after a connect timeout.
    let report_after = state.context.connect_timeout;
    while let Some(sent_at) = state.messages.oldest_sent_at() {
        if let Some(progress_at) = state.client.progress_at() {
            if progress_at.elapsed() >= SILENCE_TIMEOUT {
                return SessionEnd::without_outcome(EndReason::ClientWriteTimeout);
            }
            // Checks again soon, since the write may complete before then.
            Timer::at((progress_at + SILENCE_TIMEOUT).min(Instant::now() + report_after)).await;
            continue;
        }
        let silent_since = state.client.blocked_until().map_or(sent_at, |until| until.max(sent_at));
        if silent_since.elapsed() < report_after {
            Timer::at(silent_since + report_after).await;
        } else if state.reported_message_sent_at.get() != Some(sent_at) {
            state.reported_message_sent_at.set(Some(sent_at));
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
    // No message is unanswered: the caller calls this again after the next one.
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
