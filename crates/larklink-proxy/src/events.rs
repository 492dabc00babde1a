//! What passes between the sockets and the owner of the decisions: events one way, orders the other.
use std::net::SocketAddr;
use std::time::Instant;

use async_channel::{Receiver, Sender};
use larklink_balancer::types::{Note, Outcome, Scope, Session, Time};

use crate::list::Endpoint;

/// Events that may wait before those who send them have to.
pub const WAITING: usize = 1024;

#[derive(Debug)]
pub enum Event {
    Open {
        session: u32,
        /// When its line had come: its client's time runs from there, however long the queue.
        came: Instant,
        ask: Session,
        orders: Sender<Order>,
    },
    /// Asks for the address of the server that a standing connection was at.
    Stands {
        session: u32,
        server: u32,
        orders: Sender<Order>,
    },
    /// It stands there again.
    Adopt {
        session: u32,
        ask: Session,
        server: u32,
    },
    Stood {
        session: u32,
        dial: u8,
    },
    Settled {
        session: u32,
        dial: u8,
        how: Outcome,
        over: bool,
    },
    Left {
        session: u32,
    },
    Noted {
        session: u32,
        dial: u8,
        note: Note,
    },
    /// A client's line went to the server and one came back.
    Echo {
        session: u32,
        dial: u8,
        server: u32,
        took: Time,
    },
    Probed {
        server: u32,
        how: Outcome,
        took: Time,
        report: Vec<f64>,
    },
    List(Scope, Vec<Endpoint>),
    ListFailed,
    /// This process takes connections in the place of another one of the proxy, which may still dial.
    Succeeds,
    /// Asks for the list as it stands.
    Listed(Sender<Vec<Endpoint>>),
}

/// What a session's task is to do.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Order {
    /// Its first byte may go out up to `by`, and it is given up at `until`.
    Dial {
        dial: u8,
        server: u32,
        address: Option<SocketAddr>,
        until: Instant,
        by: Instant,
    },
    /// The first byte of that dial may go out up to here only.
    SendBy {
        dial: u8,
        by: Instant,
    },
    Refuse {
        retry_after: Time,
    },
    TearDown,
    Move,
}

#[derive(Clone)]
pub struct Queue(Sender<Event>);

impl Queue {
    pub async fn send(&self, event: Event) {
        // It only fails when the proxy is about to exit.
        let _ = self.0.send(event).await;
    }
}

pub fn queue() -> (Queue, Receiver<Event>) {
    let (sender, receiver) = async_channel::bounded(WAITING);
    (Queue(sender), receiver)
}
