//! Stand-in servers: each listens on an address of its own, and says what the world's server says.
use std::net::TcpStream;
use std::rc::Rc;

use async_channel::Receiver;
use async_io::Async;
use futures_lite::FutureExt;
use larklink_simulation::event_log::AttemptEnd;
use larklink_simulation::scenario::ListenerSpec;
use larklink_simulation::server::{ConnectionId, ServerMessage};

use crate::stage::{Listening, Stage};
use crate::wire::{Lines, Next, head, listen, next, numbers, server_line};

/// Listens while the world's server does.
pub async fn serve(stage: Rc<Stage>, server: usize, orders: Receiver<Listening>, from_start: bool) {
    let mut listener = from_start.then(|| listen(stage.server_at[server])).and_then(Result::ok);
    loop {
        let order = async { Err(orders.recv().await) };
        let next = async {
            match &listener {
                Some(listener) => Ok(listener.accept().await),
                None => futures_lite::future::pending().await,
            }
        };
        match next.or(order).await {
            Ok(Ok((stream, _))) => {
                let conn = stage.next_conn.replace(stage.next_conn.get() + 1);
                stage.spawn(connection(Rc::clone(&stage), server, conn, stream));
            }
            Ok(Err(_)) => futures_lite::future::yield_now().await,
            Err(Ok(Listening::Yes)) if listener.is_none() => listener = listen(stage.server_at[server]).ok(),
            Err(Ok(Listening::Yes)) => {}
            Err(Ok(Listening::No)) => listener = None,
            Err(Err(_)) => return,
        }
    }
}

async fn connection(stage: Rc<Stage>, server: usize, conn: ConnectionId, stream: Async<TcpStream>) {
    let (to, says) = async_channel::unbounded();
    stage.conns.borrow_mut().insert(conn, (server, to));
    let mut lines = Lines::new(stream);
    let (session, end) = talk(&stage, server, conn, &mut lines, &says).await;
    stage.conns.borrow_mut().remove(&conn);
    if let Some(id) = session {
        let now = stage.now();
        stage.world.borrow_mut().attempt_ended(now, server, conn, id, end);
    }
    match end {
        AttemptEnd::Reset => lines.cut(),
        // What the other side has still on its way is no reason to break what it is to read.
        AttemptEnd::Abandoned | AttemptEnd::Accepted => {}
        AttemptEnd::Rejected | AttemptEnd::Failed | AttemptEnd::Migrated => {
            let _ = lines.stream.get_ref().shutdown(std::net::Shutdown::Write);
            let rest = async { while let Ok(Some(_)) = lines.next().await {} };
            let limit = async { _ = async_io::Timer::after(std::time::Duration::from_millis(500)).await };
            rest.or(limit).await;
        }
    }
}

/// Until one side ends it: whose session it was, and how it ended.
async fn talk(
    stage: &Rc<Stage>,
    server: usize,
    conn: ConnectionId,
    lines: &mut Lines,
    says: &Receiver<ServerMessage>,
) -> (Option<u64>, AttemptEnd) {
    let mut session = None;
    loop {
        match next(lines, says).await {
            Next::Line(Ok(Some(line))) => {
                let now = stage.now();
                if let Some(kb) =
                    line.strip_prefix(b"G ").and_then(|n| std::str::from_utf8(n).ok()?.parse().ok())
                {
                    if flood(lines, kb).await.is_err() {
                        return (session, AttemptEnd::Abandoned);
                    }
                    continue;
                }
                let deeds = match (session, head(&line)) {
                    (Some(id), _) => {
                        let sent = numbers(&line).and_then(|n| n.get(1).copied());
                        stage.world.borrow_mut().message_to_server(now, server, conn, id, sent, line)
                    }
                    (None, Some((id, listener, told))) => {
                        let named = |l: &toml::Spanned<ListenerSpec>| l.get_ref().name == listener;
                        let Some(listener) = stage.scenario.listeners.iter().position(named) else {
                            let _ = lines.say("SYNTAX\r\n").await;
                            return (None, AttemptEnd::Failed);
                        };
                        session = Some(id);
                        stage.world.borrow_mut().attempt_started(now, server, conn, id, told, listener)
                    }
                    (None, None) if line == b"STATS" || line == b"PING" => {
                        stage.world.borrow_mut().servers[server].check_health(now, conn);
                        Vec::new()
                    }
                    (None, None) => {
                        let _ = lines.say("SYNTAX\r\n").await;
                        return (None, AttemptEnd::Failed);
                    }
                };
                stage.carry(deeds);
                stage.stir();
            }
            Next::Line(_) => return (session, AttemptEnd::Abandoned),
            Next::Order(say) => {
                let now = stage.now();
                let Some(text) = server_line(&say, conn, now) else { return (session, AttemptEnd::Reset) };
                let wrote = lines.say(&text).await;
                match say {
                    ServerMessage::Accepted => {
                        let id = session.unwrap_or_default();
                        stage.world.borrow_mut().attempt_ended(now, server, conn, id, AttemptEnd::Accepted);
                    }
                    ServerMessage::AtCapacity => return (session, AttemptEnd::Rejected),
                    ServerMessage::Failed => return (session, AttemptEnd::Failed),
                    ServerMessage::Migrate => return (session, AttemptEnd::Migrated),
                    _ => {}
                }
                if wrote.is_err() {
                    return (session, AttemptEnd::Abandoned);
                }
            }
        }
    }
}

/// As many lines as a deaf client asked for.
async fn flood(lines: &Lines, kb: usize) -> std::io::Result<()> {
    let line = format!("{}\r\n", "y".repeat(1022));
    for _ in 0..kb {
        lines.say(&line).await?;
    }
    Ok(())
}
