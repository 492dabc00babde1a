//! Relays that stand between clients and a real proxy and break one rule on purpose, to show that the audit finds it. The
//! proxy itself has no switches for faults.
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

/// Longer than the testbed may be late.
const STALL: Duration = Duration::from_millis(40);
/// How long a second attempt stays beside the proxy's own.
const SECOND_ATTEMPT: Duration = Duration::from_millis(200);
/// An established session is cut off after this time.
const CUT_AFTER: Duration = Duration::from_secs(1);
/// A server under this share of its capacity has just started.
const JUST_STARTED: f64 = 0.5;
/// Most faults act on one connection in so many.
const OFTEN: u64 = 20;
/// A dropped connection is one in so many.
const DROPS_ONE_IN: u64 = 50;
/// A swallowed response is one in so many.
const SWALLOWS_ONE_IN: u64 = 500;

/// What a relay does wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlantedFault {
    /// Sends the final response twice, one time in 20.
    RespondsTwice,
    /// Swallows one final response in 500.
    SwallowsResponses,
    /// Makes an attempt at a second server while the proxy's is in flight, one time in 20.
    AttemptsTwo,
    /// Goes on making attempts at a server that drains.
    AttemptsDraining,
    /// Retries a once-only session that failed.
    RetriesFailed,
    /// Cuts an established session off without `MOVE`, one in 20.
    Cuts,
    /// Sends all sessions to a server that has just started.
    OverloadsSlowStart,
    /// Ends one connection in 50 without a response, like those that wait at a listener that closes.
    DropsQueued,
    /// Counts one session in 10 twice in the metrics.
    CountsTwice,
    /// Breaks no rule but makes the testbed itself late, one time in 20.
    StallsTestbed,
}

impl PlantedFault {
    /// Those that break a rule.
    pub const BREAKING: [Self; 8] = [
        Self::RespondsTwice,
        Self::SwallowsResponses,
        Self::AttemptsTwo,
        Self::AttemptsDraining,
        Self::RetriesFailed,
        Self::Cuts,
        Self::OverloadsSlowStart,
        Self::DropsQueued,
    ];
}

/// Where a relay stands.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RelayPlace {
    /// Where clients connect.
    pub(crate) listen: SocketAddr,
    /// The proxy behind it.
    pub(crate) proxy: SocketAddr,
}

/// Accepts connections until the run ends; each has a task of its own. All relays count them together.
pub(crate) async fn serve(
    context: Rc<TestbedContext>,
    place: RelayPlace,
    planted: PlantedFault,
    connections: Rc<Cell<u64>>,
) {
    let Ok(listener) = listen(place.listen) else { return };
    while let Ok((stream, _)) = listener.accept().await {
        connections.set(connections.get() + 1);
        let relay = FaultyRelay {
            context: Rc::clone(&context),
            proxy: place.proxy,
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
    /// Whether the fault is planted and acts on this connection, one in so many.
    fn acts(&self, fault: PlantedFault, one_in: u64) -> bool {
        self.planted == fault && self.number.is_multiple_of(one_in)
    }

    async fn serve(&self, mut client: LineStream) -> std::io::Result<()> {
        if self.acts(PlantedFault::DropsQueued, DROPS_ONE_IN) {
            return Ok(());
        }
        let Some(first_line) = client.next_line().await? else { return Ok(()) };
        let text = line_text(&first_line);
        if let Some(server) = self.direct_server()
            && let Some(stream) = accepted_directly(server, &text, &client).await?
        {
            return copy(client, stream, None).await;
        }
        if self.acts(PlantedFault::StallsTestbed, OFTEN) {
            std::thread::sleep(STALL);
        }
        let mut proxy = LineStream::connect(self.proxy).await?;
        proxy.write(&text).await?;
        if self.acts(PlantedFault::AttemptsTwo, OFTEN) {
            self.second_attempt(&text).await?;
        }
        let Some(response) = first_response(&mut proxy, &mut client).await? else { return Ok(()) };
        if self.retries(&first_line, &response) {
            proxy = LineStream::connect(self.proxy).await?;
            proxy.write(&text).await?;
            return copy(client, proxy, None).await;
        }
        self.respond(client, proxy, &line_text(&response)).await
    }

    /// The server to which the fault sends sessions past the proxy.
    fn direct_server(&self) -> Option<SocketAddr> {
        match self.planted {
            PlantedFault::AttemptsDraining => self.server(|state, _| state == ServerState::Draining),
            PlantedFault::OverloadsSlowStart => {
                self.server(|state, warmth| state == ServerState::Up && warmth < JUST_STARTED)
            }
            _ => None,
        }
    }

    /// An attempt beside the proxy's, long enough for both to be in flight.
    async fn second_attempt(&self, text: &str) -> std::io::Result<()> {
        let Some(address) = self.server(|state, _| state == ServerState::Up) else { return Ok(()) };
        let second = LineStream::connect(address).await?;
        second.write(text).await?;
        Timer::after(SECOND_ATTEMPT).await;
        Ok(())
    }

    /// Whether this response is followed by a retry that is not allowed.
    fn retries(&self, first_line: &[u8], response: &[u8]) -> bool {
        let is_once_only = || {
            let Some(open) = parse_open_line(first_line) else { return false };
            let mut listeners = self.context.scenario.listeners.iter().map(toml::Spanned::get_ref);
            listeners.any(|spec| spec.name == open.listener && spec.kind == SessionKind::OnceOnly)
        };
        self.planted == PlantedFault::RetriesFailed
            && parse_response(response) == Some(ClientResponse::Failed)
            && is_once_only()
    }

    /// Passes the response on, and then lines both ways.
    async fn respond(
        &self,
        mut client: LineStream,
        proxy: LineStream,
        response: &str,
    ) -> std::io::Result<()> {
        if self.acts(PlantedFault::SwallowsResponses, SWALLOWS_ONE_IN) {
            let _ = client.next_line().await;
            return Ok(());
        }
        client.write(response).await?;
        if self.acts(PlantedFault::RespondsTwice, OFTEN) {
            client.write(response).await?;
        }
        copy(client, proxy, self.acts(PlantedFault::Cuts, OFTEN).then_some(CUT_AFTER)).await
    }

    /// The first server whose state and share of its full capacity fit.
    fn server(&self, fits: impl Fn(ServerState, f64) -> bool) -> Option<SocketAddr> {
        let now = self.context.now();
        let world = self.context.world.borrow();
        let number = world.servers.iter().position(|server| fits(server.state(), server.warmth(now)))?;
        Some(self.context.addresses.servers[number])
    }
}

/// A line as it is written again.
fn line_text(line: &[u8]) -> String {
    format!("{}\r\n", String::from_utf8_lossy(line))
}

/// A session sent to a server past the proxy; none if the server does not accept it.
async fn accepted_directly(
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
    client.write(&line_text(&response)).await?;
    Ok(Some(stream))
}

/// The proxy's response; none if either side ended: a client that leaves takes the attempt with it.
async fn first_response(proxy: &mut LineStream, client: &mut LineStream) -> std::io::Result<Option<Vec<u8>>> {
    let response = async { proxy.next_line().await };
    let left = async {
        let _ = client.next_line().await;
        Ok(None)
    };
    response.or(left).await
}

/// A line, and which way it goes.
enum Relayed {
    ToServer(Option<Vec<u8>>),
    ToClient(Option<Vec<u8>>),
}

/// Lines both ways until one side ends, or for so long.
async fn copy(
    mut client: LineStream,
    mut server: LineStream,
    limit: Option<Duration>,
) -> std::io::Result<()> {
    let until = limit.map(|limit| Instant::now() + limit);
    loop {
        let up = async { Ok::<_, std::io::Error>(Relayed::ToServer(client.next_line().await?)) };
        let down = async { Ok(Relayed::ToClient(server.next_line().await?)) };
        let over = async {
            match until {
                Some(until) => _ = Timer::at(until).await,
                None => future::pending().await,
            }
            Ok(Relayed::ToServer(None))
        };
        match up.or(down).or(over).await? {
            Relayed::ToServer(Some(line)) => server.write(&line_text(&line)).await?,
            Relayed::ToClient(Some(line)) => client.write(&line_text(&line)).await?,
            Relayed::ToServer(None) | Relayed::ToClient(None) => return Ok(()),
        }
    }
}
