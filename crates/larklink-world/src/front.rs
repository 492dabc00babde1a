//! The front: deals connections out among the proxies, in turn. It takes a proxy in once that has answered,
//! and goes on sending to one that has died for as long as it takes it to notice.
use larklink::types::Time;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Seen {
    Out,
    In,
    /// Dead, and not yet noticed until then.
    DeadUntil(Time),
}

pub struct Front {
    proxies: Vec<Seen>,
    notices_after: Time,
    turn: usize,
}

impl Front {
    pub fn new(proxies: usize, notices_after: Time) -> Self {
        Self { proxies: vec![Seen::Out; proxies], notices_after, turn: 0 }
    }

    pub fn answered(&mut self, proxy: usize) {
        self.proxies[proxy] = Seen::In;
    }

    /// Dead: nothing answers there from now on.
    pub fn died(&mut self, now: Time, proxy: usize) {
        if self.proxies[proxy] == Seen::In {
            self.proxies[proxy] = Seen::DeadUntil(now + self.notices_after);
        }
    }

    /// A planned stop: no more is sent there.
    pub fn take_out(&mut self, proxy: usize) {
        self.proxies[proxy] = Seen::Out;
    }

    /// The proxy that gets the next connection.
    pub fn deal(&mut self, now: Time) -> Option<usize> {
        let n = self.proxies.len();
        let next = (self.turn..self.turn + n).map(|i| i % n).find(|&p| match self.proxies[p] {
            Seen::In => true,
            Seen::DeadUntil(until) => now < until,
            Seen::Out => false,
        })?;
        self.turn = next + 1;
        Some(next)
    }
}
