//! The operators' door: HTTP/1.1 on an address of its own, one call to a connection. It has a thread of its own, so
//! that no crowd of clients stands before its callers, and reads nothing but the figures.
pub mod response;

use std::collections::VecDeque;
use std::io::{ErrorKind, Result};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_channel::Receiver;
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt};

use self::response::respond;
use crate::metrics::Metrics;
use crate::timeout::with_timeout;

/// Callers that are heard at once. One more pushes out the oldest, which has had the longest to say something;
/// so callers that connect and finish no call keep nobody out, as long as fewer come within the time of a call.
pub const MAX_CONNECTIONS: usize = 16;
/// Descriptors that the door needs: its callers, itself, and one that is taken while the oldest still closes.
pub const DESCRIPTORS: usize = MAX_CONNECTIONS + 2;
/// A call that is not whole by then is given up.
const CALL: Duration = Duration::from_secs(3);
/// How long a caller may take to close after its answer; what it has still on its way would reset the connection.
const LINGER: Duration = Duration::from_millis(500);
const BREATHE: Duration = Duration::from_millis(20);

/// Answers callers until the process ends.
///
/// # Errors
/// The address is bad or taken, or there is no thread to be had.
pub fn start(at: SocketAddr, figures: Arc<Metrics>) -> Result<SocketAddr> {
    let listener = Async::<TcpListener>::bind(at)?;
    let address = listener.get_ref().local_addr()?;
    let thread = std::thread::Builder::new().name("console".into());
    thread.spawn(move || {
        let executor = Rc::new(LocalExecutor::new());
        async_io::block_on(executor.run(listen(&listener, &figures, &executor)));
    })?;
    Ok(address)
}

async fn listen(
    listener: &Async<TcpListener>,
    figures: &Arc<Metrics>,
    executor: &Rc<LocalExecutor<'static>>,
) {
    // The ends of channels whose other ends the callers hold: those that are closed have gone by themselves.
    let mut callers = VecDeque::new();
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(e) => {
                tracing::warn!("console: accept: {e}");
                Timer::after(BREATHE).await;
                continue;
            }
        };
        callers.retain(|c: &async_channel::Sender<()>| !c.is_closed());
        if callers.len() == MAX_CONNECTIONS {
            callers.pop_front();
        }
        let (stays, pushed) = async_channel::bounded(1);
        callers.push_back(stays);
        executor.spawn(serve(stream, pushed, Arc::clone(figures))).detach();
    }
}

/// One call; it ends early when `pushed` closes, to make room for another.
async fn serve(stream: Async<TcpStream>, pushed: Receiver<()>, figures: Arc<Metrics>) {
    let call = async {
        let mut from = &stream;
        let (mut bytes, mut chunk) = (Vec::new(), [0; 1024]);
        let reply = loop {
            if let Some(reply) = respond(&bytes, &figures) {
                break reply;
            }
            match from.read(&mut chunk).await? {
                0 => return Err(ErrorKind::UnexpectedEof.into()),
                n => bytes.extend_from_slice(&chunk[..n]),
            }
        };
        from.write_all(reply.as_bytes()).await?;
        stream.get_ref().shutdown(Shutdown::Write)?;
        let rest = async {
            while from.read(&mut chunk).await? > 0 {}
            Ok(())
        };
        with_timeout(LINGER, rest).await
    };
    let _ = with_timeout(CALL, call)
        .or(async {
            let _ = pushed.recv().await;
            Ok(())
        })
        .await;
}
