//! A try of a request under which endpoints have ended, for as long as it runs.

use std::time::Duration;

use trayswitch_core::{
    node::{CallId, Input, NodeCall, NodeReply, TrialAnswer},
    quarantine::ContentDigest,
};

use super::NodeHandle;

/// The leader's word comes within the asker's own limit; this only bounds a fault.
const SLACK: Duration = Duration::from_secs(1);

/// A try that the leader lets run, as the only one of its request. Dropping it tells the node that it
/// has ended.
pub struct Trial {
    node: NodeHandle,
    call: CallId,
    content: ContentDigest,
    apart: bool,
    begun: bool,
    whole: bool,
}

impl Trial {
    /// Names it towards the node.
    pub(crate) fn call(&self) -> CallId {
        self.call
    }

    /// The content that is tried.
    pub(crate) fn content(&self) -> ContentDigest {
        self.content
    }

    /// Whether it runs apart from other requests.
    pub(crate) fn is_apart(&self) -> bool {
        self.apart
    }

    /// Notes that it has begun to answer well.
    pub(crate) fn begin(&mut self) {
        if !std::mem::replace(&mut self.begun, true) {
            self.node.input(Input::TrialStarted(self.call));
        }
    }

    /// Notes that it has brought its whole answer.
    pub(crate) fn finish(&mut self) {
        self.whole = true;
    }
}

impl Drop for Trial {
    fn drop(&mut self) {
        self.node.input(Input::TrialEnded { call: self.call, complete: self.whole });
    }
}

/// What became of the question whether a try may run.
pub(crate) enum Tried {
    /// It may, as a trial.
    Granted(Trial),
    /// What was most suspect of it no longer is.
    Clear,
    /// The request is sent to no endpoint.
    Quarantined,
    /// Others wait for the same, or no leader answers.
    NotNow,
}

impl NodeHandle {
    /// Asks whether a try of a request with these contents may run, and waits so long for the answer.
    pub(crate) async fn try_suspect(&self, contents: Vec<ContentDigest>, limit: Duration) -> Tried {
        let call = self.view().next_call();
        // Dropped before it is granted, it takes the question back.
        let mut trial = Trial {
            node: self.clone(),
            call,
            content: ContentDigest::default(),
            apart: false,
            begun: false,
            whole: false,
        };
        match self.ask(call, NodeCall::Trial { contents, limit }, limit + SLACK).await {
            Some(NodeReply::Trial(TrialAnswer::Granted { content, isolated: apart })) => {
                trial.content = content;
                trial.apart = apart;
                Tried::Granted(trial)
            }
            Some(NodeReply::Trial(TrialAnswer::Clear)) => Tried::Clear,
            Some(NodeReply::Trial(TrialAnswer::Quarantined)) => Tried::Quarantined,
            _ => Tried::NotNow,
        }
    }
}
