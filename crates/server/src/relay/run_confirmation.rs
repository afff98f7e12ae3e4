//! Confirms by question which run of an endpoint has answered: a run may have the name and the address of an
//! earlier one, and answers tell only the name.

use std::{cell::RefCell, collections::HashMap, rc::Rc, sync::Arc};

use tokio::sync::Mutex;
use trayswitch_clock::Instant;
use trayswitch_core::registry::RegisteredEndpoint;

use super::{Relay, local_placement::ask_start};

/// What an endpoint tells of the run that is known by its name.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RunStatus {
    Confirmed,
    /// Another run is at its address.
    Replaced,
    /// The endpoint does not answer, or not when it was started.
    Unknown,
}

impl RunStatus {
    /// The name in metrics.
    pub(super) fn name(self) -> &'static str {
        match self {
            RunStatus::Confirmed => "confirmed",
            RunStatus::Replaced => "replaced",
            RunStatus::Unknown => "unknown",
        }
    }
}

/// The last answer of an endpoint that told when its run was started.
#[derive(Debug, Clone, Copy)]
struct Confirmation {
    started_at: u64,
    asked_at: Instant,
}

/// The last confirmation of one endpoint. Locked while a question is on its way, so that streams that begin
/// together at an endpoint share the next one.
#[derive(Debug, Default)]
struct LastConfirmation(Mutex<Option<Confirmation>>);

/// The last confirmations of endpoints, by name.
#[derive(Debug, Default)]
pub(super) struct RunConfirmations(RefCell<HashMap<Arc<str>, Rc<LastConfirmation>>>);

impl Relay {
    /// Finds out whether `run`, which this daemon knew by then, is the one that has answered at its
    /// address at `since`. No other can have if it still runs afterwards.
    pub(super) async fn confirm_run_since(
        self: &Rc<Self>,
        run: &RegisteredEndpoint,
        since: Instant,
    ) -> RunStatus {
        // Where endpoints do not tell their start, each start has a name of its own.
        if run.started_at == 0 {
            return RunStatus::Confirmed;
        }
        let last = self.confirmation_of(&run.id);
        let mut last = last.0.lock().await;
        if last.is_some_and(|c| c.started_at == run.started_at && since <= c.asked_at) {
            return RunStatus::Confirmed;
        }
        let asked_at = Instant::now();
        match ask_start(self, run).await {
            Some(started_at) if started_at == run.started_at => {
                *last = Some(Confirmation { started_at, asked_at });
                RunStatus::Confirmed
            }
            Some(_) => RunStatus::Replaced,
            None => RunStatus::Unknown,
        }
    }

    fn confirmation_of(&self, endpoint: &Arc<str>) -> Rc<LastConfirmation> {
        let mut confirmations = self.run_confirmations.0.borrow_mut();
        if !confirmations.contains_key(endpoint) {
            let view = self.node.view();
            confirmations.retain(|known, _| view.endpoint(known).is_some());
        }
        confirmations.entry(endpoint.clone()).or_default().clone()
    }
}
