//! Members that contend for one lease, over links that lose, delay and reorder what they say to the register, by clocks
//! that run fast and slow. Each call may take effect at any moment, also long after its caller has given it up.
use larklink_balancer::TickDuration;
use larklink_coordination::lease::{Answer, Ask, Law, Lease, Member, Record, Terms, Token};

use crate::lease_store::LeaseStore;
use crate::state_search::StateModel;

const MILLION: TickDuration = 1_000_000;

/// What may happen next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ModelStep {
    /// TickDuration goes on by a step.
    AdvanceTime,
    /// A call takes effect; its answer is on its way.
    TakeEffect(usize),
    /// An answer arrives, if its caller still waits.
    Deliver(usize),
    /// A call or an answer is lost.
    Lose(usize),
    /// A member gives up waiting; its call is still on its way.
    TimeOut(usize),
    /// A member is stopped and hears nothing; it goes on where it was.
    Pause(usize),
    Resume(usize),
}

#[derive(Clone, Debug)]
struct InFlightMessage {
    from: usize,
    ask: Ask,
    answer: Option<Answer>,
    /// The caller has given it up.
    old: bool,
}

#[derive(Clone)]
struct Candidate<L> {
    lease: Lease<L>,
    /// Millionths of true time.
    rate: u32,
    stopped: bool,
}

/// A state of the contest.
#[derive(Clone)]
pub struct LeaseModel<L> {
    lease_store: LeaseStore<Record>,
    candidates: Vec<Candidate<L>>,
    messages: Vec<InFlightMessage>,
    time: TickDuration,
    step: TickDuration,
    /// How many calls that were given up may still be on their way at once.
    max_abandoned: usize,
    pauses_allowed: bool,
    /// The register tells a write's index; else it has to be read.
    answers_with_index: bool,
    /// The highest token that acted.
    highest_token_used: u64,
    violation: Option<String>,
}

impl<L: Law + Clone> LeaseModel<L> {
    /// One member for each clock's rate, in millionths of true time.
    pub fn new(terms: &Terms, rates: &[u32], step: TickDuration, max_abandoned: usize) -> Self {
        let candidate = |(n, rate): (usize, &u32)| {
            let me = Member { name: format!("p{n}"), incarnation: n as u64 };
            Candidate { lease: Lease::new(me, terms.clone(), None), rate: *rate, stopped: false }
        };
        let mut model = Self {
            lease_store: LeaseStore::default(),
            candidates: rates.iter().enumerate().map(candidate).collect(),
            messages: Vec::new(),
            time: 0,
            step,
            max_abandoned,
            pauses_allowed: false,
            answers_with_index: true,
            highest_token_used: 0,
            violation: None,
        };
        model.settle();
        model
    }

    /// Members may also be stopped and go on.
    #[must_use]
    pub fn with_pauses(mut self) -> Self {
        self.pauses_allowed = true;
        self
    }

    /// A write is answered without its index.
    #[must_use]
    pub fn without_write_index(mut self) -> Self {
        self.answers_with_index = false;
        self
    }

    /// A member's own time.
    fn clock(&self, candidate: usize) -> TickDuration {
        self.time * TickDuration::from(self.candidates[candidate].rate) / MILLION
    }

    /// Who may act now, by its own clock.
    pub fn holders(&self) -> Vec<(usize, Token)> {
        let acts = |n: usize| self.candidates[n].lease.may_act(self.clock(n)).map(|token| (n, token));
        (0..self.candidates.len()).filter(|n| !self.candidates[*n].stopped).filter_map(acts).collect()
    }

    pub fn time(&self) -> TickDuration {
        self.time
    }

    /// The holders that the register had, in turn, with their terms.
    pub fn terms(&self) -> Vec<(Option<u64>, u64)> {
        let mut terms: Vec<_> = (self.lease_store.history().iter())
            .map(|took| (took.value.holder.as_ref().map(|holder| holder.incarnation), took.value.term))
            .collect();
        terms.dedup();
        terms
    }

    pub fn resign(&mut self, candidate: usize) {
        self.candidates[candidate].lease.resign();
        self.settle();
    }

    /// All that is due is asked, and all who may act do.
    fn settle(&mut self) {
        for n in 0..self.candidates.len() {
            let now = self.clock(n);
            if !self.candidates[n].stopped
                && let Some(ask) = self.candidates[n].lease.next(now)
            {
                self.messages.push(InFlightMessage { from: n, ask, answer: None, old: false });
            }
        }
        let holders = self.holders();
        if let [(a, _), (b, _), ..] = holders[..] {
            self.violation = Some(format!("p{a} and p{b} act at {}", self.time));
        }
        for (n, Token(token)) in holders {
            if token < self.highest_token_used {
                self.violation =
                    Some(format!("p{n} acts by {token} after {} at {}", self.highest_token_used, self.time));
            }
            self.highest_token_used = self.highest_token_used.max(token);
        }
    }

    fn take_effect(&mut self, at: usize) {
        let InFlightMessage { from, ask, .. } = self.messages[at].clone();
        let answer = match ask {
            Ask::Read { .. } => Answer::Holds(self.lease_store.read()),
            Ask::Write { cas, record } => {
                let index = self.lease_store.write(from, cas, record);
                index.map_or(Answer::Refused, |index| {
                    Answer::Written(Some(index).filter(|_| self.answers_with_index))
                })
            }
        };
        self.messages[at].answer = Some(answer);
    }

    fn arrive(&mut self, at: usize) {
        let message = self.messages.remove(at);
        let now = self.clock(message.from);
        if let (false, Some(answer)) = (message.old, message.answer) {
            self.candidates[message.from].lease.answered(now, answer);
        }
    }

    fn give_up(&mut self, candidate: usize) {
        for message in self.messages.iter_mut().filter(|l| l.from == candidate) {
            message.old = true;
        }
        // What tells nobody anything any more is left out.
        self.messages.retain(|l| !l.old || l.answer.is_none() && matches!(l.ask, Ask::Write { .. }));
        let now = self.clock(candidate);
        self.candidates[candidate].lease.unanswered(now);
    }
}

impl<L: Law + Clone> StateModel for LeaseModel<L> {
    type Step = ModelStep;

    fn steps(&self) -> Vec<ModelStep> {
        let mut moves = vec![ModelStep::AdvanceTime];
        let max_abandoned = self.messages.iter().filter(|l| l.old).count();
        for (n, message) in self.messages.iter().enumerate() {
            match &message.answer {
                None => moves.push(ModelStep::TakeEffect(n)),
                Some(_) if !self.candidates[message.from].stopped => moves.push(ModelStep::Deliver(n)),
                Some(_) => {}
            }
            if message.old {
                moves.push(ModelStep::Lose(n));
            } else if max_abandoned < self.max_abandoned && !self.candidates[message.from].stopped {
                moves.push(ModelStep::TimeOut(message.from));
            }
        }
        if self.pauses_allowed {
            moves.extend((0..self.candidates.len()).map(|n| {
                if self.candidates[n].stopped { ModelStep::Resume(n) } else { ModelStep::Pause(n) }
            }));
        }
        moves
    }

    fn apply(&mut self, to: &ModelStep) {
        match *to {
            ModelStep::AdvanceTime => self.time += self.step,
            ModelStep::TakeEffect(n) => self.take_effect(n),
            ModelStep::Deliver(n) => self.arrive(n),
            ModelStep::Lose(n) => drop(self.messages.remove(n)),
            ModelStep::TimeOut(candidate) => self.give_up(candidate),
            ModelStep::Pause(candidate) => self.candidates[candidate].stopped = true,
            ModelStep::Resume(candidate) => self.candidates[candidate].stopped = false,
        }
        self.settle();
    }

    fn violation(&self) -> Option<String> {
        self.violation.clone()
    }

    fn state_key(&self) -> String {
        let candidates: Vec<_> = self.candidates.iter().map(|s| (s.lease.key(), s.stopped)).collect();
        format!(
            "{:?} {candidates:?} {:?} {} {}",
            self.lease_store.read(),
            self.messages,
            self.time,
            self.highest_token_used
        )
    }
}
