//! A request's place at an endpoint, for as long as the request runs.

use std::sync::Arc;

use tokio::sync::mpsc;
use trayswitch_core::{
    node::{CallId, Input, Placement},
    placement::SampledEndpoint,
};

use super::NodeHandle;

/// An order to move a running request.
#[derive(Debug, Clone)]
pub struct MoveOrder {
    /// Where it runs.
    pub from: Arc<str>,
    /// Where it is to go on.
    pub to: Arc<str>,
}

/// A place at an endpoint. Dropping it tells the node that the request has ended.
pub struct Placed {
    node: NodeHandle,
    call: CallId,
    placement: Option<Placement>,
    tokens: u64,
    whole: bool,
}

impl Placed {
    pub(super) fn new(node: NodeHandle, call: CallId) -> Placed {
        Placed { node, call, placement: None, tokens: 0, whole: false }
    }

    pub(super) fn at(mut self, placement: Placement) -> Placed {
        self.placement = Some(placement);
        self
    }

    /// Name of the endpoint.
    pub fn endpoint(&self) -> &Arc<str> {
        &self.placement.as_ref().expect("only a granted place is handed out").endpoint
    }

    /// Priority for the engine.
    pub fn priority(&self) -> u64 {
        self.placement.as_ref().map_or(0, |placement| placement.priority)
    }

    /// The endpoints that this daemon has drawn by itself, if no scheduler has granted the place.
    pub fn drawn(&self) -> &[SampledEndpoint] {
        self.placement.as_ref().map_or(&[], |placement| &placement.sampled)
    }

    /// Tells how many tokens the request has produced.
    pub fn progress(&mut self, tokens: u64) {
        self.tokens = tokens;
        self.node.input(Input::Progress(self.call, tokens));
    }

    /// Notes that the request ended with its whole answer.
    pub fn finish(&mut self, tokens: u64) {
        self.tokens = tokens;
        self.whole = true;
    }

    /// Orders to move this request from now on.
    pub fn orders(&self) -> mpsc::UnboundedReceiver<MoveOrder> {
        let (tx, rx) = mpsc::unbounded_channel();
        self.node.0.moves.borrow_mut().insert(self.call, tx);
        rx
    }

    /// Tells what became of an order to move.
    pub fn moved(&mut self, at: &Arc<str>, done: bool) {
        if let Some(placement) = &mut self.placement {
            placement.endpoint = at.clone();
        }
        self.node.input(Input::Moved { call: self.call, at: at.clone(), done });
    }
}

impl Drop for Placed {
    fn drop(&mut self) {
        self.node.0.moves.borrow_mut().remove(&self.call);
        let (call, tokens, whole) = (self.call, self.tokens, self.whole);
        match &self.placement {
            Some(_) => self.node.input(Input::Finished { call, tokens, complete: whole }),
            None => self.node.input(Input::Cancelled(call)),
        }
    }
}
