//! Starts, stops, kills, replaces and watches the proxies of a run.
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_channel::Receiver;
use async_io::Timer;
use futures_lite::FutureExt;
use larklink_simulation::faults::ProxyFault;
use larklink_simulation::time::TickDuration;
use rustix::process::Signal;

use crate::admin_client;
use crate::context::{ProxyCommand, TestbedContext, duration_of};
use crate::error::TestbedError;
use crate::metrics_poller::MetricsPoller;
use crate::protocol::LineStream;
use crate::proxy_process::ProxyProcess;
use crate::proxy_slot::{AdminEndpoint, ProxySlots};

/// A proxy answers a health check within this time of its start.
const START_TIMEOUT: Duration = Duration::from_secs(10);
/// How often a process that starts or stops is looked at.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// How often all processes are looked at.
const WATCH_INTERVAL: Duration = Duration::from_millis(100);
/// How long a health check waits for its answer.
const HEALTH_CHECK_TIMEOUT: Duration = Duration::from_secs(1);
/// A planned stop is over within this time, or the process is killed.
const STOP_TIMEOUT: Duration = Duration::from_millis(3700);
/// The status of an admin endpoint that is ready.
const HTTP_OK: u16 = 200;

/// Starts, stops, kills, replaces and watches the proxies of a run.
pub(crate) struct Supervisor {
    pub(crate) context: Rc<TestbedContext>,
    pub(crate) slots: ProxySlots,
    pub(crate) metrics: Rc<MetricsPoller>,
}

impl Supervisor {
    /// Carries out the commands; ends with the first proxy that ends by itself or does not start.
    pub(crate) async fn run(&self, commands: Receiver<ProxyCommand>) -> TestbedError {
        loop {
            let command = async { commands.recv().await.ok() };
            let watch = async {
                Timer::after(WATCH_INTERVAL).await;
                None
            };
            let result = match command.or(watch).await {
                Some(command) => self.carry_out(command).await,
                None => self.check_all(),
            };
            if let Err(error) = result {
                return error;
            }
        }
    }

    async fn carry_out(&self, ProxyCommand { proxy, fault }: ProxyCommand) -> Result<(), TestbedError> {
        match fault {
            ProxyFault::Kill => {
                // The event log first: sessions that end by the kill are to find it there.
                self.context.world.borrow_mut().proxy_exited(self.context.now(), proxy, false);
                self.slots.borrow_mut()[proxy].end();
            }
            // The context waits for the connection, and sends the kill then.
            ProxyFault::KillAtAccept { .. } => {}
            ProxyFault::Start => self.start(proxy).await?,
            ProxyFault::Stop { back } => {
                // Ends by itself, with the process; or with the run.
                let stop = stop(Rc::clone(&self.context), Rc::clone(&self.slots), proxy, back);
                self.context.spawn(stop);
            }
            ProxyFault::Replace => self.replace(proxy).await?,
            ProxyFault::Reload => self.slots.borrow_mut()[proxy].reload(&self.context),
        }
        Ok(())
    }

    fn check_all(&self) -> Result<(), TestbedError> {
        self.slots.borrow_mut().iter_mut().try_for_each(|slot| slot.check_running())
    }

    /// Starts a proxy and waits until it answers.
    ///
    /// # Errors
    /// It cannot be started, ends, or does not answer.
    pub(crate) async fn start(&self, proxy: usize) -> Result<(), TestbedError> {
        let listen = {
            let slot = &mut self.slots.borrow_mut()[proxy];
            slot.start(&self.context)?;
            slot.listen()
        };
        let until = Instant::now() + START_TIMEOUT;
        while !answers_health_check(listen).await {
            self.check_starting(proxy, until)?;
        }
        self.context.world.borrow_mut().proxy_up(self.context.now(), proxy);
        Ok(())
    }

    /// An error if a proxy that does not answer yet cannot be waited for any more.
    fn check_starting(&self, proxy: usize, until: Instant) -> Result<(), TestbedError> {
        let slot = &mut self.slots.borrow_mut()[proxy];
        slot.check_started()?;
        if Instant::now() < until {
            return Ok(());
        }
        Err(TestbedError::NotReady { proxy, timeout: START_TIMEOUT, log_tail: slot.log_tail() })
    }

    /// Starts a successor beside a proxy's process, and stops that process when the successor is ready.
    async fn replace(&self, proxy: usize) -> Result<(), TestbedError> {
        let Some(endpoint) = self.slots.borrow()[proxy].admin_endpoint() else { return Ok(()) };
        let predecessor = {
            let slot = &mut self.slots.borrow_mut()[proxy];
            slot.close_usage();
            let Some(predecessor) = slot.take_process() else { return Ok(()) };
            slot.start(&self.context)?;
            predecessor
        };
        self.wait_until_ready(proxy).await?;
        predecessor.signal(Signal::TERM);
        // Ends with the predecessor; or with the run.
        self.context.spawn(watch_predecessor(Rc::clone(&self.metrics), predecessor, endpoint));
        Ok(())
    }

    async fn wait_until_ready(&self, proxy: usize) -> Result<(), TestbedError> {
        let successor = self.slots.borrow()[proxy].admin_endpoint();
        let until = Instant::now() + START_TIMEOUT;
        while let Some(endpoint) = successor {
            let answer = admin_client::get(endpoint.address, "/ready").await;
            if answer.is_ok_and(|answer| answer.status == HTTP_OK) {
                break;
            }
            self.check_starting(proxy, until)?;
            Timer::after(POLL_INTERVAL).await;
        }
        Ok(())
    }
}

/// Asks a process that was replaced for its metrics until it ends.
async fn watch_predecessor(metrics: Rc<MetricsPoller>, mut process: ProxyProcess, endpoint: AdminEndpoint) {
    let until = Instant::now() + STOP_TIMEOUT;
    while process.exited().is_none() && Instant::now() < until {
        // It may have ended meanwhile.
        let _ = metrics.poll(endpoint).await;
        Timer::after(POLL_INTERVAL).await;
    }
}

/// Stops a proxy in good order, and has it restarted so long after its end.
async fn stop(
    context: Rc<TestbedContext>,
    slots: ProxySlots,
    proxy: usize,
    restart_after: Option<TickDuration>,
) {
    // Here and not while it runs: it takes the testbed milliseconds.
    slots.borrow_mut()[proxy].measure();
    let Some(mut process) = slots.borrow_mut()[proxy].take_process() else { return };
    process.signal(Signal::TERM);
    let until = Instant::now() + STOP_TIMEOUT;
    while process.exited().is_none() && Instant::now() < until {
        Timer::after(POLL_INTERVAL).await;
    }
    process.kill();
    slots.borrow_mut()[proxy].end();
    context.world.borrow_mut().proxy_exited(context.now(), proxy, true);
    if let Some(ticks) = restart_after {
        Timer::after(duration_of(ticks)).await;
        context.command_proxy(proxy, ProxyFault::Start);
    }
}

/// Whether a health check is answered there; if not, a poll interval has passed.
async fn answers_health_check(address: SocketAddr) -> bool {
    let check = async {
        let mut lines = LineStream::connect(address).await?;
        lines.write("PING\r\n").await?;
        lines.next_line().await
    };
    let limit = async {
        Timer::after(HEALTH_CHECK_TIMEOUT).await;
        Ok(None)
    };
    let answered = matches!(check.or(limit).await, Ok(Some(line)) if line == b"PONG");
    if !answered {
        Timer::after(POLL_INTERVAL).await;
    }
    answered
}
