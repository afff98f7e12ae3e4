//! Questions to the node, and waiting for the answers.

use std::{sync::Arc, time::Duration};

use tokio::sync::oneshot;
use trayswitch_clock::Instant;
use trayswitch_core::{
    config::CheckedDocument,
    error::{ErrorKind, RequestError},
    node::{ActiveConfig, CallId, Input, NodeCall, NodeReply, SubmitError},
    placement::Request,
    state::{HallOrder, HallResult, HallsOut},
    stream_origin::{StreamKey, StreamOrigin, UnknownOrigin},
    throttle::{Permit, PermitRequest},
    wire::{AcceptedVersion, Submit},
};

use super::{NodeHandle, Placed, off_thread};

/// Pause before a change is compared again with the configuration that came between.
const REBASE_PAUSE: Duration = Duration::from_millis(3);
/// A placement is answered within its own time in the queue; this only bounds a fault.
const PLACE_LIMIT: Duration = Duration::from_secs(600);

/// The node answers within the asker's own limit; this only bounds a fault.
const LEAVE_SLACK: Duration = Duration::from_secs(1);

impl NodeHandle {
    /// Places a request; the guard frees the place when it is dropped.
    pub async fn place(&self, req: Request) -> Result<Placed, RequestError> {
        let call = self.0.view.next_call();
        let placed = Placed::new(self.clone(), call);
        match self.ask(call, NodeCall::Place(req), PLACE_LIMIT).await {
            Some(NodeReply::Placed(Ok(placement))) => Ok(placed.at(placement)),
            Some(NodeReply::Placed(Err(error))) => Err(error),
            _ => Err(RequestError::new(ErrorKind::NotReady, "the daemon is ending")),
        }
    }

    /// Asks for a permit at one of several endpoints that name limits, the best one first; waits so long for it
    /// if it is not given at once.
    pub(crate) async fn permit(
        &self,
        service: &str,
        endpoints: Vec<Arc<str>>,
        max_wait: Duration,
    ) -> Permit {
        let call = self.0.view.next_call();
        let ask = PermitRequest { requester: call, service: service.into(), endpoints, max_wait };
        match self.ask(call, NodeCall::Permit(ask), max_wait + LEAVE_SLACK).await {
            Some(NodeReply::Permit(permit)) => permit,
            _ => Permit::Denied { retry_after: LEAVE_SLACK },
        }
    }

    /// Asks where a stream began.
    pub(crate) async fn stream_origin(
        &self,
        key: StreamKey,
        limit: Duration,
    ) -> Result<StreamOrigin, UnknownOrigin> {
        let call = self.0.view.next_call();
        // The node keeps the limit itself; a little more lets its answer come.
        match self.ask(call, NodeCall::StreamOrigin { key, limit }, limit * 2).await {
            Some(NodeReply::StreamOrigin(origin)) => origin,
            _ => Err(UnknownOrigin::NoAnswer),
        }
    }

    /// Submits a document and waits for the outcome. One that comes too late is confirmed, not
    /// refused, if `or_newer` is set.
    pub async fn submit(
        &self,
        file: &str,
        checked: &CheckedDocument,
        or_newer: bool,
        limit: Duration,
    ) -> Result<AcceptedVersion, SubmitError> {
        let began = Instant::now();
        loop {
            let (checked, active_config) = (checked.clone(), self.0.view.active_config());
            let command = off_thread(move || checked.change_from(active_config.as_deref())).await;
            let submit = Submit { file: file.to_owned(), command, or_newer };
            let call = self.0.view.next_call();
            let left = limit.saturating_sub(began.elapsed());
            match self.ask(call, NodeCall::Submit(submit), left).await {
                Some(NodeReply::Submitted(Err(SubmitError::Rebase(_)))) if !left.is_zero() => {
                    // The version accepted meanwhile is about to come into force here too.
                    tokio::time::sleep(REBASE_PAUSE).await;
                }
                Some(NodeReply::Submitted(result)) => return result,
                _ => return Err(SubmitError::NoAnswer),
            }
        }
    }

    /// The newest accepted configuration, if that can be confirmed in time.
    pub async fn newest(&self, limit: Duration) -> Option<Arc<ActiveConfig>> {
        let call = self.0.view.next_call();
        // The node keeps the limit itself; a little more lets its answer come.
        match self.ask(call, NodeCall::ReadConfig { limit }, limit * 2).await {
            Some(NodeReply::Config(newest)) => newest,
            _ => None,
        }
    }

    /// The data halls that are out of service, if that can be confirmed in time.
    pub async fn halls_out(&self, limit: Duration) -> Option<HallsOut> {
        let call = self.0.view.next_call();
        // The node keeps the limit itself; a little more lets its answer come.
        match self.ask(call, NodeCall::ReadHallsOut { limit }, limit * 2).await {
            Some(NodeReply::HallsOut(halls)) => halls,
            _ => None,
        }
    }

    /// Takes a data hall out of service or gives it back; `None` if no quorum has answered in time.
    /// What is in force is confirmed first: an operator who has left meanwhile orders nothing, and
    /// an order that is held up from here on is overtaken by any other that comes.
    pub async fn order_hall(&self, hall: &str, out: bool, limit: Duration) -> Option<HallResult> {
        let began = Instant::now();
        let after = self.halls_out(limit).await?.number;
        let order = HallOrder { hall: hall.to_owned(), out, after };
        let left = limit.saturating_sub(began.elapsed());
        let call = self.0.view.next_call();
        match self.ask(call, NodeCall::ChangeHall { order, limit: left }, left).await {
            Some(NodeReply::HallChange(result)) => result,
            _ => None,
        }
    }

    /// Asks the node and waits for its answer.
    pub async fn ask(
        &self,
        call: CallId,
        question: NodeCall,
        limit: Duration,
    ) -> Option<NodeReply> {
        let (tx, rx) = oneshot::channel();
        self.0.calls.borrow_mut().insert(call, tx);
        let forget = ForgetCall { node: self, call };
        self.input(Input::Call(call, question));
        let answer = tokio::time::timeout(limit, rx).await.ok()?.ok();
        drop(forget);
        answer
    }
}

/// Forgets a question whose asker no longer waits.
struct ForgetCall<'a> {
    node: &'a NodeHandle,
    call: CallId,
}

impl Drop for ForgetCall<'_> {
    fn drop(&mut self) {
        self.node.0.calls.borrow_mut().remove(&self.call);
    }
}
