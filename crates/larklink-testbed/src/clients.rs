//! Scripted clients: a connection each, through the front, noting all that comes.
use std::net::TcpStream;
use std::rc::Rc;
use std::time::Duration;

use async_channel::Receiver;
use async_io::{Async, Timer};
use futures_lite::FutureExt;
use larklink_simulation::event_log::{ClientRequest, ClientResponse, ConnectionEnd, EventKind};

use crate::stage::{Order, Stage};
use crate::wire::{Lines, Next, answer, client_line, next, numbers, open_line};

/// After a final answer that ends the session, more is looked for until the end, or for so long.
const MORE: Duration = Duration::from_millis(400);

/// Opens a session, at the proxy that the front deals it to.
pub fn start(stage: &Rc<Stage>, ask: ClientRequest) {
    let now = stage.now();
    let Some(proxy) = stage.world.borrow_mut().assign_proxy(now, &ask) else { return };
    let (to, orders) = async_channel::unbounded();
    stage.clients.borrow_mut().insert(ask.id, to);
    let stage = Rc::clone(stage);
    Rc::clone(&stage).spawn(async move {
        let id = ask.id;
        client(&stage, ask, proxy, &orders).await;
        stage.clients.borrow_mut().remove(&id);
        stage.stir();
    });
}

async fn client(stage: &Rc<Stage>, ask: ClientRequest, proxy: usize, orders: &Receiver<Order>) {
    let (id, listener) = (ask.id, ask.listener);
    let text = open_line(&ask, &stage.scenario.listeners[listener].get_ref().name);
    let stream = Async::<TcpStream>::connect(stage.front_at[proxy]).await;
    // What follows from its line is to stand behind it in the book.
    stage.world.borrow_mut().event_log.record(stage.now(), EventKind::Opened { request: ask, proxy });
    let Ok(stream) = stream else {
        return stage.world.borrow_mut().proxy_unreachable(stage.now(), id, proxy);
    };
    stage.connected(proxy);
    let mut lines = Lines::new(stream);
    if lines.say(&text).await.is_err() {
        return stage.world.borrow_mut().ended_without_response(stage.now(), id, ConnectionEnd::Broken);
    }
    match next(&mut lines, orders).await {
        Next::Order(Order::Drop) => return lines.cut(),
        Next::Order(_) => return,
        Next::Line(Ok(Some(line))) => match answer(&line) {
            Some(ClientResponse::Accepted) => {
                stage.world.borrow_mut().response_received(stage.now(), id, ClientResponse::Accepted);
            }
            other => {
                let now = stage.now();
                match other {
                    Some(answer) => stage.world.borrow_mut().response_received(now, id, answer),
                    None => {
                        let mut world = stage.world.borrow_mut();
                        world.event_log.record(now, EventKind::MalformedResponse { id });
                        world.clients.ended_without_response(now, id);
                    }
                }
                stage.stir();
                return nothing_more(stage, id, &mut lines).await;
            }
        },
        Next::Line(end) => {
            let how = if end.is_ok() { ConnectionEnd::Closed } else { ConnectionEnd::Broken };
            return stage.world.borrow_mut().ended_without_response(stage.now(), id, how);
        }
    }
    stage.stir();
    let asks = stage.scenario.listeners[listener].get_ref().deaf_kb;
    if asks > 0 {
        return deaf(stage, id, asks, lines, orders).await;
    }
    stand(stage, id, listener, lines, orders).await;
}

async fn nothing_more(stage: &Stage, id: u64, lines: &mut Lines) {
    let line = async { matches!(lines.next().await, Ok(Some(_))) };
    let limit = async {
        Timer::after(MORE).await;
        false
    };
    if line.or(limit).await {
        stage.world.borrow_mut().event_log.record(stage.now(), EventKind::ExtraMessage { id });
    }
}

/// Asks for much, says its lines and reads nothing, until it is let go.
async fn deaf(stage: &Rc<Stage>, id: u64, asks: usize, lines: Lines, orders: &Receiver<Order>) {
    let mut said = lines.say(&format!("G {asks}\r\n")).await;
    while let Ok(order) = orders.recv().await {
        match order {
            Order::Line(number) if said.is_ok() => said = lines.say(&client_line(number, stage.now())).await,
            Order::Line(_) => break,
            Order::Drop => return lines.cut(),
            Order::Leave => return,
        }
    }
    stage.world.borrow_mut().connection_ended(stage.now(), id, ConnectionEnd::Broken);
}

/// A session that was accepted, to its end.
async fn stand(stage: &Rc<Stage>, id: u64, listener: usize, mut lines: Lines, orders: &Receiver<Order>) {
    let mut moved = false;
    // When each line went out; they come back in their order.
    let mut out = std::collections::VecDeque::new();
    loop {
        match next(&mut lines, orders).await {
            Next::Order(Order::Line(number)) => {
                let now = stage.now();
                out.push_back((number, now));
                // If it cannot be said, how it ended shows on the way back.
                let _ = lines.say(&client_line(number, now)).await;
            }
            Next::Order(Order::Drop) => return lines.cut(),
            Next::Order(Order::Leave) => return,
            Next::Line(Ok(Some(line))) => {
                let now = stage.now();
                if line == b"MOVE" {
                    moved = true;
                } else if let Some(numbers) = numbers(&line) {
                    let came = out.iter().position(|&sent| numbers.get(..2) == Some(&[sent.0, sent.1]));
                    match came {
                        Some(at) => {
                            out.drain(..=at);
                            let back = numbers.get(2).copied();
                            let took = stage.world.borrow_mut().message_returned(now, id, numbers[0], back);
                            if let Some(took) = took {
                                let _ = stage.trips.borrow_mut()[listener].record(took);
                            }
                        }
                        None => {
                            stage.world.borrow_mut().event_log.record(now, EventKind::MessageAltered { id })
                        }
                    }
                } else if answer(&line).is_some() {
                    stage.world.borrow_mut().event_log.record(now, EventKind::ExtraMessage { id });
                } else if !line.starts_with(b"LOAD ") && line != b"BYE" {
                    stage.world.borrow_mut().event_log.record(now, EventKind::MessageAltered { id });
                }
            }
            Next::Line(end) => {
                let how = match end {
                    _ if moved => ConnectionEnd::Migrated,
                    Ok(_) => ConnectionEnd::Closed,
                    Err(_) => ConnectionEnd::Broken,
                };
                stage.world.borrow_mut().connection_ended(stage.now(), id, how);
                return stage.stir();
            }
        }
    }
}
