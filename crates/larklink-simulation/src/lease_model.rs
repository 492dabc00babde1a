//! A model of candidates for one lease. Their links to the lease store lose, delay and reorder messages, and their
//! clocks drift. A request may take effect at any time, even long after its candidate stopped waiting for the response.
use larklink_coordination::lease::Lease;
use larklink_coordination::record::{LeaseRecord, Member, StoredRecord};
use larklink_coordination::request::{FencingToken, LeaseRequest, LeaseResponse};
use larklink_coordination::safety::SafetyCondition;
use larklink_coordination::settings::LeaseSettings;

use crate::lease_store::LeaseStore;
use crate::state_search::StateModel;
use crate::time::{TickDuration, Timestamp};

/// The rate of a clock without drift. Clock rates are in millionths of true time.
const NOMINAL_CLOCK_RATE: TickDuration = 1_000_000;

/// A possible next step. Candidates and messages are given by index.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ModelStep {
    /// Time advances by one step.
    AdvanceTime,
    /// The request of a message takes effect at the lease store; the message then carries the response.
    TakeEffect(usize),
    /// A response arrives. It is ignored if its candidate no longer waits for it.
    Deliver(usize),
    /// An abandoned message is lost.
    Lose(usize),
    /// A candidate stops waiting for its response; a write that has not taken effect stays in flight.
    TimeOut(usize),
    /// A candidate is paused and receives nothing; it keeps its state.
    Pause(usize),
    /// A paused candidate continues.
    Resume(usize),
}

/// A request on its way to the lease store, or its response on its way back.
#[derive(Clone, Debug)]
struct InFlightMessage {
    candidate: usize,
    request: LeaseRequest,
    response: Option<LeaseResponse>,
    /// Whether the candidate no longer waits for the response.
    abandoned: bool,
}

#[derive(Clone)]
struct Candidate<S> {
    lease: Lease<S>,
    /// The rate of the candidate's clock, in millionths of true time.
    clock_rate: u32,
    paused: bool,
}

/// A candidate that may act as lease holder, by its own clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ActingCandidate {
    /// The candidate's index.
    pub candidate: usize,
    /// The fencing token that it sends with its operations.
    pub token: FencingToken,
}

/// A change of holder in the history of the lease store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HolderTerm {
    /// The incarnation of the holder; `None` if the lease was released.
    pub incarnation: Option<u64>,
    /// The term number.
    pub term: u64,
}

/// The state of the model.
#[derive(Clone)]
pub struct LeaseModel<S> {
    lease_store: LeaseStore<LeaseRecord>,
    candidates: Vec<Candidate<S>>,
    messages: Vec<InFlightMessage>,
    time: Timestamp,
    time_step: TickDuration,
    /// The maximum number of abandoned messages in flight; it bounds the search.
    max_abandoned: usize,
    pauses_allowed: bool,
    /// Whether the response to a write contains its index; otherwise the candidate has to read it.
    returns_write_index: bool,
    /// The highest fencing token with which a candidate has acted.
    highest_token: u64,
    violation: Option<String>,
}

impl<S: SafetyCondition + Clone> LeaseModel<S> {
    /// Creates one candidate for each clock rate, which is in millionths of true time.
    pub fn new(
        settings: &LeaseSettings,
        clock_rates: &[u32],
        time_step: TickDuration,
        max_abandoned: usize,
    ) -> Self {
        let candidate = |(index, rate): (usize, &u32)| {
            let member = Member { name: format!("p{index}"), incarnation: index as u64 };
            let lease = Lease::new(member, settings.clone(), None);
            Candidate { lease, clock_rate: *rate, paused: false }
        };
        let mut model = Self {
            lease_store: LeaseStore::default(),
            candidates: clock_rates.iter().enumerate().map(candidate).collect(),
            messages: Vec::new(),
            time: 0,
            time_step,
            max_abandoned,
            pauses_allowed: false,
            returns_write_index: true,
            highest_token: 0,
            violation: None,
        };
        model.run_candidates();
        model
    }

    /// Adds steps that pause and resume candidates.
    #[must_use]
    pub fn with_pauses(mut self) -> Self {
        self.pauses_allowed = true;
        self
    }

    /// Makes the lease store respond to writes without their index.
    #[must_use]
    pub fn without_write_index(mut self) -> Self {
        self.returns_write_index = false;
        self
    }

    /// The time by a candidate's own clock.
    fn local_time(&self, candidate: usize) -> Timestamp {
        self.time * TickDuration::from(self.candidates[candidate].clock_rate) / NOMINAL_CLOCK_RATE
    }

    /// The candidates that may act as lease holder now.
    pub fn acting(&self) -> Vec<ActingCandidate> {
        let running = (0..self.candidates.len()).filter(|index| !self.candidates[*index].paused);
        let acting = |candidate: usize| {
            let token = self.candidates[candidate].lease.may_act(self.local_time(candidate))?;
            Some(ActingCandidate { candidate, token })
        };
        running.filter_map(acting).collect()
    }

    /// The true time, without drift.
    pub fn time(&self) -> Timestamp {
        self.time
    }

    /// The successive holders in the history of the lease store.
    pub fn holder_terms(&self) -> Vec<HolderTerm> {
        let records = self.lease_store.history().iter().map(|write| &write.value);
        let mut terms: Vec<_> = records
            .map(|record| HolderTerm {
                incarnation: record.holder.as_ref().map(|holder| holder.incarnation),
                term: record.term,
            })
            .collect();
        terms.dedup();
        terms
    }

    /// Makes a candidate release the lease and stop competing for it.
    pub fn resign(&mut self, candidate: usize) {
        self.candidates[candidate].lease.resign();
        self.run_candidates();
    }

    /// Sends all due requests, and lets all candidates that may act do so. Records a violation if two may act at once
    /// or if fencing tokens go backwards.
    fn run_candidates(&mut self) {
        for index in 0..self.candidates.len() {
            let now = self.local_time(index);
            if !self.candidates[index].paused
                && let Some(request) = self.candidates[index].lease.next_request(now)
            {
                let message = InFlightMessage { candidate: index, request, response: None, abandoned: false };
                self.messages.push(message);
            }
        }
        let acting = self.acting();
        if let [first, second, ..] = acting[..] {
            self.violation =
                Some(format!("p{} and p{} both act at {}", first.candidate, second.candidate, self.time));
        }
        for ActingCandidate { candidate, token: FencingToken(token) } in acting {
            if token < self.highest_token {
                let highest = self.highest_token;
                self.violation = Some(format!(
                    "p{candidate} acts with token {token} after token {highest} at {}",
                    self.time
                ));
            }
            self.highest_token = self.highest_token.max(token);
        }
    }

    fn take_effect(&mut self, message: usize) {
        let InFlightMessage { candidate, request, .. } = self.messages[message].clone();
        let response = match request {
            LeaseRequest::Read { .. } => {
                let latest = self.lease_store.read();
                LeaseResponse::Current(
                    latest.map(|write| StoredRecord { index: write.index, record: write.value.clone() }),
                )
            }
            LeaseRequest::Write { expected_index, record } => {
                match self.lease_store.write(candidate, expected_index, record) {
                    Some(index) => {
                        LeaseResponse::Written { index: self.returns_write_index.then_some(index) }
                    }
                    None => LeaseResponse::Conflict,
                }
            }
        };
        self.messages[message].response = Some(response);
    }

    fn deliver(&mut self, message: usize) {
        let message = self.messages.remove(message);
        let now = self.local_time(message.candidate);
        if !message.abandoned
            && let Some(response) = message.response
        {
            self.candidates[message.candidate].lease.response_received(now, response);
        }
    }

    fn time_out(&mut self, candidate: usize) {
        for message in self.messages.iter_mut().filter(|message| message.candidate == candidate) {
            message.abandoned = true;
        }
        // An abandoned message that can no longer take effect changes nothing and is dropped.
        self.messages.retain(|message| {
            let may_take_effect =
                message.response.is_none() && matches!(message.request, LeaseRequest::Write { .. });
            !message.abandoned || may_take_effect
        });
        let now = self.local_time(candidate);
        self.candidates[candidate].lease.request_timed_out(now);
    }

    fn message_steps(&self, steps: &mut Vec<ModelStep>) {
        let abandoned = self.messages.iter().filter(|message| message.abandoned).count();
        for (index, message) in self.messages.iter().enumerate() {
            let paused = self.candidates[message.candidate].paused;
            if message.response.is_none() {
                steps.push(ModelStep::TakeEffect(index));
            } else if !paused {
                steps.push(ModelStep::Deliver(index));
            }
            if message.abandoned {
                steps.push(ModelStep::Lose(index));
            } else if abandoned < self.max_abandoned && !paused {
                steps.push(ModelStep::TimeOut(message.candidate));
            }
        }
    }
}

impl<S: SafetyCondition + Clone> StateModel for LeaseModel<S> {
    type Step = ModelStep;

    fn steps(&self) -> Vec<ModelStep> {
        let mut steps = vec![ModelStep::AdvanceTime];
        self.message_steps(&mut steps);
        if self.pauses_allowed {
            for (index, candidate) in self.candidates.iter().enumerate() {
                steps.push(if candidate.paused { ModelStep::Resume(index) } else { ModelStep::Pause(index) });
            }
        }
        steps
    }

    fn apply(&mut self, step: &ModelStep) {
        match *step {
            ModelStep::AdvanceTime => self.time += self.time_step,
            ModelStep::TakeEffect(message) => self.take_effect(message),
            ModelStep::Deliver(message) => self.deliver(message),
            ModelStep::Lose(message) => drop(self.messages.remove(message)),
            ModelStep::TimeOut(candidate) => self.time_out(candidate),
            ModelStep::Pause(candidate) => self.candidates[candidate].paused = true,
            ModelStep::Resume(candidate) => self.candidates[candidate].paused = false,
        }
        self.run_candidates();
    }

    fn violation(&self) -> Option<String> {
        self.violation.clone()
    }

    fn state_key(&self) -> String {
        let latest = self.lease_store.read().map(|write| (write.index, &write.value));
        let candidates: Vec<_> =
            self.candidates.iter().map(|candidate| (candidate.lease.state_key(), candidate.paused)).collect();
        format!("{latest:?} {candidates:?} {:?} {} {}", self.messages, self.time, self.highest_token)
    }
}
