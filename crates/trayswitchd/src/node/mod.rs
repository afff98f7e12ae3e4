//! The daemon's own thread: a stakker actor that owns all decisions.
//!
//! Other threads send it [`Input`]s through a [`NodeHandle`] and read the
//! configuration in force from a shared [`View`].

mod actor;
mod view;

use std::{
    sync::{Arc, mpsc},
    thread,
    time::{Duration, Instant},
};

use eyre::{Result, eyre};
use stakker::{Stakker, actor, call, ret_nop};
use trayswitch_core::{
    config::Faults,
    error::RequestError,
    placement::{LoadReport, Request, Ticket},
};

use self::actor::NodeActor;
pub(crate) use self::view::{InForce, View};

/// Where a request was placed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Grant {
    /// Name of the endpoint.
    pub(crate) endpoint: Arc<str>,
    /// Priority for the engine.
    pub(crate) priority: u64,
}

/// Why a submitted file was not accepted.
#[derive(Debug, Clone)]
pub(crate) enum SubmitError {
    /// The file is at fault.
    Faults(Faults),
    /// Another file holds this version, or a later one is in force.
    Conflict(String),
}

/// What a submission came to.
#[derive(Debug, Clone)]
pub(crate) struct Accepted {
    /// The version that is accepted.
    pub(crate) version: u64,
    /// Content hash in hexadecimal.
    pub(crate) hash: String,
    /// Whether the same file had been accepted before.
    pub(crate) repeated: bool,
}

/// State of one endpoint as the scheduler sees it.
#[derive(Debug, Clone, serde::Serialize)]
pub(crate) struct EndpointStatus {
    pub(crate) name: String,
    pub(crate) hall: String,
    pub(crate) target: String,
    pub(crate) health: &'static str,
    pub(crate) running: u64,
    pub(crate) slots: u64,
    pub(crate) kv_used: u64,
    pub(crate) kv_tokens: u64,
}

/// Something that happened, for the node to act on.
pub(crate) enum Input {
    /// A request asks for a place; the answer goes to `reply`.
    Admit {
        /// The request.
        req: Request,
        /// Receives the grant or the error.
        reply: mpsc::Sender<Result<Grant, RequestError>>,
    },
    /// A running request has produced this many tokens.
    Progress {
        /// The request.
        ticket: Ticket,
        /// Tokens so far.
        tokens: u64,
    },
    /// A placed request ended.
    Finish {
        /// The request.
        ticket: Ticket,
        /// Tokens produced.
        tokens: u64,
        /// Whether it ended with its whole answer.
        whole: bool,
    },
    /// An endpoint failed to serve.
    EndpointFailed(Arc<str>),
    /// An endpoint is leaving, or has come back.
    EndpointLeaving {
        /// The endpoint.
        endpoint: Arc<str>,
        /// Whether it is leaving.
        leaving: bool,
    },
    /// An endpoint reported its load; the report is `age` old.
    Report {
        /// The endpoint.
        endpoint: Arc<str>,
        /// The report; its time is filled in by the node.
        report: LoadReport,
        /// How long ago it was true.
        age: Duration,
    },
    /// An operator submitted a file.
    Submit {
        /// Name of the file, for messages.
        file: String,
        /// Its text.
        text: String,
        /// Receives the outcome.
        reply: mpsc::Sender<Result<Accepted, SubmitError>>,
    },
    /// An operator asks for the state of the endpoints.
    Endpoints(mpsc::Sender<Vec<EndpointStatus>>),
}

/// Sends inputs to the node; cheap to clone.
#[derive(Clone)]
pub(crate) struct NodeHandle {
    tx: mpsc::Sender<Input>,
    view: Arc<View>,
}

impl NodeHandle {
    /// Starts the node's thread.
    pub(crate) fn spawn() -> Result<NodeHandle> {
        let (tx, rx) = mpsc::channel();
        let view = Arc::new(View::default());
        let shared = view.clone();
        thread::Builder::new().name("node".into()).spawn(move || run(&rx, shared))?;
        Ok(NodeHandle { tx, view })
    }

    /// What other threads may read directly.
    pub(crate) fn view(&self) -> &View {
        &self.view
    }

    /// Sends an input that needs no answer.
    pub(crate) fn send(&self, input: Input) {
        // The node's thread ends only with the process.
        let _ = self.tx.send(input);
    }

    /// Sends an input and waits for its answer.
    pub(crate) fn ask<T>(
        &self,
        limit: Duration,
        input: impl FnOnce(mpsc::Sender<T>) -> Input,
    ) -> Result<T> {
        let (tx, rx) = mpsc::channel();
        self.send(input(tx));
        rx.recv_timeout(limit).map_err(|_| eyre!("the daemon did not answer in time"))
    }
}

fn run(rx: &mpsc::Receiver<Input>, view: Arc<View>) {
    const LONGEST_SLEEP: Duration = Duration::from_secs(1);
    let mut stakker = Stakker::new(Instant::now());
    let s = &mut stakker;
    let node = actor!(s, NodeActor::init(view), ret_nop!());
    loop {
        s.run(Instant::now(), false);
        let wait = s.next_wait_max(Instant::now(), LONGEST_SLEEP, false);
        match rx.recv_timeout(wait) {
            Ok(input) => call!([node], input(input)),
            Err(mpsc::RecvTimeoutError::Timeout) => {}
            Err(mpsc::RecvTimeoutError::Disconnected) => return,
        }
        while let Ok(input) = rx.try_recv() {
            call!([node], input(input));
        }
    }
}
