//! Samples of the state of a run, for plots and progress.
use larklink_simulation::event_log::{ClientResponse, EventKind};
use larklink_simulation::model::Model;
use larklink_simulation::server::Server;
use larklink_simulation::time::{TickDuration, Timestamp};
use serde::Serialize;

/// The window before a sample in which responses are counted, in ticks: a quarter of a second.
const RESPONSE_WINDOW: TickDuration = 2500;

/// The state of a run at one moment.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Sample {
    /// When the sample was taken, in ticks (0.1 ms) from the start.
    pub at: Timestamp,
    /// Established sessions.
    #[serde(rename = "standing")]
    pub established: usize,
    /// Sessions waiting for a response.
    pub waiting: usize,
    /// Sessions accepted in the last quarter of a second.
    pub accepted: u64,
    /// Sessions rejected in the last quarter of a second.
    #[serde(rename = "refused")]
    pub rejected: u64,
    /// Sessions that failed in the last quarter of a second.
    #[serde(rename = "torn_down")]
    pub failed: u64,
    /// Of the clients that want a session, the share that is well served at this moment, by priority weight.
    pub service: f64,
    /// The number of sessions of each server.
    #[serde(rename = "held")]
    pub sessions_by_server: Vec<usize>,
}

impl Sample {
    /// Takes a sample of the model's state.
    #[must_use]
    pub fn take(at: Timestamp, model: &Model) -> Self {
        let mut sample = Self {
            at,
            established: model.clients.established,
            waiting: model.clients.waiting,
            sessions_by_server: model.servers.iter().map(Server::established_sessions).collect(),
            service: model.clients.current_service(at),
            ..Self::default()
        };
        let from = at.saturating_sub(RESPONSE_WINDOW);
        for event in model.event_log.events.iter().rev().take_while(|event| event.at >= from) {
            if let EventKind::Answered { response, .. } = &event.kind {
                sample.count(*response);
            }
        }
        sample
    }

    fn count(&mut self, response: ClientResponse) {
        match response {
            ClientResponse::Accepted => self.accepted += 1,
            ClientResponse::Rejected(_) => self.rejected += 1,
            ClientResponse::Failed => self.failed += 1,
        }
    }
}
