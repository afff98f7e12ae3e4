//! The daemon's own thread: a stakker actor around the pure [`trayswitch_core::node::Node`].
//!
//! Other threads send it [`Event`]s through a [`NodeHandle`] and read the
//! configuration in force from a shared [`View`].

mod actor;
mod view;
mod writer;

use std::{
    process,
    sync::{Arc, mpsc},
    thread,
    time::{Duration, Instant},
};

use eyre::{Result, eyre};
use stakker::{Stakker, actor, call, ret_nop};
use trayswitch_clock as clock;
use trayswitch_core::{
    node::{CallId, Input, Node, NodeCall, NodeOptions, NodeReply, VmName},
    units,
    wire::Body,
};

use self::actor::NodeActor;
pub(crate) use self::view::View;
use crate::{
    link::{LinkHandle, LinkId},
    settings::Settings,
    telemetry::EventId,
};

/// Endpoints that register themselves are expected to send a heartbeat this often. None do at
/// this program's edges yet.
const ENDPOINT_HEARTBEAT: Duration = Duration::from_secs(1);

/// Something that another thread tells the node.
pub(crate) enum Event {
    /// An input of the core.
    Input(Input),
    /// A question, and where its answer goes.
    Ask(CallId, NodeCall, mpsc::Sender<NodeReply>),
    /// A link to another daemon is up.
    LinkUp(VmName, LinkHandle),
    /// A link is down.
    LinkDown(VmName, LinkId),
    /// A message came over a link.
    Message(VmName, LinkId, Body),
}

/// Sends events to the node; cheap to clone.
#[derive(Clone)]
pub(crate) struct NodeHandle {
    tx: mpsc::Sender<Event>,
    view: Arc<View>,
    /// From when on the node counts its time.
    start: clock::Instant,
}

impl NodeHandle {
    /// Starts the node's thread, on a control replica with the state in its data folder.
    pub(crate) fn spawn(settings: &Settings) -> Result<NodeHandle> {
        let (tx, rx) = mpsc::channel();
        let view = Arc::new(View::default());
        let start = clock::Instant::now();
        let handle = NodeHandle { tx, view: view.clone(), start };
        let options = options(settings)?;
        let stale_after = options.timing.stale_after;
        let (node, writer) = match &settings.data {
            Some(path) => {
                let opened = writer::open(path, random()?)?;
                let now = units::Instant(0);
                let node = Node::replica(&options, opened.replica, opened.restored, now);
                (node, Some(writer::spawn(opened.storage, handle.clone())?))
            }
            None => (Node::entry(&options, units::Instant(0)), None),
        };
        let run = move || {
            let _guard = EndsProcess;
            run(&rx, NodeActor::new(node, start, stale_after, view, writer));
        };
        thread::Builder::new().name("node".into()).spawn(run)?;
        Ok(handle)
    }

    /// The time as the node counts it.
    pub(crate) fn now(&self) -> units::Instant {
        units::Instant(self.start.elapsed().as_micros() as u64)
    }

    /// What other threads may read directly.
    pub(crate) fn view(&self) -> &Arc<View> {
        &self.view
    }

    /// Sends an event.
    pub(crate) fn send(&self, event: Event) {
        // The node's thread ends only with the process.
        let _ = self.tx.send(event);
    }

    /// Sends an input of the core.
    pub(crate) fn input(&self, input: Input) {
        self.send(Event::Input(input));
    }

    /// Asks and waits for the answer.
    pub(crate) fn ask(&self, question: NodeCall, limit: Duration) -> Result<NodeReply> {
        self.ask_as(self.view.next_call(), question, limit)
    }

    /// Asks under a known id and waits for the answer.
    pub(crate) fn ask_as(
        &self,
        call: CallId,
        question: NodeCall,
        limit: Duration,
    ) -> Result<NodeReply> {
        let (tx, rx) = mpsc::channel();
        self.send(Event::Ask(call, question, tx));
        rx.recv_timeout(limit).map_err(|_| eyre!("the daemon did not answer in time"))
    }
}

/// Ends the process when the node's thread ends: without it a daemon would only seem to live.
struct EndsProcess;

impl Drop for EndsProcess {
    fn drop(&mut self) {
        log::error!("{} the node's thread ended", EventId::NodeEnded);
        process::exit(1);
    }
}

/// A random number.
pub(crate) fn random() -> Result<u64> {
    getrandom::u64().map_err(|e| eyre!("no random numbers: {e}"))
}

fn options(settings: &Settings) -> Result<NodeOptions> {
    let replicas: Vec<VmName> = settings.replicas.iter().map(|r| r.vm.as_str().into()).collect();
    Ok(NodeOptions {
        vm: settings.vm.as_str().into(),
        hall: settings.hall.clone(),
        founders: replicas.clone(),
        max_voters: replicas.len(),
        takes_callers: true,
        polls_loads: true,
        seeds: replicas,
        endpoint_heartbeat: ENDPOINT_HEARTBEAT,
        timing: settings.timing.node(),
        seed: random()?,
        disabled: settings.disabled,
    })
}

fn run(rx: &mpsc::Receiver<Event>, actor: NodeActor) {
    const LONGEST_SLEEP: Duration = Duration::from_millis(500);
    let mut stakker = Stakker::new(Instant::now());
    let s = &mut stakker;
    let node = actor!(s, NodeActor::init(actor), ret_nop!());
    loop {
        s.run(Instant::now(), false);
        let wait = s.next_wait_max(Instant::now(), LONGEST_SLEEP, false);
        match rx.recv_timeout(wait) {
            Ok(event) => call!([node], event(event)),
            Err(mpsc::RecvTimeoutError::Timeout) => {}
            Err(mpsc::RecvTimeoutError::Disconnected) => return,
        }
        // All that has come meanwhile shares one run, and so one write.
        while let Ok(event) = rx.try_recv() {
            call!([node], event(event));
        }
    }
}
