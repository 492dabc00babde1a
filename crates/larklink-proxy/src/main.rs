//! Runs a proxy: `larklink [CONFIG]`. Without an argument, `ROUTER_CONFIG` names the configuration file. SIGTERM and
//! SIGINT shut the proxy down gracefully, SIGHUP reloads the configuration. `ROUTER_CONSOLE` overrides the configured
//! address of the admin endpoint.
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::rc::Rc;
use std::sync::Arc;

use async_channel::Sender;
use async_executor::LocalExecutor;
use async_signal::{Signal, Signals};
use futures_lite::StreamExt;
use larklink_proxy::config::{ADMIN_ADDRESS_VARIABLE, Config, ConfigError};
use larklink_proxy::handover::predecessor::{self, Offer, Predecessor};
use larklink_proxy::handover::socket_path;
use larklink_proxy::metrics::Metrics;
use larklink_proxy::proxy::{self, ProxyOptions};
use larklink_proxy::reload::ConfigReloader;
use larklink_proxy::{admin, log};
use rustix::process::{Resource, Rlimit, getrlimit, setrlimit};
use socket2::{Domain, Socket, Type};
use thiserror::Error;

/// The environment variable with the path of the configuration file.
const CONFIG_VARIABLE: &str = "ROUTER_CONFIG";
/// The environment variable with the directory of the handover socket.
const SOCKET_DIRECTORY_VARIABLE: &str = "TMPDIR";
/// The length of the kernel's queue of connections that wait to be accepted.
const LISTEN_BACKLOG: i32 = 1024;

/// Why a proxy cannot start or run.
#[derive(Debug, Error)]
enum StartError {
    #[error(transparent)]
    Config(#[from] ConfigError),
    #[error("cannot register signal handlers: {0}")]
    Signals(std::io::Error),
    #[error("cannot listen on {address}: {reason}")]
    Listen { address: SocketAddr, reason: std::io::Error },
    #[error("cannot start the admin endpoint on {address}: {reason}")]
    AdminEndpoint { address: SocketAddr, reason: std::io::Error },
    #[error(transparent)]
    Run(std::io::Error),
}

fn main() -> ExitCode {
    let path = std::env::args_os().nth(1).or(std::env::var_os(CONFIG_VARIABLE));
    let Some(path) = path.map(PathBuf::from) else {
        eprintln!("usage: larklink CONFIG, or {CONFIG_VARIABLE} in the environment");
        return ExitCode::FAILURE;
    };
    match run(path) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("larklink: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run(path: PathBuf) -> Result<(), StartError> {
    let admin_address = std::env::var(ADMIN_ADDRESS_VARIABLE).ok();
    let mut config = Config::read(&path)?.with_admin_address(admin_address.as_deref())?;
    let _log_guard = log::start();
    // The handlers are registered before the socket listens: the kernel accepts connections from then on, and a signal
    // without a handler would terminate the process and reset them.
    let signals = Signals::new([Signal::Hup, Signal::Term, Signal::Int]).map_err(StartError::Signals)?;
    let socket_path = socket_path(&config, std::env::var_os(SOCKET_DIRECTORY_VARIABLE).map(PathBuf::from));
    let offer = socket_path.as_deref().and_then(|path| connect_to_predecessor(path, config.listen));
    let (listener, predecessor) = open_listener(&config, offer)?;
    let address = listener.local_addr().map_err(StartError::Run)?;
    tracing::info!(name = config.name, listen = %address, "proxy started");
    let metrics = Metrics::new(&config.settings.listeners);
    if let Some(address) = config.admin_address {
        let bound = admin::start(address, Arc::clone(&metrics))
            .map_err(|reason| StartError::AdminEndpoint { address, reason })?;
        tracing::info!(console = %bound, "admin endpoint started");
    }
    let executor = Rc::new(LocalExecutor::new());
    let (shutdown_sender, shutdown) = async_channel::bounded(1);
    let (new_discovery_address, discovery_addresses) = async_channel::bounded(1);
    let reloader = ConfigReloader::new(path, config.clone(), new_discovery_address);
    // The task runs until the process exits.
    executor.spawn(handle_signals(signals, reloader, shutdown_sender)).detach();
    config.limits.max_descriptors = raise_descriptor_limit(config.limits.max_descriptors);
    let options =
        ProxyOptions { config, listener, shutdown, discovery_addresses, metrics, socket_path, predecessor };
    let proxy = proxy::run(options, Rc::clone(&executor));
    async_io::block_on(executor.run(proxy)).map_err(StartError::Run)
}

/// Reloads the configuration on SIGHUP, and requests shutdown on any other signal. Repeated shutdown requests have no
/// effect.
async fn handle_signals(mut signals: Signals, reloader: ConfigReloader, shutdown: Sender<()>) {
    while let Some(signal) = signals.next().await {
        match signal {
            Ok(Signal::Hup) => reloader.reload(),
            _ => _ = shutdown.close(),
        }
    }
}

/// Raises the soft limit of open descriptors to `wanted`, or as far as the hard limit allows. Returns how many the
/// process may use, at most `wanted`. The connection limiter needs this number: with a higher one, client connections
/// would use up the descriptors of discovery and the log.
fn raise_descriptor_limit(wanted: usize) -> usize {
    let limit = getrlimit(Resource::Nofile);
    let current = limit.current.unwrap_or(u64::MAX);
    let new_limit = (wanted as u64).min(limit.maximum.unwrap_or(u64::MAX));
    let is_raised = current < wanted as u64
        && setrlimit(Resource::Nofile, Rlimit { current: Some(new_limit), ..limit }).is_ok();
    let allowed = if is_raised { new_limit } else { current };
    if allowed < wanted as u64 {
        tracing::warn!(wanted, allowed, "descriptor limit below limits.sockets");
    }
    allowed.min(wanted as u64) as usize
}

/// Requests a handover from the process that already listens on this address, if there is one. A process that does not
/// speak the handover protocol is ignored: the address is then shared with it through `SO_REUSEPORT`.
fn connect_to_predecessor(socket_path: &Path, listen: SocketAddr) -> Option<Offer> {
    let path = socket_path.display();
    match async_io::block_on(predecessor::connect(socket_path)) {
        Ok(Some(offer)) if offer.listener.local_addr().ok() == Some(listen) => Some(offer),
        Ok(Some(_)) => {
            tracing::warn!(%path, "no handover: predecessor has another address");
            None
        }
        Ok(None) => None,
        Err(error) => {
            tracing::warn!(%path, %error, "no handover");
            None
        }
    }
}

/// Returns the predecessor's listening socket if it offers one, or else opens a new one.
fn open_listener(
    config: &Config,
    offer: Option<Offer>,
) -> Result<(TcpListener, Option<Predecessor>), StartError> {
    match offer {
        Some(Offer { listener, predecessor }) => Ok((listener, Some(predecessor))),
        None => {
            let address = config.listen;
            let listener = listen(config).map_err(|reason| StartError::Listen { address, reason })?;
            Ok((listener, None))
        }
    }
}

fn listen(config: &Config) -> std::io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(config.listen), Type::STREAM, None)?;
    // After a restart, connections of the previous process that are still closing may occupy this address.
    socket.set_reuse_address(true)?;
    // A successor to which this socket cannot be handed over binds to the same address.
    socket.set_reuse_port(config.admin_address.is_some())?;
    socket.bind(&config.listen.into())?;
    socket.listen(LISTEN_BACKLOG)?;
    Ok(socket.into())
}
