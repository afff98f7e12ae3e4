//! An endpoint under the control of a test.

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
    COPY_PATH, ENDPOINT, FREE_PATH, ID, KV_COPY, LAST_EVENT, LEAVING, LIMIT, LOAD_PATH,
    NOT_EXECUTED, RESERVATION, RESERVATION_PATH, RETRY_AFTER, header,
};
use crate::edge::{self, AnswerError, Body, Bounds, Handler, LocalFuture, Server};

/// An attempt that waits for its response.
pub(super) struct Arrival {
    /// The request id.
    pub(super) id: String,
    /// The request path.
    pub(super) path: String,
    /// The endpoint that the attempt was sent to.
    pub(super) endpoint_id: String,
    /// The last event that the caller received.
    pub(super) last_event_id: Option<u64>,
    /// The KV cache copy to resume from.
    pub(super) kv_copy: Option<String>,
    /// The reservation of the generation.
    pub(super) reservation: Option<String>,
    /// Signal headers of the response.
    signals: Vec<(&'static str, String)>,
    answer: oneshot::Sender<Response<Body>>,
}

impl Arrival {
    fn respond(self, status: StatusCode, body: Body) {
        let mut res = Response::builder().status(status).header(ID, &self.id);
        for (name, value) in self.signals {
            res = res.header(name, value);
        }
        // Fails if the caller has disconnected, which tests check elsewhere.
        let _ = self.answer.send(res.body(body).unwrap());
    }

    /// Adds a rate limit to the response.
    pub(super) fn with_rate_limit(self, limit: Option<&str>) -> Arrival {
        match limit {
            Some(limit) => self.with_header(LIMIT, limit),
            None => self,
        }
    }

    /// Marks the endpoint as leaving in the response.
    pub(super) fn with_leaving(self) -> Arrival {
        self.with_header(LEAVING, "1")
    }

    /// Adds a back-off, in seconds, to the response.
    pub(super) fn with_retry_after(self, retry_after: &str) -> Arrival {
        self.with_header(RETRY_AFTER, retry_after)
    }

    fn with_header(mut self, name: &'static str, value: &str) -> Arrival {
        self.signals.push((name, value.to_owned()));
        self
    }

    /// Responds with a complete body.
    pub(super) fn answer(self, status: u16, text: &'static str) {
        self.respond(StatusCode::from_u16(status).unwrap(), edge::full(text));
    }

    /// Responds that the request was not executed.
    pub(super) fn reject_unexecuted(self, why: &str) {
        self.with_header(NOT_EXECUTED, why).respond(StatusCode::SERVICE_UNAVAILABLE, edge::empty());
    }

    /// Responds that the request was not executed, with a back-off in seconds.
    pub(super) fn reject(self, retry_after: &str) {
        self.with_retry_after(retry_after).reject_unexecuted("full");
    }

    /// Responds with the id of another request.
    pub(super) fn respond_as_another_request(self) {
        let crossed = Arrival { id: "another".into(), ..self };
        crossed.respond(StatusCode::OK, edge::full("not yours"));
    }

    /// Closes the connection without a response.
    pub(super) fn drop_connection(self) {
        drop(self.answer);
    }

    /// Waits until the caller no longer waits for the response.
    pub(super) async fn wait_until_cancelled(&mut self) {
        self.answer.closed().await;
    }

    /// Streams the events of these ids and finishes; returns the last event that the caller had.
    pub(super) async fn stream_all(self, ids: impl IntoIterator<Item = u64>) -> Option<u64> {
        let after = self.last_event_id;
        let stream = self.stream();
        stream.send_events(ids).await;
        stream.finish();
        after
    }

    /// Begins an event stream.
    pub(super) fn stream(self) -> Stream {
        let (tx, rx) = mpsc::channel(64);
        self.respond(StatusCode::OK, edge::streamed(rx));
        Stream { tx }
    }
}

/// The encoded event of this id.
pub(super) fn event(id: u64) -> String {
    format!("id: {id}\ndata: token {id}\n\n")
}

/// The encoded events 1 to `is_final`.
pub(super) fn events_to(is_final: u64) -> String {
    (1..=is_final).map(event).collect()
}

/// An event stream in progress.
pub(super) struct Stream {
    tx: mpsc::Sender<Result<Bytes, AnswerError>>,
}

impl Stream {
    /// Sends the events of these ids.
    pub(super) async fn send_events(&self, ids: impl IntoIterator<Item = u64>) {
        for id in ids {
            self.send_bytes(event(id)).await;
        }
    }

    /// Sends raw bytes.
    pub(super) async fn send_bytes(&self, bytes: impl Into<Bytes>) {
        // The relay may have disconnected, which tests check elsewhere.
        let _ = self.tx.send(Ok(bytes.into())).await;
    }

    /// Ends the stream cleanly.
    pub(super) fn finish(self) {
        drop(self.tx);
    }

    /// Ends the stream with an error.
    pub(super) async fn abort(self) {
        let _ = self.tx.send(Err(AnswerError("cut".to_owned()))).await;
    }

    /// Waits until the stream is no longer read.
    pub(super) async fn wait_until_cancelled(&self) {
        self.tx.closed().await;
    }
}

/// A copy command that waits for its reply.
pub(super) struct PendingCopy {
    /// The request id of the generation.
    pub(super) id: String,
    /// Whether this is the final copy.
    pub(super) is_final: bool,
    answer: oneshot::Sender<Response<Body>>,
}

impl PendingCopy {
    /// Replies with a status and the id of the copy, if there is one.
    pub(super) fn answer(self, status: u16, handle: &'static str) {
        let res = Response::builder().status(status).body(edge::full(handle)).unwrap();
        let _ = self.answer.send(res);
    }
}

/// The capacity that an engine reports and the reservations it got.
#[derive(Default)]
struct Capacity {
    /// KV cache usage in tokens.
    kv_used: Cell<u64>,
    /// Reported start time of the run; 0 if it is not reported.
    started_at: Cell<u64>,
    /// Whether reservations are granted.
    grants_reservations: Cell<bool>,
    /// Back-off in seconds in responses to load requests.
    retry_after: RefCell<Option<String>>,
    /// Tokens of all reservation requests.
    reserved: RefCell<Vec<u64>>,
}

impl Capacity {
    fn load(&self) -> Response<Body> {
        let mut res = Response::builder();
        if let Some(retry_after) = &*self.retry_after.borrow() {
            res = res.header(RETRY_AFTER, retry_after);
        }
        let (kv_used, started_at) = (self.kv_used.get(), self.started_at.get());
        res.body(edge::full(format!("{kv_used} {started_at}"))).unwrap()
    }

    fn reserve(&self, tokens: u64) -> Response<Body> {
        self.reserved.borrow_mut().push(tokens);
        let status = if self.grants_reservations.get() {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        };
        Response::builder().status(status).body(edge::full("kept")).unwrap()
    }
}

/// Forwards all requests to the test.
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
        if let Some(tokens) = req.uri().path().strip_prefix(RESERVATION_PATH) {
            let tokens = tokens.trim_start_matches('/').parse().unwrap();
            let _ = answer.send(self.capacity.reserve(tokens));
            return;
        }
        if req.uri().path().starts_with(COPY_PATH) {
            let is_final = req.uri().path().ends_with("/last");
            let _ = self.copies.send(PendingCopy { id, is_final, answer });
            return;
        }
        let arrival = Arrival {
            id,
            path: req.uri().path().to_owned(),
            endpoint_id: header(headers, ENDPOINT).unwrap_or_default(),
            last_event_id: header(headers, LAST_EVENT),
            kv_copy: header(headers, KV_COPY),
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
                Err(_) => aborted_response(),
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

/// A response whose body fails at once, which closes the connection.
fn aborted_response() -> Response<Body> {
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
    /// Starts an endpoint that leaves all requests to the test.
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

    /// The listening address.
    pub(super) fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Sets the reported KV cache usage and whether reservations are granted.
    pub(super) fn set_capacity(&self, kv_used: u64, grants_reservations: bool) {
        self.capacity.kv_used.set(kv_used);
        self.capacity.grants_reservations.set(grants_reservations);
    }

    /// Sets the start time that the endpoint reports.
    pub(super) fn set_started_at(&self, started_at: u64) {
        self.capacity.started_at.set(started_at);
    }

    /// Sets the back-off, in seconds, in responses to load requests.
    pub(super) fn set_load_retry_after(&self, retry_after: &str) {
        *self.capacity.retry_after.borrow_mut() = Some(retry_after.to_owned());
    }

    /// Tokens of all reservation requests so far.
    pub(super) fn reserved_tokens(&self) -> Vec<u64> {
        self.capacity.reserved.borrow().clone()
    }

    /// Stops listening. Open connections are closed by whoever holds them.
    pub(super) async fn shut_down(&self) {
        self.server.close();
        while TcpStream::connect(self.address()).await.is_ok() {
            tokio::task::yield_now().await;
        }
    }

    /// The next attempt.
    pub(super) async fn next_arrival(&mut self) -> Arrival {
        self.arrivals.recv().await.expect("the endpoint outlives the test")
    }

    /// The next copy command.
    pub(super) async fn next_copy(&mut self) -> PendingCopy {
        self.copies.recv().await.expect("the endpoint outlives the test")
    }

    /// Whether no copy command is pending.
    pub(super) fn has_no_pending_copy(&mut self) -> bool {
        self.copies.try_recv().is_err()
    }

    /// The id of the next copy that is freed.
    pub(super) async fn next_freed(&mut self) -> String {
        self.freed.recv().await.expect("the endpoint outlives the test")
    }

    /// Whether no attempt is pending.
    pub(super) fn is_idle(&mut self) -> bool {
        self.arrivals.try_recv().is_err()
    }
}

/// The next attempt at either endpoint.
pub(super) async fn next_arrival_at(e1: &mut FakeEndpoint, e2: &mut FakeEndpoint) -> Arrival {
    tokio::select! {
        arrival = e1.next_arrival() => arrival,
        arrival = e2.next_arrival() => arrival,
    }
}
