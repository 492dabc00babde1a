//! Faulty doors: each stands between the front and a real daemon and breaks one rule on purpose, so that it can
//! be seen that the audit finds it. The daemon itself has no fault switches.
use std::cell::Cell;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use async_io::{Async, Timer};
use futures_lite::FutureExt;
use larklink_simulation::event_log::ClientResponse;
use larklink_simulation::scenario::SessionKind;
use larklink_simulation::server::ServerState;

use crate::stage::Stage;
use crate::wire::{Lines, answer, head, listen};

/// Longer than the kit may be late.
const STALL: Duration = Duration::from_millis(40);

/// What a door does wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Planted {
    /// Gives the final answer twice, one time in 20.
    AnswersTwice,
    /// Swallows one final answer in 500.
    SwallowsAnswers,
    /// Dials a second server while the daemon's dial is out, one time in 20.
    DialsTwo,
    /// Goes on dialling a server that drains.
    DialsDraining,
    /// Sends a once-only session again that was torn down.
    SendsAgain,
    /// Cuts an accepted session off without `MOVE`, one in 20.
    Cuts,
    /// Sends all sessions to a server that has just started.
    Rushes,
    /// Ends one connection in 50 unheard, as those are that wait at a listener that closes.
    DropsQueued,
    /// Tells one session in 10 twice in the figures.
    CountsTwice,
    /// Breaks no rule but holds the kit itself up, one time in 20.
    StallsKit,
}

impl Planted {
    /// Those that break a rule.
    pub const BREAKING: [Self; 8] = [
        Self::AnswersTwice,
        Self::SwallowsAnswers,
        Self::DialsTwo,
        Self::DialsDraining,
        Self::SendsAgain,
        Self::Cuts,
        Self::Rushes,
        Self::DropsQueued,
    ];
}

/// Takes connections in before the daemon at that address; all doors count them together.
pub async fn serve(
    stage: Rc<Stage>,
    at: SocketAddr,
    daemon: SocketAddr,
    planted: Planted,
    count: Rc<Cell<u64>>,
) {
    let Ok(listener) = listen(at) else { return };
    while let Ok((stream, _)) = listener.accept().await {
        count.set(count.get() + 1);
        let door = Door { stage: Rc::clone(&stage), daemon, planted, number: count.get() };
        stage.spawn(async move { _ = door.pass(Lines::new(stream)).await });
    }
}

struct Door {
    stage: Rc<Stage>,
    daemon: SocketAddr,
    planted: Planted,
    /// The connection's, from 1.
    number: u64,
}

impl Door {
    fn every(&self, n: u64) -> bool {
        self.number.is_multiple_of(n)
    }

    async fn pass(&self, mut client: Lines) -> std::io::Result<()> {
        if self.planted == Planted::DropsQueued && self.every(50) {
            return Ok(());
        }
        let Some(first) = client.next().await? else { return Ok(()) };
        let text = format!("{}\r\n", String::from_utf8_lossy(&first));
        let direct = match self.planted {
            Planted::DialsDraining => self.server(|life, _| life == ServerState::Draining),
            Planted::Rushes => self.server(|life, warmth| life == ServerState::Up && warmth < 0.5),
            _ => None,
        };
        if let Some(at) = direct {
            let mut server = Lines::new(Async::<TcpStream>::connect(at).await?);
            server.say(&text).await?;
            if let Some(line) = server.next().await?
                && answer(&line) == Some(ClientResponse::Accepted)
            {
                client.say(&(String::from_utf8_lossy(&line) + "\r\n")).await?;
                return copy(client, server, None).await;
            }
        }
        if self.planted == Planted::StallsKit && self.every(20) {
            std::thread::sleep(STALL);
        }
        let mut daemon = Lines::new(Async::<TcpStream>::connect(self.daemon).await?);
        daemon.say(&text).await?;
        if self.planted == Planted::DialsTwo && self.every(20) {
            // Long enough for both to be out, and no longer.
            let at = self.server(|life, _| life == ServerState::Up);
            if let Some(at) = at {
                let second = Lines::new(Async::<TcpStream>::connect(at).await?);
                second.say(&text).await?;
                Timer::after(Duration::from_millis(200)).await;
            }
        }
        let line = async { daemon.next().await };
        // A client that leaves takes the dial with it.
        let left = async {
            let _ = client.next().await;
            Ok(None)
        };
        let Some(line) = line.or(left).await? else { return Ok(()) };
        let said = answer(&line);
        let once = head(&first).is_some_and(|(_, name, _)| {
            let listeners = &self.stage.scenario.listeners;
            listeners.iter().any(|l| l.get_ref().name == name && l.get_ref().kind == SessionKind::OnceOnly)
        });
        if self.planted == Planted::SendsAgain && once && said == Some(ClientResponse::Failed) {
            daemon = Lines::new(Async::<TcpStream>::connect(self.daemon).await?);
            daemon.say(&text).await?;
            return copy(client, daemon, None).await;
        }
        let line = String::from_utf8_lossy(&line) + "\r\n";
        if self.planted == Planted::SwallowsAnswers && self.every(500) {
            // Its client waits in vain.
            let _ = client.next().await;
            return Ok(());
        }
        client.say(&line).await?;
        if self.planted == Planted::AnswersTwice && self.every(20) {
            client.say(&line).await?;
        }
        let cut = (self.planted == Planted::Cuts && self.every(20)).then_some(Duration::from_secs(1));
        copy(client, daemon, cut).await
    }

    /// The first server that is so, by life and warmth.
    fn server(&self, fits: impl Fn(ServerState, f64) -> bool) -> Option<SocketAddr> {
        let (world, now) = (self.stage.world.borrow(), self.stage.now());
        let at = world.servers.iter().position(|s| fits(s.state(), s.warmth(now)))?;
        Some(self.stage.server_at[at])
    }
}

/// Both ways until one side ends, or after so long without a word.
async fn copy(mut a: Lines, mut b: Lines, cut: Option<Duration>) -> std::io::Result<()> {
    let until = cut.map(|after| std::time::Instant::now() + after);
    loop {
        let from_a = async { Ok::<_, std::io::Error>((true, a.next().await?)) };
        let from_b = async { Ok((false, b.next().await?)) };
        let limit = async {
            match until {
                Some(at) => _ = Timer::at(at).await,
                None => futures_lite::future::pending().await,
            }
            Ok((true, None))
        };
        let (up, line) = from_a.or(from_b).or(limit).await?;
        let Some(line) = line else { return Ok(()) };
        let line = String::from_utf8_lossy(&line) + "\r\n";
        if up { b.say(&line).await? } else { a.say(&line).await? }
    }
}
