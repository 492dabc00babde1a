//! The staff of a rehearsal: they ask every daemon for its figures five times a second, and hold what they are told
//! against the book that clients kept.
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io::{Error, ErrorKind, Result};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use async_io::{Async, Timer};
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt};

use crate::daemons::Slot;
use crate::report::Row;

/// What a process took since its last call before its end is in nobody's figures: half a second was too much.
const EVERY: Duration = Duration::from_millis(200);
/// A caller waits no longer.
const PATIENCE: Duration = Duration::from_secs(1);
/// What may be off: so many, or one in so many.
const OFF: u64 = 3;
const ONE_IN: u64 = 100;

/// The latest figures of each process, by its proxy and which of that proxy's starts it was.
#[derive(Default)]
pub struct Operators {
    latest: RefCell<BTreeMap<(usize, u32), BTreeMap<String, u64>>>,
    missed: RefCell<Vec<String>>,
    counts_twice: bool,
}

/// One call.
///
/// # Errors
/// No answer within a second, or one that is none.
pub async fn call(door: SocketAddr, path: &str) -> Result<(u16, String)> {
    let work = async {
        let mut stream = Async::<TcpStream>::connect(door).await?;
        stream.write_all(format!("GET {path} HTTP/1.1\r\nHost: {door}\r\n\r\n").as_bytes()).await?;
        let mut reply = String::new();
        stream.read_to_string(&mut reply).await?;
        let (head, body) = reply.split_once("\r\n\r\n").ok_or(ErrorKind::InvalidData)?;
        let status = head.split(' ').nth(1).and_then(|s| s.parse().ok()).ok_or(ErrorKind::InvalidData)?;
        Ok((status, body.to_owned()))
    };
    let late = async {
        Timer::after(PATIENCE).await;
        Err(Error::from(ErrorKind::TimedOut))
    };
    work.or(late).await
}

impl Operators {
    /// Who `counts_twice` reads one session in 10 twice, so that it can be seen that this is found.
    pub fn new(counts_twice: bool) -> Rc<Self> {
        Rc::new(Self { counts_twice, ..Self::default() })
    }

    /// Asks a process for its figures; whether it answered.
    pub async fn ask(&self, process: (usize, u32), door: SocketAddr) -> Result<()> {
        let (status, text) = call(door, "/metrics").await?;
        let pairs =
            text.lines().map(|l| Some(l.split_once('=')?).and_then(|(n, v)| Some((n, v.parse().ok()?))));
        let figures = pairs.collect::<Option<BTreeMap<&str, u64>>>().filter(|_| status == 200);
        let figures =
            figures.ok_or_else(|| Error::new(ErrorKind::InvalidData, format!("{status} {text:?}")))?;
        let figures = figures.into_iter().map(|(n, v)| (n.to_owned(), v)).collect();
        self.latest.borrow_mut().insert(process, figures);
        Ok(())
    }

    /// Asks all that run, again and again.
    pub async fn look(self: Rc<Self>, slots: Rc<RefCell<Vec<Slot>>>) {
        loop {
            Timer::after(EVERY).await;
            self.round(&slots).await;
        }
    }

    pub async fn round(&self, slots: &RefCell<Vec<Slot>>) {
        let doors: Vec<_> = slots.borrow().iter().filter_map(Slot::door).collect();
        for (process, door) in doors {
            let Err(e) = self.ask(process, door).await else { continue };
            // One that has ended meanwhile owes nothing, nor one that does not listen yet.
            let heard = self.latest.borrow().contains_key(&process);
            if heard && slots.borrow().iter().filter_map(Slot::door).any(|(p, _)| p == process) {
                self.missed.borrow_mut().push(format!("proxy {}: /metrics: {e}", process.0));
            }
        }
    }

    /// What was not so: calls that got no answer, and figures that are not what the clients' book says.
    pub fn findings(&self, rows: &[Row]) -> Vec<String> {
        let (latest, mut wrong) = (self.latest.borrow(), self.missed.borrow().clone());
        let sum = |name: &str| latest.values().filter_map(|figures| figures.get(name)).sum::<u64>();
        for row in rows {
            let answers = &row.answers;
            for (figure, seen) in [
                ("passed", answers.accepted),
                ("dropped", answers.refused),
                ("bad_gateway", answers.torn_down),
            ] {
                let mut told = sum(&format!("app.handled.{}.{figure}", row.listener));
                if self.counts_twice {
                    told += told / 10;
                }
                let may = OFF.max(seen / ONE_IN) * latest.len() as u64;
                if told.abs_diff(seen) > may {
                    wrong.push(format!("{}: {figure} {told} is told, clients saw {seen}", row.listener));
                }
            }
        }
        wrong
    }
}
