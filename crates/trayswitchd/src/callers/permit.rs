//! Whether an attempt may be sent: of requests under which endpoints have ended one try runs at a
//! time, and in the end none.

use std::{
    io::{self, Read},
    net::{SocketAddr, TcpStream},
    sync::Arc,
    time::Duration,
};

use trayswitch_core::{
    error::RequestError,
    node::{CallId, FailedAttempt, Input, NodeCall, NodeReply, ProbeOutcome, TrialAnswer},
    quarantine::{ContentDigest, MAX_TRIAL_WAIT, quarantined, trial_wait_expired},
};

use super::context::Callers;
use crate::{endpoint::EndpointError, node::NodeHandle, telemetry::EventId};

/// The node answers within the time that a try may wait; this only bounds a fault.
const SLACK: Duration = Duration::from_secs(1);
/// Longest time until a connection to an endpoint of the same region is up.
const CONNECT: Duration = Duration::from_millis(500);

/// How long it is watched whether an endpoint closes a connection after an attempt there was lost: many
/// times what a process takes from closing its first connection to closing its last. The next attempt waits.
const WATCHED: Duration = Duration::from_millis(200);
/// Connections of one endpoint that may be closed meanwhile; one that closes more does so by habit.
const LOOKS: usize = 4;

/// Lets one attempt go ahead. Dropping it ends the trial that it may be.
pub(super) struct Permit {
    node: NodeHandle,
    trial: Option<CallId>,
    apart: bool,
    whole: bool,
}

impl Permit {
    fn free(node: &NodeHandle) -> Permit {
        Permit { node: node.clone(), trial: None, apart: false, whole: false }
    }

    fn trial(node: &NodeHandle, call: CallId, apart: bool) -> Permit {
        Permit { node: node.clone(), trial: Some(call), apart, whole: false }
    }

    /// Whether the attempt runs apart from other requests.
    pub(super) fn is_apart(&self) -> bool {
        self.apart
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if let Some(call) = self.trial {
            self.node.input(Input::TrialEnded { call, complete: self.whole });
        }
    }
}

impl Callers {
    /// Lets an attempt of a request go ahead; one of a suspect waits for its turn.
    pub(super) fn permit(&self, request: &ContentDigest) -> Result<Permit, RequestError> {
        let node = self.node();
        if !node.view().has_suspects() {
            return Ok(Permit::free(node));
        }
        let call = node.view().next_call();
        let question = NodeCall::Trial { contents: vec![*request], limit: MAX_TRIAL_WAIT };
        match node.ask_as(call, question, MAX_TRIAL_WAIT + SLACK) {
            Ok(NodeReply::Trial(TrialAnswer::Granted { isolated: apart, .. })) => {
                log::info!("{} request {request} runs as a trial", EventId::TrialAsked);
                Ok(Permit::trial(node, call, apart))
            }
            Ok(NodeReply::Trial(TrialAnswer::Clear)) => Ok(Permit::free(node)),
            Ok(NodeReply::Trial(TrialAnswer::Quarantined)) => Err(quarantined()),
            _ => {
                node.input(Input::TrialEnded { call, complete: false });
                Err(trial_wait_expired())
            }
        }
    }

    /// Notes that an attempt has brought its whole answer.
    pub(super) fn answered_whole(&self, request: &ContentDigest, permit: &mut Permit) {
        if permit.trial.is_some() {
            permit.whole = true;
        } else if self.node().view().has_suspects() {
            self.node().input(Input::SoundContents(vec![*request]));
        }
    }

    /// Tells the node of an attempt that was lost if its endpoint has ended.
    pub(super) fn broke_off(
        &self,
        request: &ContentDigest,
        permit: &Permit,
        endpoint: &Arc<str>,
        address: SocketAddr,
        error: &EndpointError,
    ) {
        if error.is_not_run() || !has_ended(address, error) {
            return;
        }
        let event = EventId::EndedUnder;
        log::info!("{event} {endpoint} has ended under request {request}: {error}");
        // The next attempt may come before the node has told the view.
        self.node().view().set_has_suspects(true);
        self.node().input(Input::FailedAttempt(FailedAttempt {
            request: *request,
            parts: Vec::new(),
            endpoint: endpoint.clone(),
            started_at: None,
            probe: ProbeOutcome::ConnectionRefused,
            trial: permit.trial,
            trial_of: permit.trial.map(|_| *request),
        }));
    }
}

/// Whether an endpoint has ended after an attempt there was lost: nothing listens any more, or it runs
/// again and knows nothing of what ran. One that is about to end may still take a connection, and closes
/// it: a process that ends closes its connections one after the other.
pub(super) fn has_ended(address: SocketAddr, error: &EndpointError) -> bool {
    if matches!(error, EndpointError::Gone) {
        return true;
    }
    for _ in 0..LOOKS {
        match TcpStream::connect_timeout(&address, CONNECT) {
            Ok(connection) if is_closed(&connection) => {}
            Ok(_) => return false,
            Err(e) => return e.kind() == io::ErrorKind::ConnectionRefused,
        }
    }
    false
}

/// Whether the other side soon closes a connection on which it was asked nothing.
fn is_closed(mut connection: &TcpStream) -> bool {
    let limited = connection.set_read_timeout(Some(WATCHED));
    let read = limited.and_then(|()| connection.read(&mut [0]));
    match read {
        Ok(bytes) => bytes == 0,
        Err(e) => !matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut),
    }
}
