//! The lease: one process at a time does a task for the whole fleet.
//!
//! How to call it. Make one [`Lease`] a task and process. Carry out the [`Ask`] that [`Lease::next`] returns, one at a
//! time, and hand back what became of it by [`Lease::answered`] or [`Lease::unanswered`]; call `next` again after each
//! and when [`Lease::due`] has come. Right before an act look at [`Lease::may_act`], let the act carry its token, and
//! look again after it.
//!
//! The times are those of a clock that goes on while the machine sleeps and is never set. That no two act at once rests
//! on two things: a holder counts from before it asked, and a candidate from after it heard.
use std::marker::PhantomData;

use larklink_balancer::{TickDuration, Timestamp};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};

/// Millionths, in which drift is told.
const MILLION: TickDuration = 1_000_000;
/// A holder renews after this part of its span: two renewals may fail before it must stop.
const RENEW: TickDuration = 3;
/// After a call without an answer the next is made within this part of the span, drawn from its upper half, so that
/// hundreds of candidates do not call in step.
const AGAIN: TickDuration = 10;
/// The least that a span is over the bound on a call: renewals need room to fail and be made again.
pub const SPAN_OVER_CALL: TickDuration = 10;
/// The longest span, a day: a lost holder costs as much.
const LONGEST: TickDuration = 24 * 3_600 * 10_000;

/// One process: a name started again is another member.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Member {
    pub name: String,
    /// Drawn at its start.
    pub incarnation: u64,
}

/// What the register holds of a lease: all that a next holder needs.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Record {
    /// None: given back.
    pub holder: Option<Member>,
    /// Grows by one with each change of holder.
    pub term: u64,
    /// The holder's span.
    pub span: TickDuration,
}

/// What all candidates of a lease agree on.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Terms {
    /// How long a renewal holds.
    pub span: TickDuration,
    /// By how many millionths a clock may run fast or slow.
    pub drift: u32,
    /// The bound of one act: none begins later than this before the end.
    pub act: TickDuration,
    /// The bound on a call of the register, after which it counts as unanswered.
    pub call: TickDuration,
}

impl Terms {
    /// # Errors
    /// What cannot work, with the name of the figure.
    pub fn check(&self) -> Result<(), String> {
        if self.drift == 0 || self.drift > 100_000 {
            return Err(format!("drift: {} millionths; it must be above 0 and at most 100000", self.drift));
        }
        if self.call == 0 {
            return Err("call: 0 is no bound on a call".into());
        }
        if self.span < self.call.saturating_mul(SPAN_OVER_CALL) {
            return Err(format!(
                "span: {} is under {SPAN_OVER_CALL} times the bound on a call, {}",
                self.span, self.call
            ));
        }
        if self.span > LONGEST {
            return Err(format!("span: {} tenths of a millisecond are over a day", self.span));
        }
        if self.act >= self.span / 2 {
            return Err(format!(
                "act: {} leaves less than half of the span, {}, to act in",
                self.act, self.span
            ));
        }
        Ok(())
    }
}

/// What is to be asked of the register.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Ask {
    /// What it holds now, by a consistent read; answered once that is newer than an index, if one is told, or after a
    /// wait.
    Read { newer: Option<u64>, wait: TickDuration },
    /// Writes if the index is still this one; 0: if there is nothing.
    Write { cas: u64, record: Record },
}

/// What the register answered.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Answer {
    /// What it holds, and the index of the write that made it.
    Holds(Option<(u64, Record)>),
    /// It was written, under this index; a register that does not tell it is read next.
    Written(Option<u64>),
    /// The index was another one.
    Refused,
}

/// Goes with each act: a far side refuses what is below the highest that it has seen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Token(pub u64);

/// The inequalities that the lease rests on, apart so that its proof can be run against mistaken ones.
pub trait Law {
    /// Until when a holder may act by a write asked for at one time and answered at another.
    fn holds_until(asked: Timestamp, _answered: TickDuration, terms: &Terms) -> TickDuration {
        let drift = TickDuration::from(terms.drift);
        (asked + terms.span * (MILLION - drift) / MILLION).saturating_sub(terms.act)
    }

    /// From when on a record first heard of then, and unchanged since, may be overtaken.
    fn overtakes_at(heard: Timestamp, span: TickDuration, drift: u32) -> TickDuration {
        // The span stands in a record that others wrote.
        let longer =
            (u128::from(span) * u128::from(MILLION + TickDuration::from(drift))).div_ceil(MILLION.into());
        heard.saturating_add(TickDuration::try_from(longer).unwrap_or(Timestamp::MAX))
    }

    /// From when on a write counts that is made again after one without an answer, which may have taken effect.
    fn made_again(first: Timestamp, again: TickDuration) -> TickDuration {
        first.min(again)
    }
}

/// The law that holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Sound;

impl Law for Sound {}

/// The last that was heard of the record.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Heard {
    index: u64,
    record: Option<Record>,
    /// When this index was first heard of.
    first: Timestamp,
}

/// The index that writes of unknown outcome named, and the earliest time at which one of them was asked for.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Doubt {
    cas: u64,
    asked: Timestamp,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Held {
    until: Timestamp,
    token: Token,
    term: u64,
    /// When the latest renewal that was confirmed was asked for.
    asked: Timestamp,
}

/// Why a lease was lost or taken, for one log line.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Change {
    Taken {
        term: u64,
    },
    /// Another member holds it, or nobody that we know of.
    Lost {
        to: Option<Member>,
    },
    GivenBack,
}

/// One process's side of one lease.
#[derive(Clone, Debug)]
pub struct Lease<L = Sound> {
    me: Member,
    terms: Terms,
    chance: Option<ChaCha8Rng>,
    heard: Option<Heard>,
    doubt: Option<Doubt>,
    held: Option<Held>,
    /// The call that is out and when it was asked.
    out: Option<(Ask, TickDuration)>,
    /// What was heard is not enough: it reads before anything else.
    reads: bool,
    resigns: bool,
    /// Not to call before; not to take before, as what was held may have been lost with the register's state.
    rests: TickDuration,
    takes: TickDuration,
    change: Option<Change>,
    law: PhantomData<L>,
}

impl<L: Law> Lease<L> {
    /// Without a seed no wait is drawn: for models.
    pub fn new(me: Member, terms: Terms, seed: Option<u64>) -> Self {
        Self {
            me,
            terms,
            chance: seed.map(ChaCha8Rng::seed_from_u64),
            heard: None,
            doubt: None,
            held: None,
            out: None,
            reads: true,
            resigns: false,
            rests: 0,
            takes: 0,
            change: None,
            law: PhantomData,
        }
    }

    /// The token to act with now. Every act looks here right before it, and once more after it: an act that a pause
    /// carried over the end is late, and only the far side can refuse it.
    pub fn may_act(&self, now: Timestamp) -> Option<Token> {
        self.held.as_ref().filter(|held| now < held.until && !self.resigns).map(|held| held.token)
    }

    /// Until when this process may act, and in which term; none where it may not by now.
    pub fn until(&self, now: Timestamp) -> Option<(TickDuration, u64)> {
        self.may_act(now)?;
        self.held.as_ref().map(|held| (held.until, held.term))
    }

    /// All that it goes on by, for models that tell states apart; what is drawn by chance is not in it.
    pub fn key(&self) -> String {
        let Self { heard, doubt, held, out, reads, resigns, rests, takes, .. } = self;
        format!("{heard:?} {doubt:?} {held:?} {out:?} {reads} {resigns} {rests} {takes}")
    }

    /// Who holds it, as last heard.
    pub fn holder(&self) -> Option<(&Member, u64)> {
        let record = self.heard.as_ref()?.record.as_ref()?;
        record.holder.as_ref().map(|holder| (holder, record.term))
    }

    /// What changed since this was last asked.
    pub fn change(&mut self) -> Option<Change> {
        self.change.take()
    }

    /// Gives the lease back, if it is held, and is no candidate any more.
    pub fn resign(&mut self) {
        if !std::mem::replace(&mut self.resigns, true) && self.held.is_some() {
            self.change = Some(Change::GivenBack);
        }
    }

    /// Nothing is left to be asked: what was held is given back.
    pub fn is_over(&self) -> bool {
        self.resigns && self.out.is_none() && !self.reads && !self.is_mine()
    }

    /// When [`Lease::next`] wants to be called next; [`Timestamp::MAX`] while a call is out.
    pub fn due(&self) -> Timestamp {
        if self.out.is_some() || self.is_over() {
            return Timestamp::MAX;
        }
        let wants = match (&self.held, self.is_mine()) {
            _ if self.reads || self.resigns => 0,
            (Some(held), true) => held.asked + self.terms.span / RENEW,
            // A candidate watches until it may overtake.
            _ => 0,
        };
        wants.max(self.rests)
    }

    /// What to ask of the register now; nothing while a call is out or before it is due.
    pub fn next(&mut self, now: Timestamp) -> Option<Ask> {
        if now < self.due() {
            return None;
        }
        let ask = self.wants(now)?;
        if let Ask::Write { cas, .. } = &ask {
            let before = self.doubt.as_ref().filter(|d| d.cas == *cas);
            let asked = before.map_or(now, |before| L::made_again(before.asked, now));
            self.doubt = Some(Doubt { cas: *cas, asked });
        }
        self.out = Some((ask.clone(), now));
        Some(ask)
    }

    fn wants(&self, now: Timestamp) -> Option<Ask> {
        let Some(heard) = self.heard.as_ref().filter(|_| !self.reads) else {
            return Some(Ask::Read { newer: None, wait: 0 });
        };
        let write = |holder: Option<&Member>, term| {
            let record = Record { holder: holder.cloned(), term, span: self.terms.span };
            Some(Ask::Write { cas: heard.index, record })
        };
        match &heard.record {
            Some(record) if record.holder.as_ref() == Some(&self.me) => {
                write(Some(&self.me).filter(|_| !self.resigns), record.term)
            }
            _ if self.resigns => None,
            record => {
                let at = match record {
                    Some(Record { holder: Some(_), span, .. }) => {
                        L::overtakes_at(heard.first, *span, self.terms.drift)
                    }
                    _ => 0,
                };
                let at = at.max(self.takes);
                if now < at {
                    return Some(Ask::Read { newer: Some(heard.index), wait: at - now });
                }
                write(Some(&self.me), record.as_ref().map_or(0, |record| record.term).saturating_add(1))
            }
        }
    }

    fn is_mine(&self) -> bool {
        self.holder().is_some_and(|(holder, _)| *holder == self.me)
    }

    /// The call that is out was answered.
    pub fn answered(&mut self, now: Timestamp, answer: Answer) {
        let Some((ask, asked)) = self.out.take() else { return };
        self.rests = 0;
        match (ask, answer) {
            (Ask::Read { .. }, Answer::Holds(holds)) => self.read(now, holds),
            (Ask::Write { cas, record }, Answer::Written(Some(index))) => {
                let asked = self.doubt.take().filter(|d| d.cas == cas).map_or(asked, |d| d.asked);
                self.wrote(now, asked, index, record);
            }
            // Refused for an earlier write of ours without an answer, or for somebody else's: only a read tells. Ours,
            // if it shows, counts from the earliest asking time on its index.
            (Ask::Write { .. }, Answer::Written(None) | Answer::Refused) => self.reads = true,
            // An answer to another question is none.
            (ask, _) => {
                self.out = Some((ask, asked));
                self.unanswered(now);
            }
        }
    }

    /// The call that is out brought no answer in time: it may have taken effect, or may yet.
    pub fn unanswered(&mut self, now: Timestamp) {
        let Some((ask, _)) = self.out.take() else { return };
        if matches!(ask, Ask::Write { .. }) {
            self.reads = true;
        }
        let most = (self.terms.span / AGAIN).max(1);
        let pause = self.chance.as_mut().map_or(0, |chance| chance.random_range(most.div_ceil(2)..=most));
        self.rests = now + pause;
    }

    fn wrote(&mut self, now: Timestamp, asked: Timestamp, index: u64, record: Record) {
        let (mine, term) = (record.holder.is_some(), record.term);
        self.heard = Some(Heard { index, record: Some(record), first: now });
        self.reads = false;
        if !mine {
            self.held = None;
            return;
        }
        let until = L::holds_until(asked, now, &self.terms);
        let token = match &self.held {
            Some(held) if held.term == term => held.token,
            _ => {
                self.change = Some(Change::Taken { term });
                Token(index)
            }
        };
        self.held = Some(Held { until, token, term, asked });
    }

    /// What was held is not any more.
    fn lose(&mut self, to: Option<Member>) {
        if self.held.take().is_some() {
            self.change = Some(Change::Lost { to });
        }
    }

    fn read(&mut self, now: Timestamp, holds: Option<(u64, Record)>) {
        let (index, record) = holds.map_or((0, None), |(index, record)| (index, Some(record)));
        self.reads = false;
        let known = self.heard.as_ref().map_or(0, |heard| heard.index);
        let mine = record.as_ref().filter(|r| r.holder.as_ref() == Some(&self.me));
        if index < known {
            // A register that has lost its state: all begins anew, and somebody may hold what it has forgotten.
            self.lose(None);
            self.takes = L::overtakes_at(now, self.terms.span, self.terms.drift);
        } else if index == known && self.heard.is_some() {
            // A write in doubt at this index may still take effect; its asking time stays known.
            return;
        } else if let Some(record) = mine {
            // Since the index that we last heard of, only a write of ours in doubt can have made this one: any other
            // of ours was answered.
            if let Some(doubt) = self.doubt.take().filter(|d| d.cas == known) {
                return self.wrote(now, doubt.asked, index, record.clone());
            }
            self.lose(None);
        } else {
            self.lose(record.as_ref().and_then(|r| r.holder.clone()));
        }
        // What was written at an earlier index can take effect no more.
        self.doubt = None;
        self.heard = Some(Heard { index, record, first: now });
    }
}
