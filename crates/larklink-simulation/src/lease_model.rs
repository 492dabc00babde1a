//! Candidates for one lease, on links that lose, delay and reorder messages to the lease store, with clocks that run fast
//! and slow. A request may take effect at any time, also long after its candidate stopped to wait for the response.
use larklink_coordination::lease::Lease;
use larklink_coordination::record::{LeaseRecord, Member, StoredRecord};
use larklink_coordination::request::{FencingToken, LeaseRequest, LeaseResponse};
use larklink_coordination::safety::SafetyCondition;
use larklink_coordination::settings::LeaseSettings;

use crate::lease_store::LeaseStore;
use crate::state_search::StateModel;
use crate::time::{TickDuration, Timestamp};

/// The rate of a clock that runs true.
const MILLION: TickDuration = 1_000_000;

/// What may happen next; candidates and messages are named by their index.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ModelStep {
    /// Time goes on by one step.
    AdvanceTime,
    /// The request of a message takes effect; its response is in flight.
    TakeEffect(usize),
    /// A response arrives, if its candidate still waits for it.
    Deliver(usize),
    /// A message is lost.
    Lose(usize),
    /// A candidate stops to wait for its response; the request is still in flight.
    TimeOut(usize),
    /// A candidate is paused and receives nothing; later it goes on where it was.
    Pause(usize),
    /// A candidate that was paused goes on.
    Resume(usize),
}

/// A request, then its response.
#[derive(Clone, Debug)]
struct InFlightMessage {
    candidate: usize,
    request: LeaseRequest,
    response: Option<LeaseResponse>,
    /// Whether the candidate does not wait for the response any more.
    abandoned: bool,
}

#[derive(Clone)]
struct Candidate<S> {
    lease: Lease<S>,
    /// The rate of its clock, in millionths of true time.
    clock_rate: u32,
    paused: bool,
}

/// A candidate that may act, by its own clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ActingCandidate {
    /// Its index.
    pub candidate: usize,
    /// The fencing token by which it acts.
    pub token: FencingToken,
}

/// A change of holder in the history of the lease store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HolderTerm {
    /// The incarnation of the holder; none if the lease was released.
    pub incarnation: Option<u64>,
    /// Its term.
    pub term: u64,
}

/// A state of the model.
#[derive(Clone)]
pub struct LeaseModel<S> {
    lease_store: LeaseStore<LeaseRecord>,
    candidates: Vec<Candidate<S>>,
    messages: Vec<InFlightMessage>,
    time: Timestamp,
    time_step: TickDuration,
    /// How many abandoned messages may be in flight at once.
    max_abandoned: usize,
    pauses_allowed: bool,
    /// Whether the lease store answers a write with its index; otherwise the index has to be read.
    answers_with_index: bool,
    /// The highest token by which a candidate acted.
    highest_token: u64,
    violation: Option<String>,
}

impl<S: SafetyCondition + Clone> LeaseModel<S> {
    /// One candidate for each clock rate, in millionths of true time.
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
            answers_with_index: true,
            highest_token: 0,
            violation: None,
        };
        model.run_candidates();
        model
    }

    /// Candidates may also be paused and go on.
    #[must_use]
    pub fn with_pauses(mut self) -> Self {
        self.pauses_allowed = true;
        self
    }

    /// The lease store answers a write without its index.
    #[must_use]
    pub fn without_write_index(mut self) -> Self {
        self.answers_with_index = false;
        self
    }

    /// A candidate's own time.
    fn clock(&self, candidate: usize) -> Timestamp {
        self.time * TickDuration::from(self.candidates[candidate].clock_rate) / MILLION
    }

    /// The candidates that may act now.
    pub fn acting(&self) -> Vec<ActingCandidate> {
        let running = (0..self.candidates.len()).filter(|index| !self.candidates[*index].paused);
        let acting = |candidate: usize| {
            let token = self.candidates[candidate].lease.may_act(self.clock(candidate))?;
            Some(ActingCandidate { candidate, token })
        };
        running.filter_map(acting).collect()
    }

    /// True time.
    pub fn time(&self) -> Timestamp {
        self.time
    }

    /// The holders in the history of the lease store, in their order.
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

    /// A candidate releases the lease, and is none any more.
    pub fn resign(&mut self, candidate: usize) {
        self.candidates[candidate].lease.resign();
        self.run_candidates();
    }

    /// Sends all requests that are due, and lets all candidates act that may.
    fn run_candidates(&mut self) {
        for index in 0..self.candidates.len() {
            let now = self.clock(index);
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
                Some(format!("p{} and p{} act at {}", first.candidate, second.candidate, self.time));
        }
        for ActingCandidate { candidate, token: FencingToken(token) } in acting {
            if token < self.highest_token {
                let highest = self.highest_token;
                self.violation =
                    Some(format!("p{candidate} acts by {token} after {highest} at {}", self.time));
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
                    Some(index) => LeaseResponse::Written { index: self.answers_with_index.then_some(index) },
                    None => LeaseResponse::Conflict,
                }
            }
        };
        self.messages[message].response = Some(response);
    }

    fn deliver(&mut self, message: usize) {
        let message = self.messages.remove(message);
        let now = self.clock(message.candidate);
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
        // An abandoned message without an effect to come changes nothing any more.
        self.messages.retain(|message| {
            let may_take_effect =
                message.response.is_none() && matches!(message.request, LeaseRequest::Write { .. });
            !message.abandoned || may_take_effect
        });
        let now = self.clock(candidate);
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
