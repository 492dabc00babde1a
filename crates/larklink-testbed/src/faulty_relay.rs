//! Relays that inject one fault between clients and a real proxy, to test that the audit or the report finds it. The
//! proxy itself has no fault injection.
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_io::Timer;
use futures_lite::{FutureExt, future};
use larklink_simulation::event_log::ClientResponse;
use larklink_simulation::scenario::SessionKind;
use larklink_simulation::server::ServerState;

use crate::context::TestbedContext;
use crate::protocol::{LineStream, listen, parse_open_line, parse_response};

/// How long a stall blocks the testbed: longer than the timer delay that invalidates a run.
const STALL_DURATION: Duration = Duration::from_millis(40);
/// How long a second attempt stays open next to the proxy's own.
const SECOND_ATTEMPT_DURATION: Duration = Duration::from_millis(200);
/// How long a session is established before the relay cuts it off.
const CUT_AFTER: Duration = Duration::from_secs(1);
/// A server below this share of its full capacity is in early slow start.
const EARLY_SLOW_START: f64 = 0.5;
/// Sampled faults without a rate of their own apply to one connection in this many. Attempts to draining servers, retries
/// of failed sessions and overloads in slow start are not sampled.
const DEFAULT_ONE_IN: u64 = 20;
/// One connection in this many is dropped.
const DROPS_ONE_IN: u64 = 50;
/// One response in this many is swallowed.
const SWALLOWS_ONE_IN: u64 = 500;

/// A fault that the testbed plants outside the proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlantedFault {
    /// Sends one final response in 20 twice.
    RespondsTwice,
    /// Swallows one final response in 500.
    SwallowsResponses,
    /// Makes a second attempt while the proxy's is in flight, for one session in 20.
    MakesConcurrentAttempts,
    /// Makes attempts at a draining server.
    MakesAttemptsToDraining,
    /// Retries failed sessions that may run only once, at a server directly.
    RetriesFailed,
    /// Cuts off one established session in 20 without `MOVE`.
    CutsEstablished,
    /// Sends all sessions to a server in early slow start.
    OverloadsSlowStart,
    /// Closes one connection in 50 without a response, like connections queued at a listening socket that is closed.
    DropsQueued,
    /// Counts one session in 10 twice in the metrics. Breaks no rule.
    MiscountsMetrics,
    /// Blocks the testbed itself for one connection in 20, so that its timers are late. Breaks no rule.
    StallsTestbed,
}

impl PlantedFault {
    /// The faults that break a rule.
    pub const RULE_BREAKING: [Self; 8] = [
        Self::RespondsTwice,
        Self::SwallowsResponses,
        Self::MakesConcurrentAttempts,
        Self::MakesAttemptsToDraining,
        Self::RetriesFailed,
        Self::CutsEstablished,
        Self::OverloadsSlowStart,
        Self::DropsQueued,
    ];
}

/// The addresses of a relay.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RelayAddresses {
    /// The address to which clients connect.
    pub(crate) listen: SocketAddr,
    /// The address of the proxy.
    pub(crate) proxy: SocketAddr,
}

/// Accepts connections until the run ends. Each connection has its own task. All relays share one count of connections.
pub(crate) async fn serve(
    context: Rc<TestbedContext>,
    addresses: RelayAddresses,
    planted: PlantedFault,
    connections: Rc<Cell<u64>>,
) {
    let Ok(listener) = listen(addresses.listen) else { return };
    while let Ok((stream, _)) = listener.accept().await {
        connections.set(connections.get() + 1);
        let relay = FaultyRelay {
            context: Rc::clone(&context),
            proxy: addresses.proxy,
            planted,
            number: connections.get(),
        };
        context.spawn(async move { _ = relay.serve(LineStream::new(stream)).await });
    }
}

/// The relay of one connection.
struct FaultyRelay {
    context: Rc<TestbedContext>,
    proxy: SocketAddr,
    planted: PlantedFault,
    /// The connection's number, from 1.
    number: u64,
}

impl FaultyRelay {
    /// Returns whether this fault is planted and applies to this connection, which is one in `one_in`.
    fn applies(&self, fault: PlantedFault, one_in: u64) -> bool {
        self.planted == fault && self.number.is_multiple_of(one_in)
    }

    async fn serve(&self, mut client: LineStream) -> std::io::Result<()> {
        if self.applies(PlantedFault::DropsQueued, DROPS_ONE_IN) {
            return Ok(());
        }
        let Some(first_line) = client.next_line().await? else { return Ok(()) };
        let text = with_crlf(&first_line);
        if let Some(server) = self.bypass_server()
            && let Some(stream) = connect_directly(server, &text, &client).await?
        {
            return relay_lines(client, stream, None).await;
        }
        if self.applies(PlantedFault::StallsTestbed, DEFAULT_ONE_IN) {
            std::thread::sleep(STALL_DURATION);
        }
        let mut proxy = LineStream::connect(self.proxy).await?;
        proxy.write(&text).await?;
        if self.applies(PlantedFault::MakesConcurrentAttempts, DEFAULT_ONE_IN) {
            self.second_attempt(&text).await?;
        }
        let Some(response) = first_response(&mut proxy, &mut client).await? else { return Ok(()) };
        // Past the proxy, which refuses the id of a session that may have run.
        if self.makes_forbidden_retry(&first_line, &response)
            && let Some(server) = self.server(|state, _| state == ServerState::Up)
            && let Some(stream) = connect_directly(server, &text, &client).await?
        {
            return relay_lines(client, stream, None).await;
        }
        self.respond(client, proxy, &with_crlf(&response)).await
    }

    /// Returns the server to which the fault sends sessions directly, bypassing the proxy.
    fn bypass_server(&self) -> Option<SocketAddr> {
        match self.planted {
            PlantedFault::MakesAttemptsToDraining => self.server(|state, _| state == ServerState::Draining),
            PlantedFault::OverloadsSlowStart => self.server(|state, capacity_fraction| {
                state == ServerState::Up && capacity_fraction < EARLY_SLOW_START
            }),
            _ => None,
        }
    }

    /// Makes an attempt next to the proxy's, long enough for both to be in flight.
    async fn second_attempt(&self, text: &str) -> std::io::Result<()> {
        let Some(address) = self.server(|state, _| state == ServerState::Up) else { return Ok(()) };
        let second = LineStream::connect(address).await?;
        second.write(text).await?;
        Timer::after(SECOND_ATTEMPT_DURATION).await;
        Ok(())
    }

    /// Returns whether to follow this response with a retry that is not allowed.
    fn makes_forbidden_retry(&self, first_line: &[u8], response: &[u8]) -> bool {
        let is_once_only = || {
            let Some(open) = parse_open_line(first_line) else { return false };
            let mut listeners = self.context.scenario.listeners.iter().map(toml::Spanned::get_ref);
            listeners.any(|spec| spec.name == open.listener && spec.kind == SessionKind::OnceOnly)
        };
        self.planted == PlantedFault::RetriesFailed
            && parse_response(response) == Some(ClientResponse::Failed)
            && is_once_only()
    }

    /// Forwards the response, then lines in both directions.
    async fn respond(
        &self,
        mut client: LineStream,
        proxy: LineStream,
        response: &str,
    ) -> std::io::Result<()> {
        if self.applies(PlantedFault::SwallowsResponses, SWALLOWS_ONE_IN) {
            let _ = client.next_line().await;
            return Ok(());
        }
        client.write(response).await?;
        if self.applies(PlantedFault::RespondsTwice, DEFAULT_ONE_IN) {
            client.write(response).await?;
        }
        relay_lines(
            client,
            proxy,
            self.applies(PlantedFault::CutsEstablished, DEFAULT_ONE_IN).then_some(CUT_AFTER),
        )
        .await
    }

    /// Returns the first server whose state and share of its full capacity match.
    fn server(&self, matches: impl Fn(ServerState, f64) -> bool) -> Option<SocketAddr> {
        let now = self.context.now();
        let model = self.context.model.borrow();
        let number =
            model.servers.iter().position(|server| matches(server.state(), server.capacity_fraction(now)))?;
        Some(self.context.addresses.servers[number])
    }
}

/// Converts a line back to text with its CRLF.
fn with_crlf(line: &[u8]) -> String {
    format!("{}\r\n", String::from_utf8_lossy(line))
}

/// Opens a session at a server directly and forwards its response. Returns `None` if the server does not accept it.
async fn connect_directly(
    server: SocketAddr,
    first_line: &str,
    client: &LineStream,
) -> std::io::Result<Option<LineStream>> {
    let mut stream = LineStream::connect(server).await?;
    stream.write(first_line).await?;
    let Some(response) = stream.next_line().await? else { return Ok(None) };
    if parse_response(&response) != Some(ClientResponse::Accepted) {
        return Ok(None);
    }
    client.write(&with_crlf(&response)).await?;
    Ok(Some(stream))
}

/// Waits for the proxy's response. Returns `None` if either side closes or if the client sends another line first.
/// The relay then closes the connection to the proxy too, which abandons the attempt.
async fn first_response(proxy: &mut LineStream, client: &mut LineStream) -> std::io::Result<Option<Vec<u8>>> {
    let response = async { proxy.next_line().await };
    let left = async {
        let _ = client.next_line().await;
        Ok(None)
    };
    response.or(left).await
}

/// A line to forward, or `None` at the end of the stream.
enum RelayedLine {
    ToServer(Option<Vec<u8>>),
    ToClient(Option<Vec<u8>>),
}

/// Forwards lines in both directions until one side closes or the time limit is reached.
async fn relay_lines(
    mut client: LineStream,
    mut server: LineStream,
    limit: Option<Duration>,
) -> std::io::Result<()> {
    let deadline = limit.map(|limit| Instant::now() + limit);
    loop {
        let to_server = async { Ok::<_, std::io::Error>(RelayedLine::ToServer(client.next_line().await?)) };
        let to_client = async { Ok(RelayedLine::ToClient(server.next_line().await?)) };
        let timed_out = async {
            match deadline {
                Some(deadline) => _ = Timer::at(deadline).await,
                None => future::pending().await,
            }
            Ok(RelayedLine::ToServer(None))
        };
        match to_server.or(to_client).or(timed_out).await? {
            RelayedLine::ToServer(Some(line)) => server.write(&with_crlf(&line)).await?,
            RelayedLine::ToClient(Some(line)) => client.write(&with_crlf(&line)).await?,
            RelayedLine::ToServer(None) | RelayedLine::ToClient(None) => return Ok(()),
        }
    }
}
