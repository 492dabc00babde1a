//! Stand-in discovery: each proxy has agents of its own, so that what it was told, and when, is known.
use std::net::TcpStream;
use std::rc::Rc;
use std::time::Duration;

use async_io::{Async, Timer};
use futures_lite::{AsyncWriteExt, FutureExt};
use larklink_simulation::endpoint_list::EndpointListEntry;

use crate::stage::Stage;
use crate::wire::{Lines, listen};

const LOOKS_EVERY: Duration = Duration::from_millis(5);

/// Answers at that address for as long as the run lasts.
pub async fn serve(stage: Rc<Stage>, proxy: usize, at: std::net::SocketAddr) {
    let Ok(listener) = listen(at) else { return };
    while let Ok((stream, _)) = listener.accept().await {
        let connection = connection(Rc::clone(&stage), proxy, stream);
        stage.spawn(async { _ = connection.await });
    }
}

async fn connection(stage: Rc<Stage>, proxy: usize, stream: Async<TcpStream>) -> std::io::Result<()> {
    let mut lines = Lines::new(stream);
    while let Some(first) = lines.next().await? {
        while lines.next().await?.is_some_and(|l| !l.is_empty()) {}
        let text = String::from_utf8_lossy(&first).into_owned();
        let path = text.split(' ').nth(1).unwrap_or("");
        let number = |name: &str| {
            let query = path.split_once('?')?.1;
            query
                .split('&')
                .find_map(|p| p.split_once('=').filter(|(n, _)| *n == name))?
                .1
                .parse::<u64>()
                .ok()
        };
        let (after, wait) = (number("after"), number("wait_ms").unwrap_or(0));
        let newer = async {
            loop {
                let there = {
                    let world = stage.world.borrow();
                    world.endpoint_list.is_reachable(stage.now())
                        && after.is_none_or(|v| world.endpoint_list.version() > v)
                };
                if there {
                    return;
                }
                Timer::after(LOOKS_EVERY).await;
            }
        };
        let over = async {
            if after.is_none() {
                futures_lite::future::pending::<()>().await;
            }
            Timer::after(Duration::from_millis(wait)).await;
            // Out of reach, it does not answer at all.
            while !stage.world.borrow().endpoint_list.is_reachable(stage.now()) {
                Timer::after(LOOKS_EVERY).await;
            }
        };
        newer.or(over).await;
        let body = body(&stage, proxy, after);
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        (&lines.stream).write_all((head + &body).as_bytes()).await?;
    }
    Ok(())
}

fn body(stage: &Stage, proxy: usize, after: Option<u64>) -> String {
    let now = stage.now();
    let (version, lines) = stage.world.borrow_mut().notify_proxy(now, proxy, after);
    let entries: Vec<_> = lines.iter().map(|line| entry(stage, line)).collect();
    serde_json::json!({"index": version, "snapshot": after.is_none(), "endpoints": entries}).to_string()
}

/// A server's line in discovery's form.
pub fn entry(stage: &Stage, line: &EndpointListEntry) -> serde_json::Value {
    let weight = stage.scenario.each_server().nth(line.server).map_or(1.0, |s| s.weight);
    serde_json::json!({
        "name": format!("s-{}", line.server), "address": stage.server_at[line.server].to_string(),
        "zone": stage.scenario.zone(line.server), "type": "std", "group": 1, "status": line.status.name(), "weight": weight,
        "since_ms": stage.since_ms(line.started),
    })
}
