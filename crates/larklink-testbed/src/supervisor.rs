//! Starts, stops, kills, replaces and monitors the proxies of a run.
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
use crate::context::{ProxyCommand, TestbedContext, ticks_to_duration};
use crate::error::TestbedError;
use crate::metrics_poller::MetricsPoller;
use crate::protocol::LineStream;
use crate::proxy_process::ProxyProcess;
use crate::proxy_slot::{AdminEndpoint, ProxySlots};

/// How long a proxy may take from its start until it is ready.
const START_TIMEOUT: Duration = Duration::from_secs(10);
/// How often a process that is starting or stopping is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// How often all processes are checked for an unexpected exit.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// How long a health check waits for its response.
const HEALTH_CHECK_TIMEOUT: Duration = Duration::from_secs(1);
/// How long a process may take to exit after SIGTERM before it is killed.
const STOP_TIMEOUT: Duration = Duration::from_millis(3700);
/// The HTTP status with which an admin endpoint reports that its process is ready.
const HTTP_OK: u16 = 200;

/// Starts, stops, kills, replaces and monitors the proxies of a run.
pub(crate) struct Supervisor {
    pub(crate) context: Rc<TestbedContext>,
    pub(crate) slots: ProxySlots,
    pub(crate) metrics: Rc<MetricsPoller>,
}

impl Supervisor {
    /// Executes commands until a proxy exits unexpectedly or does not start, and returns that error.
    pub(crate) async fn run(&self, commands: Receiver<ProxyCommand>) -> TestbedError {
        loop {
            let command = async { commands.recv().await.ok() };
            let check = async {
                Timer::after(CHECK_INTERVAL).await;
                None
            };
            let result = match command.or(check).await {
                Some(command) => self.execute(command).await,
                None => self.check_all(),
            };
            if let Err(error) = result {
                return error;
            }
        }
    }

    async fn execute(&self, ProxyCommand { proxy, fault }: ProxyCommand) -> Result<(), TestbedError> {
        match fault {
            ProxyFault::Kill => {
                // Recorded before the kill, so that it precedes the ends of the sessions in the event log.
                self.context.model.borrow_mut().proxy_exited(self.context.now(), proxy, false);
                self.slots.borrow_mut()[proxy].kill_process();
            }
            // Handled by the context, which sends `Kill` when the proxy accepts its next connection.
            ProxyFault::KillAtAccept { .. } => {}
            ProxyFault::Start => self.start(proxy).await?,
            ProxyFault::Stop { back } => {
                // The task ends after the process and its restart, or with the run.
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

    /// Starts a proxy and waits until it answers a health check.
    ///
    /// # Errors
    /// Fails if the process cannot be started, exits, or does not answer in time.
    pub(crate) async fn start(&self, proxy: usize) -> Result<(), TestbedError> {
        let listen = {
            let slot = &mut self.slots.borrow_mut()[proxy];
            slot.start(&self.context)?;
            slot.listen()
        };
        let until = Instant::now() + START_TIMEOUT;
        while !answers_health_check(listen).await {
            self.check_startup(proxy, until)?;
        }
        self.context.model.borrow_mut().proxy_up(self.context.now(), proxy);
        Ok(())
    }

    /// Returns an error if a proxy that is not ready yet has exited or has exceeded the start timeout.
    fn check_startup(&self, proxy: usize, until: Instant) -> Result<(), TestbedError> {
        let slot = &mut self.slots.borrow_mut()[proxy];
        slot.check_started()?;
        if Instant::now() < until {
            return Ok(());
        }
        Err(TestbedError::NotReady { proxy, timeout: START_TIMEOUT, log_tail: slot.log_tail() })
    }

    /// Starts a successor next to a proxy's process, and stops that process when the successor is ready.
    async fn replace(&self, proxy: usize) -> Result<(), TestbedError> {
        let Some(endpoint) = self.slots.borrow()[proxy].admin_endpoint() else { return Ok(()) };
        let predecessor = {
            let slot = &mut self.slots.borrow_mut()[proxy];
            slot.finalize_usage();
            let Some(predecessor) = slot.take_process() else { return Ok(()) };
            slot.start(&self.context)?;
            predecessor
        };
        self.wait_until_ready(proxy).await?;
        predecessor.signal(Signal::TERM);
        // The task ends with the predecessor, or with the run.
        self.context.spawn(poll_predecessor(Rc::clone(&self.metrics), predecessor, endpoint));
        Ok(())
    }

    async fn wait_until_ready(&self, proxy: usize) -> Result<(), TestbedError> {
        let successor = self.slots.borrow()[proxy].admin_endpoint();
        let until = Instant::now() + START_TIMEOUT;
        while let Some(endpoint) = successor {
            let response = admin_client::get(endpoint.address, "/ready").await;
            if response.is_ok_and(|response| response.status == HTTP_OK) {
                break;
            }
            self.check_startup(proxy, until)?;
            Timer::after(POLL_INTERVAL).await;
        }
        Ok(())
    }
}

/// Polls the metrics of a process that was replaced until it exits. After [`STOP_TIMEOUT`] it is killed by the drop.
async fn poll_predecessor(metrics: Rc<MetricsPoller>, mut process: ProxyProcess, endpoint: AdminEndpoint) {
    let until = Instant::now() + STOP_TIMEOUT;
    while process.exit_status().is_none() && Instant::now() < until {
        // This fails if the process exits at this moment.
        let _ = metrics.poll(endpoint).await;
        Timer::after(POLL_INTERVAL).await;
    }
}

/// Stops a proxy with SIGTERM, and restarts it after the given delay if there is one.
async fn stop(
    context: Rc<TestbedContext>,
    slots: ProxySlots,
    proxy: usize,
    restart_after: Option<TickDuration>,
) {
    // Measured just before the stop and not periodically, since reading /proc blocks the testbed for milliseconds.
    slots.borrow_mut()[proxy].update_usage();
    let Some(mut process) = slots.borrow_mut()[proxy].take_process() else { return };
    process.signal(Signal::TERM);
    let until = Instant::now() + STOP_TIMEOUT;
    while process.exit_status().is_none() && Instant::now() < until {
        Timer::after(POLL_INTERVAL).await;
    }
    process.kill();
    // The slot's process was taken above, so this only finalizes the usage, unless another fault has
    // started a process since.
    slots.borrow_mut()[proxy].kill_process();
    context.model.borrow_mut().proxy_exited(context.now(), proxy, true);
    if let Some(ticks) = restart_after {
        Timer::after(ticks_to_duration(ticks)).await;
        context.command_proxy(proxy, ProxyFault::Start);
    }
}

/// Returns whether a proxy answers a health check at this address. Waits for a poll interval if it does not.
async fn answers_health_check(address: SocketAddr) -> bool {
    let check = async {
        let mut lines = LineStream::connect(address).await?;
        lines.write("PING\r\n").await?;
        lines.next_line().await
    };
    let timeout = async {
        Timer::after(HEALTH_CHECK_TIMEOUT).await;
        Ok(None)
    };
    let answered = matches!(check.or(timeout).await, Ok(Some(line)) if line == b"PONG");
    if !answered {
        Timer::after(POLL_INTERVAL).await;
    }
    answered
}
