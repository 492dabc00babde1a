//! Starts a proxy: `larklink [CONFIG]`, else with the configuration that `ROUTER_CONFIG` names. SIGTERM and SIGINT stop
//! it, SIGHUP reloads the configuration. `ROUTER_CONSOLE` names the address of the admin endpoint, before the one in the
//! configuration.
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

/// The environment variable with the path of the configuration.
const CONFIG_VARIABLE: &str = "ROUTER_CONFIG";
/// The environment variable with the folder in which the processes of a proxy meet.
const FOLDER_VARIABLE: &str = "TMPDIR";
/// Connections that the kernel holds until they are accepted.
const LISTEN_BACKLOG: i32 = 1024;

/// Why a proxy does not run.
#[derive(Debug, Error)]
enum StartError {
    #[error(transparent)]
    Config(#[from] ConfigError),
    #[error("signals: {0}")]
    Signals(std::io::Error),
    #[error("{address}: {reason}")]
    Listen { address: SocketAddr, reason: std::io::Error },
    #[error("console {address}: {reason}")]
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
    // Before the listener: the kernel accepts connections from the first moment on, which a signal without a handler would
    // end with the process.
    let signals = Signals::new([Signal::Hup, Signal::Term, Signal::Int]).map_err(StartError::Signals)?;
    let socket_path = socket_path(&config, std::env::var_os(FOLDER_VARIABLE).map(PathBuf::from));
    let offer = socket_path.as_deref().and_then(|path| meet_predecessor(path, config.listen));
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
    // Runs until the process ends.
    executor.spawn(handle_signals(signals, reloader, shutdown_sender)).detach();
    config.limits.max_descriptors = raise_descriptor_limit(config.limits.max_descriptors);
    let options =
        ProxyOptions { config, listener, shutdown, discovery_addresses, metrics, socket_path, predecessor };
    let proxy = proxy::run(options, Rc::clone(&executor));
    async_io::block_on(executor.run(proxy)).map_err(StartError::Run)
}

/// Reloads on SIGHUP, and requests the shutdown on the others; further ones of those change nothing.
async fn handle_signals(mut signals: Signals, reloader: ConfigReloader, shutdown: Sender<()>) {
    while let Some(signal) = signals.next().await {
        match signal {
            Ok(Signal::Hup) => reloader.reload(),
            _ => _ = shutdown.close(),
        }
    }
}

/// Raises the process's limit of descriptors as far as the system allows; what it may hold then, `wanted` at most. More
/// connections than that would take the descriptors of discovery and the log.
fn raise_descriptor_limit(wanted: usize) -> usize {
    let limit = getrlimit(Resource::Nofile);
    let current = limit.current.unwrap_or(u64::MAX);
    let raised = (wanted as u64).min(limit.maximum.unwrap_or(u64::MAX));
    let is_raised = current < wanted as u64
        && setrlimit(Resource::Nofile, Rlimit { current: Some(raised), ..limit }).is_ok();
    let allowed = if is_raised { raised } else { current };
    if allowed < wanted as u64 {
        tracing::warn!(wanted, allowed, "descriptor limit below limits.sockets");
    }
    allowed.min(wanted as u64) as usize
}

/// Meets the process that serves already at this address. One that does not speak the protocol is ignored: the address
/// can be shared with it.
fn meet_predecessor(socket_path: &Path, listen: SocketAddr) -> Option<Offer> {
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

/// The predecessor's listener, or else one of this process's own.
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
    // A restart takes the address over from connections that are still closing.
    socket.set_reuse_address(true)?;
    // A successor that cannot have this process's socket shares the address with it.
    socket.set_reuse_port(config.admin_address.is_some())?;
    socket.bind(&config.listen.into())?;
    socket.listen(LISTEN_BACKLOG)?;
    Ok(socket.into())
}
