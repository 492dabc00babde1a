//! Stand-in discovery. Each proxy has its own discovery addresses, so that the event log shows what it was notified of and
//! when.
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use async_io::{Async, Timer};
use futures_lite::{AsyncWriteExt, FutureExt, future};
use larklink_simulation::endpoint_list::EndpointListEntry;

use crate::context::TestbedContext;
use crate::protocol::{LineStream, listen};

/// How often a watch checks the list for a change.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Serves a proxy's requests at this address until the run ends. Each connection has its own task.
pub(crate) async fn serve(context: Rc<TestbedContext>, proxy: usize, address: SocketAddr) {
    let Ok(listener) = listen(address) else { return };
    while let Ok((stream, _)) = listener.accept().await {
        let connection = serve_connection(Rc::clone(&context), proxy, stream);
        context.spawn(async { _ = connection.await });
    }
}

async fn serve_connection(
    context: Rc<TestbedContext>,
    proxy: usize,
    stream: Async<TcpStream>,
) -> std::io::Result<()> {
    let mut lines = LineStream::new(stream);
    while let Some(request_line) = lines.next_line().await? {
        while lines.next_line().await?.is_some_and(|header| !header.is_empty()) {}
        let request = ListRequest::parse(&String::from_utf8_lossy(&request_line));
        request.wait(&context).await;
        let body = list_body(&context, proxy, request.after_version);
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        (&lines.stream).write_all((head + &body).as_bytes()).await?;
    }
    Ok(())
}

/// A request for the endpoint list.
struct ListRequest {
    /// The version that the proxy has, for a watch; `None` requests the complete list.
    after_version: Option<u64>,
    /// How long a watch waits for a change.
    max_wait: Duration,
}

impl ListRequest {
    fn parse(request_line: &str) -> Self {
        let path = request_line.split(' ').nth(1).unwrap_or("");
        let query = path.split_once('?').map_or("", |(_, query)| query);
        let number = |wanted: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(name, _)| *name == wanted)?.1.parse::<u64>().ok()
        };
        Self {
            after_version: number("after"),
            max_wait: Duration::from_millis(number("wait_ms").unwrap_or(0)),
        }
    }

    /// Waits until the request can be answered: with a newer list, or because the watch has timed out.
    async fn wait(&self, context: &TestbedContext) {
        let newer = async {
            while !self.has_update(context) {
                Timer::after(POLL_INTERVAL).await;
            }
        };
        let timed_out = async {
            if self.after_version.is_none() {
                future::pending::<()>().await;
            }
            Timer::after(self.max_wait).await;
            // While a fault makes discovery unreachable, it does not answer at all.
            while !context.model.borrow().endpoint_list.is_reachable(context.now()) {
                Timer::after(POLL_INTERVAL).await;
            }
        };
        newer.or(timed_out).await;
    }

    fn has_update(&self, context: &TestbedContext) -> bool {
        let model = context.model.borrow();
        let list = &model.endpoint_list;
        list.is_reachable(context.now()) && self.after_version.is_none_or(|version| list.version() > version)
    }
}

/// Serializes the complete list, or the entries that changed after a version, as discovery sends them.
fn list_body(context: &TestbedContext, proxy: usize, after_version: Option<u64>) -> String {
    let (version, entries) = context.model.borrow_mut().notify_proxy(context.now(), proxy, after_version);
    let entries: Vec<_> = entries.iter().map(|entry| entry_json(context, entry)).collect();
    serde_json::json!({"index": version, "snapshot": after_version.is_none(), "endpoints": entries})
        .to_string()
}

/// Serializes an entry of the list as discovery sends it.
pub(crate) fn entry_json(context: &TestbedContext, entry: &EndpointListEntry) -> serde_json::Value {
    let weight =
        context.scenario.server_groups_by_index().nth(entry.server).map_or(1.0, |server| server.weight);
    serde_json::json!({
        "name": format!("s-{}", entry.server), "address": context.addresses.servers[entry.server].to_string(),
        "zone": context.scenario.zone(entry.server), "type": "std", "group": 1, "status": entry.status.name(),
        "weight": weight, "since_ms": context.to_unix_ms(entry.started_at),
    })
}
