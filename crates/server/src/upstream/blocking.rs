//! Exchanges for threads that block: each has a thread of its own, on which the asynchronous stack runs.

use std::{
    io::{self, Read},
    net::SocketAddr,
    thread,
    time::Duration,
};

use bytes::{Buf, Bytes};
use http::{Request, response};
use http_body_util::Full;
use tokio::{
    sync::{mpsc, oneshot},
    task::LocalSet,
    time::timeout,
};

use super::exchange::{OpenAnswer, SendError, exchange};

const STACK: usize = 256 * 1024;

/// Time limits of a response that is read piece by piece.
#[derive(Debug, Clone, Copy)]
pub struct StreamLimits {
    /// Time for connecting.
    pub connect: Duration,
    /// Time for the head, and between two pieces of the body.
    pub idle: Duration,
}

/// The body of a response. Dropping it closes the connection.
pub struct BlockingBody {
    rx: mpsc::Receiver<io::Result<Bytes>>,
    piece: Bytes,
}

impl Read for BlockingBody {
    fn read(&mut self, buf: &mut [u8]) -> io::Result<usize> {
        while self.piece.is_empty() {
            match self.rx.blocking_recv() {
                Some(piece) => self.piece = piece?,
                None => return Ok(0),
            }
        }
        let len = buf.len().min(self.piece.len());
        self.piece.copy_to_slice(&mut buf[..len]);
        Ok(len)
    }
}

/// Sends a request; returns the head of the response, and its body on the way.
pub fn open_blocking(
    address: SocketAddr,
    req: Request<Full<Bytes>>,
    limits: StreamLimits,
) -> Result<(response::Parts, BlockingBody), SendError> {
    let (head_tx, head_rx) = oneshot::channel();
    let (tx, rx) = mpsc::channel(1);
    let run = move || {
        let opened = block_on(async {
            let open = match open_within(address, req, limits).await {
                Ok(open) => open,
                Err(e) => return drop(head_tx.send(Err(e))),
            };
            if head_tx.send(Ok(open.head)).is_ok() {
                pass_on(open.body, &tx, limits.idle).await;
            }
        });
        if let Err(e) = opened {
            log::warn!("no thread for a response: {e}");
        }
    };
    let thread = thread::Builder::new().name("response".into()).stack_size(STACK).spawn(run);
    thread.map_err(|e| SendError::NotSent(e.to_string()))?;
    // The request may have been sent before.
    let ended = |_| SendError::Lost("the thread of the response has ended".to_owned());
    let head = head_rx.blocking_recv().map_err(ended)??;
    Ok((head, BlockingBody { rx, piece: Bytes::new() }))
}

async fn open_within(
    address: SocketAddr,
    req: Request<Full<Bytes>>,
    limits: StreamLimits,
) -> Result<OpenAnswer, SendError> {
    let late = |_| SendError::Lost(format!("no response within {:?}", limits.idle));
    timeout(limits.connect + limits.idle, exchange(address, req, limits.connect))
        .await
        .map_err(late)?
}

async fn pass_on(
    mut body: super::AnswerBody,
    tx: &mpsc::Sender<io::Result<Bytes>>,
    idle: Duration,
) {
    loop {
        let piece = tokio::select! {
            () = tx.closed() => return,
            piece = timeout(idle, body.next()) => piece,
        };
        let piece = match piece {
            Ok(None) => return,
            Ok(Some(piece)) => piece.map_err(io::Error::other),
            Err(_) => Err(io::Error::new(io::ErrorKind::TimedOut, "the response is silent")),
        };
        let is_last = piece.is_err();
        if tx.send(piece).await.is_err() || is_last {
            return;
        }
    }
}

/// Sends a request and reads the whole response of at most `max_body` bytes within a time limit.
pub fn fetch_blocking(
    address: SocketAddr,
    req: Request<Full<Bytes>>,
    connect: Duration,
    limit: Duration,
    max_body: usize,
) -> Result<(response::Parts, Bytes), SendError> {
    let whole = async {
        let OpenAnswer { head, body } = exchange(address, req, connect.min(limit)).await?;
        let body = body.collect(max_body).await.map_err(SendError::Lost)?;
        Ok((head, body))
    };
    let late = |_| SendError::Lost(format!("no whole response within {limit:?}"));
    let fetched = block_on(async { timeout(limit, whole).await.map_err(late)? });
    fetched.map_err(|e| SendError::NotSent(e.to_string()))?
}

fn block_on<T>(run: impl Future<Output = T>) -> io::Result<T> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    Ok(LocalSet::new().block_on(&runtime, run))
}
