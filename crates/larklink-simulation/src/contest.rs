//! Members that contend for one lease, over links that lose, delay and reorder what they say to the register, by clocks
//! that run fast and slow. Each call may take effect at any moment, also long after its caller has given it up.
use larklink_balancer::TickDuration;
use larklink_coordination::lease::{Answer, Ask, Law, Lease, Member, Record, Terms, Token};

use crate::explore::Model;
use crate::register::Register;

const MILLION: TickDuration = 1_000_000;

/// What may happen next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Move {
    /// TickDuration goes on by a step.
    Tick,
    /// A call takes effect; its answer is on its way.
    Effect(usize),
    /// An answer arrives, if its caller still waits.
    Arrives(usize),
    /// A call or an answer is lost.
    Lost(usize),
    /// A member gives up waiting; its call is still on its way.
    GivesUp(usize),
    /// A member is stopped and hears nothing; it goes on where it was.
    Stops(usize),
    GoesOn(usize),
}

#[derive(Clone, Debug)]
struct Letter {
    from: usize,
    ask: Ask,
    answer: Option<Answer>,
    /// The caller has given it up.
    old: bool,
}

#[derive(Clone)]
struct Side<L> {
    lease: Lease<L>,
    /// Millionths of true time.
    rate: u32,
    stopped: bool,
}

/// A state of the contest.
#[derive(Clone)]
pub struct Contest<L> {
    register: Register<Record>,
    sides: Vec<Side<L>>,
    letters: Vec<Letter>,
    time: TickDuration,
    step: TickDuration,
    /// How many calls that were given up may still be on their way at once.
    strays: usize,
    stops: bool,
    /// The register tells a write's index; else it has to be read.
    tells: bool,
    /// The highest token that acted.
    acted: u64,
    broken: Option<String>,
}

impl<L: Law + Clone> Contest<L> {
    /// One member for each clock's rate, in millionths of true time.
    pub fn new(terms: &Terms, rates: &[u32], step: TickDuration, strays: usize) -> Self {
        let side = |(n, rate): (usize, &u32)| {
            let me = Member { name: format!("p{n}"), incarnation: n as u64 };
            Side { lease: Lease::new(me, terms.clone(), None), rate: *rate, stopped: false }
        };
        let mut contest = Self {
            register: Register::default(),
            sides: rates.iter().enumerate().map(side).collect(),
            letters: Vec::new(),
            time: 0,
            step,
            strays,
            stops: false,
            tells: true,
            acted: 0,
            broken: None,
        };
        contest.settle();
        contest
    }

    /// Members may also be stopped and go on.
    #[must_use]
    pub fn with_stops(mut self) -> Self {
        self.stops = true;
        self
    }

    /// A write is answered without its index.
    #[must_use]
    pub fn untold(mut self) -> Self {
        self.tells = false;
        self
    }

    /// A member's own time.
    fn clock(&self, side: usize) -> TickDuration {
        self.time * TickDuration::from(self.sides[side].rate) / MILLION
    }

    /// Who may act now, by its own clock.
    pub fn actors(&self) -> Vec<(usize, Token)> {
        let acts = |n: usize| self.sides[n].lease.may_act(self.clock(n)).map(|token| (n, token));
        (0..self.sides.len()).filter(|n| !self.sides[*n].stopped).filter_map(acts).collect()
    }

    pub fn time(&self) -> TickDuration {
        self.time
    }

    /// The holders that the register had, in turn, with their terms.
    pub fn terms(&self) -> Vec<(Option<u64>, u64)> {
        let mut terms: Vec<_> = (self.register.history().iter())
            .map(|took| (took.value.holder.as_ref().map(|holder| holder.incarnation), took.value.term))
            .collect();
        terms.dedup();
        terms
    }

    pub fn resign(&mut self, side: usize) {
        self.sides[side].lease.resign();
        self.settle();
    }

    /// All that is due is asked, and all who may act do.
    fn settle(&mut self) {
        for n in 0..self.sides.len() {
            let now = self.clock(n);
            if !self.sides[n].stopped
                && let Some(ask) = self.sides[n].lease.next(now)
            {
                self.letters.push(Letter { from: n, ask, answer: None, old: false });
            }
        }
        let actors = self.actors();
        if let [(a, _), (b, _), ..] = actors[..] {
            self.broken = Some(format!("p{a} and p{b} act at {}", self.time));
        }
        for (n, Token(token)) in actors {
            if token < self.acted {
                self.broken = Some(format!("p{n} acts by {token} after {} at {}", self.acted, self.time));
            }
            self.acted = self.acted.max(token);
        }
    }

    fn take_effect(&mut self, at: usize) {
        let Letter { from, ask, .. } = self.letters[at].clone();
        let answer = match ask {
            Ask::Read { .. } => Answer::Holds(self.register.read()),
            Ask::Write { cas, record } => {
                let index = self.register.write(from, cas, record);
                index.map_or(Answer::Refused, |index| Answer::Written(Some(index).filter(|_| self.tells)))
            }
        };
        self.letters[at].answer = Some(answer);
    }

    fn arrive(&mut self, at: usize) {
        let letter = self.letters.remove(at);
        let now = self.clock(letter.from);
        if let (false, Some(answer)) = (letter.old, letter.answer) {
            self.sides[letter.from].lease.answered(now, answer);
        }
    }

    fn give_up(&mut self, side: usize) {
        for letter in self.letters.iter_mut().filter(|l| l.from == side) {
            letter.old = true;
        }
        // What tells nobody anything any more is left out.
        self.letters.retain(|l| !l.old || l.answer.is_none() && matches!(l.ask, Ask::Write { .. }));
        let now = self.clock(side);
        self.sides[side].lease.unanswered(now);
    }
}

impl<L: Law + Clone> Model for Contest<L> {
    type Move = Move;

    fn moves(&self) -> Vec<Move> {
        let mut moves = vec![Move::Tick];
        let strays = self.letters.iter().filter(|l| l.old).count();
        for (n, letter) in self.letters.iter().enumerate() {
            match &letter.answer {
                None => moves.push(Move::Effect(n)),
                Some(_) if !self.sides[letter.from].stopped => moves.push(Move::Arrives(n)),
                Some(_) => {}
            }
            if letter.old {
                moves.push(Move::Lost(n));
            } else if strays < self.strays && !self.sides[letter.from].stopped {
                moves.push(Move::GivesUp(letter.from));
            }
        }
        if self.stops {
            moves.extend(
                (0..self.sides.len())
                    .map(|n| if self.sides[n].stopped { Move::GoesOn(n) } else { Move::Stops(n) }),
            );
        }
        moves
    }

    fn go(&mut self, to: &Move) {
        match *to {
            Move::Tick => self.time += self.step,
            Move::Effect(n) => self.take_effect(n),
            Move::Arrives(n) => self.arrive(n),
            Move::Lost(n) => drop(self.letters.remove(n)),
            Move::GivesUp(side) => self.give_up(side),
            Move::Stops(side) => self.sides[side].stopped = true,
            Move::GoesOn(side) => self.sides[side].stopped = false,
        }
        self.settle();
    }

    fn broken(&self) -> Option<String> {
        self.broken.clone()
    }

    fn key(&self) -> String {
        let sides: Vec<_> = self.sides.iter().map(|s| (s.lease.key(), s.stopped)).collect();
        format!("{:?} {sides:?} {:?} {} {}", self.register.read(), self.letters, self.time, self.acted)
    }
}
