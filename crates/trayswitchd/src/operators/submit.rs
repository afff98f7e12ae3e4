//! Submitting a file: parsed and checked here, so that the node's thread only ever handles
//! what a file changes.

use std::{thread, time::Duration};

use trayswitch_clock::Instant;
use trayswitch_core::{
    config::{CheckedDocument, ConfigErrors, Document},
    node::{NodeCall, NodeReply, SubmitError},
    wire::{AcceptedVersion, Submit},
};

use crate::node::NodeHandle;

const LIMIT: Duration = Duration::from_secs(12);
const PAUSE: Duration = Duration::from_millis(5);

/// Submits a file and waits for the outcome.
pub(super) fn submit(
    node: &NodeHandle,
    file: &str,
    text: &str,
) -> Result<Result<AcceptedVersion, SubmitError>, ConfigErrors> {
    let checked = CheckedDocument::new(file, Document::parse(file, text)?)?;
    let began = Instant::now();
    loop {
        let question = NodeCall::Submit(Submit {
            or_newer: false,
            file: file.to_owned(),
            command: checked.change_from(node.view().active_config().as_deref()),
        });
        match node.ask(question, LIMIT) {
            Ok(NodeReply::Submitted(Err(SubmitError::Rebase(_)))) if began.elapsed() < LIMIT => {
                // The version accepted meanwhile is about to come into force here too.
                thread::sleep(PAUSE);
            }
            Ok(NodeReply::Submitted(result)) => return Ok(result),
            Ok(_) | Err(_) => return Ok(Err(SubmitError::NoAnswer)),
        }
    }
}
