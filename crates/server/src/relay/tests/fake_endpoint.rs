//! An endpoint that does what a test tells it.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use tokio::{
    net::TcpStream,
    sync::{mpsc, oneshot},
};

use super::protocol::{
    AFTER, COPY_PATH, ENDPOINT, FREE_PATH, ID, LEAVING, LIMIT, LOAD_PATH, MEMORY, NOT_RUN,
    RESERVATION, RESERVE_PATH, RETRY_AFTER, header,
};
use crate::edge::{self, AnswerError, Body, Bounds, Handler, LocalFuture, Server};

/// One attempt that came to the endpoint and waits for its answer.
pub(super) struct Arrival {
    /// The request's id.
    pub(super) id: String,
    /// The path.
    pub(super) path: String,
    /// The endpoint that it was meant for.
    pub(super) meant_for: String,
    /// The last event that the caller has.
    pub(super) after: Option<u64>,
    /// Where the memory lies that it goes on from.
    pub(super) memory: Option<String>,
    /// The place that was kept for it.
    pub(super) reservation: Option<String>,
    /// What the endpoint says of itself in the answer.
    signals: Vec<(&'static str, String)>,
    answer: oneshot::Sender<Response<Body>>,
}

impl Arrival {
    fn respond(self, status: StatusCode, body: Body) {
        let mut res = Response::builder().status(status).header(ID, &self.id);
        for (name, value) in self.signals {
            res = res.header(name, value);
        }
        // A caller that has left takes no answer; the test sees that by other means.
        let _ = self.answer.send(res.body(body).unwrap());
    }

    /// Lets the answer name a limit, or none.
    pub(super) fn with_rate_limit(self, limit: Option<&str>) -> Arrival {
        match limit {
            Some(limit) => self.with_header(LIMIT, limit),
            None => self,
        }
    }

    /// Lets the answer say that the endpoint is about to end.
    pub(super) fn with_leaving(self) -> Arrival {
        self.with_header(LEAVING, "1")
    }

    /// Lets the answer ask for this many seconds of back-off.
    pub(super) fn with_retry_after(self, retry_after: &str) -> Arrival {
        self.with_header(RETRY_AFTER, retry_after)
    }

    fn with_header(mut self, name: &'static str, value: &str) -> Arrival {
        self.signals.push((name, value.to_owned()));
        self
    }

    /// Answers with the whole body at once.
    pub(super) fn answer(self, status: u16, text: &'static str) {
        self.respond(StatusCode::from_u16(status).unwrap(), edge::full(text));
    }

    /// Says that it did not run.
    pub(super) fn reject_unexecuted(self, why: &str) {
        self.with_header(NOT_RUN, why).respond(StatusCode::SERVICE_UNAVAILABLE, edge::empty());
    }

    /// Says that it did not run, and asks for this many seconds of back-off.
    pub(super) fn reject(self, retry_after: &str) {
        self.with_retry_after(retry_after).reject_unexecuted("full");
    }

    /// Answers with the id of another request.
    pub(super) fn respond_as_another_request(self) {
        let crossed = Arrival { id: "another".into(), ..self };
        crossed.respond(StatusCode::OK, edge::full("not yours"));
    }

    /// Breaks the connection off without an answer.
    pub(super) fn drop_connection(self) {
        drop(self.answer);
    }

    /// Waits until nobody waits for the answer any more.
    pub(super) async fn wait_until_cancelled(&mut self) {
        self.answer.closed().await;
    }

    /// Streams the events of these ids and ends; returns the last event that the caller had.
    pub(super) async fn stream_all(self, ids: impl IntoIterator<Item = u64>) -> Option<u64> {
        let after = self.after;
        let stream = self.stream();
        stream.events(ids).await;
        stream.end();
        after
    }

    /// Begins a stream of events.
    pub(super) fn stream(self) -> Stream {
        let (tx, rx) = mpsc::channel(64);
        self.respond(StatusCode::OK, edge::streamed(rx));
        Stream { tx }
    }
}

/// The text of an event.
pub(super) fn event(id: u64) -> String {
    format!("id: {id}\ndata: token {id}\n\n")
}

/// The text of the events from one to the last.
pub(super) fn events_to(last: u64) -> String {
    (1..=last).map(event).collect()
}

/// A stream of events on its way.
pub(super) struct Stream {
    tx: mpsc::Sender<Result<Bytes, AnswerError>>,
}

impl Stream {
    /// Sends the events of these ids.
    pub(super) async fn events(&self, ids: impl IntoIterator<Item = u64>) {
        for id in ids {
            self.bytes(event(id)).await;
        }
    }

    /// Sends any bytes.
    pub(super) async fn bytes(&self, bytes: impl Into<Bytes>) {
        // The relay may have left; what it then does is what the test looks at.
        let _ = self.tx.send(Ok(bytes.into())).await;
    }

    /// Ends as it should.
    pub(super) fn end(self) {
        drop(self.tx);
    }

    /// Breaks off.
    pub(super) async fn abort(self) {
        let _ = self.tx.send(Err(AnswerError("cut".to_owned()))).await;
    }

    /// Waits until nobody reads any more.
    pub(super) async fn wait_until_cancelled(&self) {
        self.tx.closed().await;
    }
}

/// An order to copy a generation's memory that waits for its answer.
pub(super) struct PendingCopy {
    /// The generation.
    pub(super) id: String,
    /// Whether it is to stop.
    pub(super) last: bool,
    answer: oneshot::Sender<Response<Body>>,
}

impl PendingCopy {
    /// Answers with a status and the name of the copy, if there is one.
    pub(super) fn answer(self, status: u16, handle: &'static str) {
        let res = Response::builder().status(status).body(edge::full(handle)).unwrap();
        let _ = self.answer.send(res);
    }
}

/// What an engine says of its room, and what it was asked for.
#[derive(Default)]
struct Capacity {
    /// Tokens in memory.
    used: Cell<u64>,
    /// Whether it keeps a place for whoever asks.
    keeps: Cell<bool>,
    /// Seconds of back-off that it asks for when it is asked for its load.
    retry_after: RefCell<Option<String>>,
    /// Tokens of the places that it was asked for.
    asked: RefCell<Vec<u64>>,
}

impl Capacity {
    fn load(&self) -> Response<Body> {
        let mut res = Response::builder();
        if let Some(retry_after) = &*self.retry_after.borrow() {
            res = res.header(RETRY_AFTER, retry_after);
        }
        res.body(edge::full(self.used.get().to_string())).unwrap()
    }

    fn reserve(&self, tokens: u64) -> Response<Body> {
        self.asked.borrow_mut().push(tokens);
        let status =
            if self.keeps.get() { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
        Response::builder().status(status).body(edge::full("kept")).unwrap()
    }
}

/// Hands all that comes to the endpoint over to the test.
struct Inbox {
    capacity: Rc<Capacity>,
    arrivals: mpsc::UnboundedSender<Arrival>,
    copies: mpsc::UnboundedSender<PendingCopy>,
    freed: mpsc::UnboundedSender<String>,
}

impl Inbox {
    fn put(&self, req: &Request<Incoming>, answer: oneshot::Sender<Response<Body>>) {
        let headers = req.headers();
        let id: String = header(headers, ID).unwrap_or_default();
        if let Some(handle) = req.uri().path().strip_prefix(FREE_PATH) {
            let _ = self.freed.send(handle.to_owned());
            let _ = answer.send(Response::new(edge::empty()));
            return;
        }
        if req.uri().path() == LOAD_PATH {
            let _ = answer.send(self.capacity.load());
            return;
        }
        if let Some(tokens) = req.uri().path().strip_prefix(RESERVE_PATH) {
            let tokens = tokens.trim_start_matches('/').parse().unwrap();
            let _ = answer.send(self.capacity.reserve(tokens));
            return;
        }
        if req.uri().path().starts_with(COPY_PATH) {
            let last = req.uri().path().ends_with("/last");
            let _ = self.copies.send(PendingCopy { id, last, answer });
            return;
        }
        let arrival = Arrival {
            id,
            path: req.uri().path().to_owned(),
            meant_for: header(headers, ENDPOINT).unwrap_or_default(),
            after: header(headers, AFTER),
            memory: header(headers, MEMORY),
            reservation: header(headers, RESERVATION),
            signals: Vec::new(),
            answer,
        };
        let _ = self.arrivals.send(arrival);
    }
}

impl Handler for Inbox {
    fn handle(self: Rc<Self>, req: Request<Incoming>) -> LocalFuture<'static, Response<Body>> {
        let (tx, rx) = oneshot::channel();
        self.put(&req, tx);
        Box::pin(async move {
            match rx.await {
                Ok(res) => res,
                Err(_) => broken_off(),
            }
        })
    }

    fn bounds(&self) -> Bounds {
        Bounds {
            max_header: 16 * 1024,
            header_timeout: Duration::from_secs(60),
            idle_timeout: Duration::from_secs(60),
        }
    }
}

/// An answer whose body fails at once, so that the connection is closed before its end.
fn broken_off() -> Response<Body> {
    let (tx, rx) = mpsc::channel(1);
    let _ = tx.try_send(Err(AnswerError("broken off".to_owned())));
    Response::new(edge::streamed(rx))
}

/// A running endpoint.
pub(super) struct FakeEndpoint {
    server: Server,
    arrivals: mpsc::UnboundedReceiver<Arrival>,
    copies: mpsc::UnboundedReceiver<PendingCopy>,
    freed: mpsc::UnboundedReceiver<String>,
    capacity: Rc<Capacity>,
}

impl FakeEndpoint {
    /// Starts an endpoint that leaves all that comes to the test.
    pub(super) fn open() -> FakeEndpoint {
        let (arrivals_tx, arrivals) = mpsc::unbounded_channel();
        let (copies_tx, copies) = mpsc::unbounded_channel();
        let (freed_tx, freed) = mpsc::unbounded_channel();
        let capacity = Rc::new(Capacity::default());
        let inbox = Inbox {
            capacity: capacity.clone(),
            arrivals: arrivals_tx,
            copies: copies_tx,
            freed: freed_tx,
        };
        let server = edge::bind("127.0.0.1:0".parse().unwrap(), Rc::new(inbox)).unwrap();
        FakeEndpoint { server, arrivals, copies, freed, capacity }
    }

    /// Where it listens.
    pub(super) fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// What it says from now on: tokens in memory, and whether it keeps places.
    pub(super) fn set_capacity(&self, used: u64, keeps: bool) {
        self.capacity.used.set(used);
        self.capacity.keeps.set(keeps);
    }

    /// Seconds of back-off that it asks for from now on when it is asked for its load.
    pub(super) fn set_load_retry_after(&self, retry_after: &str) {
        *self.capacity.retry_after.borrow_mut() = Some(retry_after.to_owned());
    }

    /// Tokens of the places that it was asked for.
    pub(super) fn reserved_tokens(&self) -> Vec<u64> {
        self.capacity.asked.borrow().clone()
    }

    /// Ends: takes no connections any more. What runs here is broken off by whoever holds it.
    pub(super) async fn end(&self) {
        self.server.close();
        while TcpStream::connect(self.address()).await.is_ok() {
            tokio::task::yield_now().await;
        }
    }

    /// The next attempt that comes.
    pub(super) async fn arrival(&mut self) -> Arrival {
        self.arrivals.recv().await.expect("the endpoint lives as long as the test")
    }

    /// The next order to copy.
    pub(super) async fn copy(&mut self) -> PendingCopy {
        self.copies.recv().await.expect("the endpoint lives as long as the test")
    }

    /// Whether no order to copy has come that was not taken.
    pub(super) fn is_asked_for_no_copy(&mut self) -> bool {
        self.copies.try_recv().is_err()
    }

    /// The name of the next copy that may be forgotten.
    pub(super) async fn freed(&mut self) -> String {
        self.freed.recv().await.expect("the endpoint lives as long as the test")
    }

    /// Whether any attempt has come that was not taken.
    pub(super) fn is_idle(&mut self) -> bool {
        self.arrivals.try_recv().is_err()
    }
}

/// The next attempt at either endpoint.
pub(super) async fn next_arrival_at(e1: &mut FakeEndpoint, e2: &mut FakeEndpoint) -> Arrival {
    tokio::select! {
        arrival = e1.arrival() => arrival,
        arrival = e2.arrival() => arrival,
    }
}
