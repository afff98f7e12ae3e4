//! What an emulated endpoint has run, for an independent check.

use std::sync::Mutex;

use serde::{Deserialize, Serialize};

/// One run of a request.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq, Eq)]
pub(crate) struct Run {
    /// The `X-Request-Id` that the request carried.
    pub(crate) request_id: String,
    /// The call or model.
    pub(crate) name: String,
    /// Body of a call, or the name of the generation.
    pub(crate) detail: String,
}

/// All runs, in order.
#[derive(Debug, Default)]
pub(crate) struct Journal {
    runs: Mutex<Vec<Run>>,
}

impl Journal {
    /// Adds one run.
    pub(crate) fn add(&self, run: Run) {
        self.runs.lock().expect("no journal user panics").push(run);
    }

    /// A copy of all runs.
    pub(crate) fn runs(&self) -> Vec<Run> {
        self.runs.lock().expect("no journal user panics").clone()
    }
}
