//! Accepts client connections and spawns a task for each of them.
use std::convert::Infallible;
use std::io::Result;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use async_channel::Receiver;
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::{FutureExt, future};

use crate::session::context::SessionContext;
use crate::session::handler;

/// The pause after `accept` fails, for example because the process has no free descriptors.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);
/// How many connections are accepted before the task yields, as long as there are descriptors. During a flood of
/// connections other tasks run about two hundred times before this one runs again: accepting one connection per turn
/// would leave the kernel's accept queue full.
const MAX_ACCEPTED_AT_ONCE: usize = 32;

/// Accepts connections while this process is the one that accepts them for the proxy.
pub(crate) struct Acceptor<'a> {
    listener: Async<TcpListener>,
    context: &'a Rc<SessionContext>,
    executor: &'a LocalExecutor<'static>,
}

enum Event {
    AcceptingChanged(bool),
    Accepted(Result<(Async<TcpStream>, SocketAddr)>),
}

impl<'a> Acceptor<'a> {
    /// Creates an acceptor for a listener.
    pub(crate) fn new(
        listener: Async<TcpListener>,
        context: &'a Rc<SessionContext>,
        executor: &'a LocalExecutor<'static>,
    ) -> Self {
        Self { listener, context, executor }
    }

    /// Accepts connections while `accepting` is true; each value received from `changes` replaces it.
    pub(crate) async fn run(&self, mut accepting: bool, changes: &Receiver<bool>) -> Infallible {
        let mut accepted_at_once = 0;
        loop {
            match self.next_event(accepting, changes).await {
                Event::AcceptingChanged(now) => accepting = now,
                Event::Accepted(Ok((stream, _))) => {
                    self.admit(stream).await;
                    accepted_at_once += 1;
                    if accepted_at_once >= MAX_ACCEPTED_AT_ONCE || self.context.limiter.is_full() {
                        accepted_at_once = 0;
                        future::yield_now().await;
                    }
                }
                Event::Accepted(Err(error)) => {
                    tracing::warn!(%error, "accept failed");
                    Timer::after(ACCEPT_BACKOFF).await;
                }
            }
        }
    }

    async fn next_event(&self, accepting: bool, changes: &Receiver<bool>) -> Event {
        let change = async {
            match changes.recv().await {
                Ok(accepting) => Event::AcceptingChanged(accepting),
                Err(_) => future::pending().await,
            }
        };
        let accepted = async {
            if !accepting {
                return future::pending().await;
            }
            Event::Accepted(self.listener.accept().await)
        };
        change.or(accepted).await
    }

    /// Accepts the connections in the kernel's accept queue, which closing the listener would reset.
    pub(crate) async fn accept_queued(&self) {
        while let Ok((stream, _)) = self.listener.get_ref().accept() {
            if let Ok(stream) = Async::new(stream) {
                self.admit(stream).await;
            }
        }
    }

    /// Spawns a task for a connection, or rejects it if no descriptor is available; then waits until the connections
    /// that were evicted for it are closed.
    async fn admit(&self, stream: Async<TcpStream>) {
        match self.context.limiter.try_acquire() {
            // The task ends with its connection, or with the process.
            Some(permit) => {
                let context = Rc::clone(self.context);
                self.executor.spawn(handler::handle(context, stream, permit)).detach();
            }
            None => handler::reject_connection(&stream),
        }
        self.context.limiter.evictions_done().await;
    }
}
