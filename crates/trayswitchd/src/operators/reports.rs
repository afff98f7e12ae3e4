//! What operators are shown.

use std::{sync::Arc, time::Duration};

use serde::Serialize;
use trayswitch_core::{
    config::WorkspaceSpec,
    node::{ControlStatus, EndpointStatus, NodeCall, NodeReply},
    placement::LoadSnapshot,
    units::Hex,
};

use crate::{
    callers::Callers,
    link::{self, Traffic},
    telemetry::ClassReport,
};

const LIMIT: Duration = Duration::from_secs(2);

/// State of one daemon.
#[derive(Debug, Serialize)]
pub(super) struct Status {
    vm: String,
    hall: String,
    ready: bool,
    fresh: bool,
    stopping: bool,
    version: u64,
    hash: String,
    requests: usize,
    traffic: Traffic,
    control: ControlStatus,
    classes: Vec<ClassReport>,
}

/// A workspace as configured.
#[derive(Debug, Serialize)]
pub(super) struct WorkspaceReport {
    name: String,
    tier: String,
    share: u64,
    max_running: u64,
    max_waiting: u64,
}

pub(super) fn status(callers: &Callers) -> Status {
    let view = callers.node().view();
    let active_config = view.active_config();
    let control = match callers.node().ask(NodeCall::ControlStatus, LIMIT) {
        Ok(NodeReply::ControlStatus(control)) => control,
        _ => ControlStatus::default(),
    };
    Status {
        vm: callers.settings().vm.clone(),
        hall: callers.settings().hall.clone(),
        ready: view.ready(),
        fresh: view.fresh(),
        stopping: view.stopping(),
        version: active_config.as_ref().map_or(0, |f| f.version),
        hash: active_config.map(|f| f.hash.to_string()).unwrap_or_default(),
        requests: view.requests(),
        traffic: link::traffic(),
        control,
        classes: callers.histograms().report(),
    }
}

pub(super) fn endpoints(callers: &Callers) -> Vec<EndpointStatus> {
    match callers.node().ask(NodeCall::Endpoints, LIMIT) {
        Ok(NodeReply::Endpoints(endpoints)) => endpoints,
        _ => Vec::new(),
    }
}

/// The load as the leader sees it; `None` on other daemons. Fails if the node does not answer in time.
pub(super) fn load(callers: &Callers) -> Result<Option<LoadSnapshot>, ()> {
    match callers.node().ask(NodeCall::Load, LIMIT) {
        Ok(NodeReply::Load(load)) => Ok(load),
        _ => Err(()),
    }
}

pub(super) fn workspaces(callers: &Callers) -> Vec<WorkspaceReport> {
    let Some(active_config) = callers.node().view().active_config() else { return Vec::new() };
    let report = |(name, spec): (&Arc<str>, &Arc<WorkspaceSpec>)| WorkspaceReport {
        name: name.to_string(),
        tier: spec.tier.clone(),
        share: spec.share,
        max_running: spec.max_running,
        max_waiting: spec.max_waiting,
    };
    active_config.config.workspaces.iter().map(report).collect()
}

pub(super) fn hex(bytes: &[u8]) -> String {
    Hex(bytes).to_string()
}
