//! Takes HTTP connections and bounds what a caller may do to them.

mod body;
mod connection;
mod listener;
#[cfg(test)]
mod tests;

use std::{pin::Pin, rc::Rc, time::Duration};

use eyre::Result;
use http::{Request, Response};
use hyper::body::Incoming;
use tokio::{net::TcpStream, sync::watch};

use crate::overload::LinkMonitor;

pub(crate) use self::body::read_within;
pub use self::{
    body::{AnswerError, Body, ReadError, empty, full, read_whole, streamed},
    listener::{Server, bind, bind_gated},
};

/// A future on the daemon's one thread.
pub type LocalFuture<'a, T> = Pin<Box<dyn Future<Output = T> + 'a>>;

/// Answers requests.
pub trait Handler {
    /// Answers one request. Dropped when the caller leaves.
    fn handle(self: Rc<Self>, req: Request<Incoming>) -> LocalFuture<'static, Response<Body>>;

    /// Bounds for connections, as they are now.
    fn bounds(&self) -> Bounds;
}

/// Lets connections in before anything is read of them.
pub trait Gate {
    /// Admits a connection; an error closes it.
    fn admit(&self, socket: TcpStream) -> LocalFuture<'static, Result<TcpStream>>;

    /// Whether new connections are taken at all now; else they are refused.
    fn takes_connections(&self) -> watch::Receiver<bool> {
        watch::Sender::new(true).subscribe()
    }

    /// Whether a further request may be read from a connection; else the connection is closed.
    fn may_read(&self) -> bool {
        true
    }

    /// The link that its connections cross, if that is measured.
    fn link(&self) -> Option<Rc<LinkMonitor>> {
        None
    }
}

/// How long a caller waits for the rest of a response, which carries it as an extension.
#[derive(Debug, Clone, Copy)]
pub(crate) struct TimeLeft(pub(crate) Duration);

/// What a caller may do to a connection.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    /// Largest head of a request, in bytes.
    pub max_header: usize,
    /// Longest time from the first byte of a head to its last.
    pub header_timeout: Duration,
    /// Longest rest between two requests. A response of which nothing is read for as long is given up once
    /// nobody waits for it.
    pub idle_timeout: Duration,
}
