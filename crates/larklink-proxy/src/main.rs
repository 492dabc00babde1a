//! Starts a proxy: `larklink [CONFIG]`, else with the configuration that `ROUTER_CONFIG` names. SIGTERM stops
//! it. `ROUTER_CONSOLE` names the address of the operators' door, before the one in the configuration.
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::rc::Rc;
use std::sync::Arc;

use async_executor::LocalExecutor;
use async_signal::{Signal, Signals};
use futures_lite::StreamExt;
use larklink_proxy::config::{ADMIN_ADDRESS_VARIABLE, Config};
use larklink_proxy::handover::predecessor::{self, Offer, Predecessor};
use larklink_proxy::handover::socket_path;
use larklink_proxy::metrics::Metrics;
use larklink_proxy::proxy::{self, Start};
use larklink_proxy::reload::ConfigReloader;
use larklink_proxy::{admin, log};
use rustix::process::{Resource, Rlimit, getrlimit, setrlimit};
use socket2::{Domain, Socket, Type};

/// Connections that the kernel holds until they are taken.
const BACKLOG: i32 = 1024;

fn main() -> ExitCode {
    let path = std::env::args_os().nth(1).or(std::env::var_os("ROUTER_CONFIG"));
    let Some(path) = path.map(PathBuf::from) else {
        eprintln!("usage: larklink CONFIG, or ROUTER_CONFIG in the environment");
        return ExitCode::FAILURE;
    };
    let console = std::env::var(ADMIN_ADDRESS_VARIABLE).ok();
    let config = Config::read(&path).and_then(|config| config.with_admin_address(console.as_deref()));
    match config.map_err(|e| e.to_string()).and_then(|config| start(path, config)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(wrong) => {
            eprintln!("larklink: {wrong}");
            ExitCode::FAILURE
        }
    }
}

fn start(path: PathBuf, mut config: Config) -> Result<(), String> {
    let _log = log::start();
    // Before there is a connection that a signal could take along: the kernel accepts from the first moment in which
    // we listen.
    let mut signals =
        Signals::new([Signal::Hup, Signal::Term, Signal::Int]).map_err(|e| format!("signals: {e}"))?;
    let place = socket_path(&config, std::env::var_os("TMPDIR").map(PathBuf::from));
    let (listener, old) = match place.as_deref().and_then(|at| meet(at, config.listen)) {
        Some((listener, old)) => (listener, Some(old)),
        None => (listen(&config).map_err(|e| format!("{}: {e}", config.listen))?, None),
    };
    let address = listener.local_addr().map_err(|e| e.to_string())?;
    tracing::info!(name = config.name, listen = %address, "starts");
    let figures = Metrics::new(&config.settings.listeners);
    if let Some(at) = config.admin_address {
        let at = admin::start(at, Arc::clone(&figures)).map_err(|e| format!("console {at}: {e}"))?;
        tracing::info!(console = %at, "operators may call");
    }
    let executor = Rc::new(LocalExecutor::new());
    let (stop, stopping) = async_channel::bounded(1);
    let (to, moved) = async_channel::bounded(1);
    let reloader = ConfigReloader::new(path, config.clone(), to);
    executor
        .spawn(async move {
            while let Some(signal) = signals.next().await {
                match signal {
                    Ok(Signal::Hup) => reloader.reload(),
                    // A second one is let pass.
                    _ => _ = stop.close(),
                }
            }
        })
        .detach();
    let told = config.limits.max_descriptors;
    config.limits.max_descriptors = descriptors(told);
    if config.limits.max_descriptors < told {
        tracing::warn!("limits.sockets is {told}, and the system allows {}", config.limits.max_descriptors);
    }
    let start = Start { config, listener, stop: stopping, moved, figures, place, old };
    let run = proxy::run(start, Rc::clone(&executor));
    async_io::block_on(executor.run(run)).map_err(|e| e.to_string())
}

/// So many descriptors, or what the system allows of them. Beyond that, clients would have those of discovery and the
/// log, too: it stayed unheard for as long as idle ones came.
fn descriptors(wanted: usize) -> usize {
    let limit = getrlimit(Resource::Nofile);
    let (wanted, most) = (wanted as u64, limit.maximum.unwrap_or(u64::MAX));
    let has = limit.current.unwrap_or(u64::MAX);
    let more = Rlimit { current: Some(wanted.min(most)), ..limit };
    let has = if has < wanted && setrlimit(Resource::Nofile, more).is_ok() { wanted.min(most) } else { has };
    wanted.min(has) as usize
}

/// The process that serves already under this address, with the listening socket that it hands over. One that does
/// not speak as it should is let be: the address can be shared with it.
fn meet(at: &Path, listen: SocketAddr) -> Option<(TcpListener, Predecessor)> {
    match async_io::block_on(predecessor::meet(at)) {
        Ok(Some(Offer { listener, predecessor })) if listener.local_addr().ok() == Some(listen) => {
            Some((listener, predecessor))
        }
        Ok(Some(_)) => {
            tracing::warn!("{}: a process with another address", at.display());
            None
        }
        Ok(None) => None,
        Err(e) => {
            tracing::warn!("{}: no handover: {e}", at.display());
            None
        }
    }
}

fn listen(config: &Config) -> std::io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(config.listen), Type::STREAM, None)?;
    // A restart takes the address over from connections that are still closing.
    socket.set_reuse_address(true)?;
    // A process that replaces another shares the address with it, if it cannot have its socket.
    socket.set_reuse_port(config.admin_address.is_some())?;
    socket.bind(&config.listen.into())?;
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}
