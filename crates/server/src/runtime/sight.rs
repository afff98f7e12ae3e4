//! Tells in logs and metrics what holds the daemon's only thread up, and what is large on links.

use std::time::Duration;

use trayswitch_core::{
    agreement::Role,
    node::{FetchSummary, ReplicaRole, SentChange, VmName},
    placement::{Refusal, RejectionContext},
    quarantine::{CrashCounts, Suspect},
    throttle::{LimitChange, RateLimit, describe_limit},
};

use super::writer::Done;
use crate::telemetry::{EventId, Metrics};

/// A thread that stands still for this long is told of: half of the time between two heartbeats
/// of control replicas, and far over what an input takes on a daemon that is not busy.
const LONG_HOLD: Duration = Duration::from_millis(50);
/// A write of this many bytes is told of: it keeps a link of 10 Mbit/s busy for 50 ms.
const LARGE_WRITE: usize = 64 * 1024;
/// A write of the data folder that waits and takes this long together is told of.
const SLOW_WRITE: Duration = Duration::from_millis(100);

/// Notes that the node has decided on an input.
pub(super) fn input_decided(metrics: &Metrics, kind: &str, took: Duration, outputs: usize) {
    metrics.node_input(kind, took);
    if LONG_HOLD <= took {
        log::warn!(
            event = EventId::ThreadHeldUp.number(), input = kind,
            took_ms = took.as_millis() as u64, outputs = outputs;
            "the node took long over an input"
        );
    }
}

/// Notes how late the node's timer came.
pub(super) fn timer_came(metrics: &Metrics, late: Duration) {
    metrics.timer_late(late);
    if LONG_HOLD <= late {
        log::warn!(
            event = EventId::ThreadHeldUp.number(), input = "-",
            took_ms = late.as_millis() as u64;
            "the timer came late: something held the thread up"
        );
    }
}

/// Tells what the control replica on this VM is from now on.
pub(super) fn role_changed(metrics: &Metrics, role: &ReplicaRole) {
    metrics.term(role.term);
    let name = match role.role {
        Role::Leader if role.established => "leader",
        Role::Leader => "elected",
        Role::Candidate => "candidate",
        Role::PreCandidate => "pre-candidate",
        Role::Follower => "follower",
        Role::Suspended => "suspended",
    };
    log::info!(
        event = EventId::RoleChanged.number(), role = name, term = role.term,
        index = role.last_index, commit = role.commit, voters = role.voters, linked = role.linked;
        "the control replica has another role or term"
    );
}

/// Notes a write of the data folder.
pub(super) fn data_written(metrics: &Metrics, done: &Done) {
    let file = if done.number.is_some() { "log" } else { "endpoints" };
    metrics.data_written(file, done.waited, done.took);
    if SLOW_WRITE <= done.waited + done.took {
        log::warn!(
            event = EventId::SlowWrite.number(), file = file,
            waited_ms = done.waited.as_millis() as u64, took_ms = done.took.as_millis() as u64;
            "a write of the data folder waited or took long"
        );
    }
}

/// Tells of what is on record about a request under which endpoints have ended.
pub(super) fn suspect_changed(suspect: &Suspect) {
    let endpoints: Vec<&str> = suspect.runs.iter().map(|run| run.endpoint.as_str()).collect();
    let CrashCounts { total: ended, in_trials } = suspect.crashes;
    let end = match suspect.crashes {
        standing if standing.is_quarantined() => "quarantined",
        standing if standing.is_suspect() => "suspect",
        _ => "clear",
    };
    log::info!(
        event = EventId::SuspectChanged.number(), request = suspect.request.to_string().as_str(),
        end = end, ended = ended, in_trials = in_trials, endpoints = endpoints.join(",").as_str();
        "endpoints have ended under a request, or it is no suspect any more"
    );
}

/// Tells that an endpoint names a limit, another one, or none any more.
pub(super) fn limit_changed(
    metrics: &Metrics,
    endpoint: &str,
    limit: Option<RateLimit>,
    change: LimitChange,
    limited: usize,
) {
    metrics.limited_endpoints(limited);
    let limit = describe_limit(limit);
    log::info!(
        event = EventId::LimitChanged.number(), endpoint = endpoint, end = change.as_str(),
        limit = limit.as_str();
        "an endpoint says how many requests a second it takes from all daemons"
    );
}

/// Tells that an endpoint has asked this daemon to back off, or that the time is over.
pub(super) fn backoff_changed(
    metrics: &Metrics,
    endpoint: &str,
    left: Option<Duration>,
    backing_off: usize,
) {
    metrics.backing_off(backing_off);
    let end = if left.is_some() { "begins" } else { "ends" };
    log::info!(
        event = EventId::BackoffChanged.number(), endpoint = endpoint, end = end,
        backoff_ms = left.unwrap_or_default().as_millis() as u64, backing_off = backing_off;
        "an endpoint wants no requests of this daemon, or takes them again"
    );
}

/// Tells of a request that the scheduler has rejected, and of the state behind the decision.
pub(super) fn rejected(entry: &VmName, refusal: &Refusal) {
    let RejectionContext { expected_wait, ahead, work_ahead, rate, next_return } = refusal.context;
    let known = |value: Option<f64>| value.map_or("-".to_owned(), |value| format!("{value:.0}"));
    let retry_after = refusal.error.retry_after().unwrap_or_default();
    log::info!(
        event = EventId::RequestRejected.number(), entry = &**entry,
        request = refusal.digest.map(|digest| digest.to_string()).unwrap_or_default().as_str(),
        end = refusal.error.kind.answer().code, detail = refusal.error.message.as_str(),
        service = &*refusal.row.service, route = &*refusal.row.kind,
        workspace = &*refusal.row.workspace, rank = refusal.rank,
        waited_ms = refusal.waited.as_millis() as u64,
        expected_wait_ms = expected_wait.as_millis() as u64, ahead = ahead,
        work_ahead = known(work_ahead).as_str(), rate = known(rate).as_str(),
        return_reserved = next_return.is_some(), retry_after_ms = retry_after.as_millis() as u64;
        "the scheduler has rejected a request"
    );
}

/// Tells how many rejections have no line of their own.
pub(super) fn rejections_omitted(count: u64) {
    log::info!(
        event = EventId::RequestRejected.number(), omitted = count;
        "lines of rejections were left out"
    );
}

/// Notes that the VM was suspended.
pub(super) fn was_suspended(metrics: &Metrics, time: Duration) {
    metrics.suspended(time);
    log::warn!(
        event = EventId::Suspended.number(), took_ms = time.as_millis() as u64;
        "the VM was suspended"
    );
}

/// Notes a change of the configuration, or a piece of it, that was sent.
pub(super) fn change_sent(metrics: &Metrics, change: &SentChange) {
    let how = if change.requested_by.is_some() { "asked" } else { "unasked" };
    metrics.change_sent(how, change.daemons, change.bytes);
    if change.requested_by.is_none() || change.last {
        log::info!(
            event = EventId::ChangeSent.number(), config = change.change.version, base = change.change.base,
            bytes = change.bytes, daemons = change.daemons, how = how,
            peer = change.requested_by.as_deref().unwrap_or("-");
            "a change of the configuration was told or sent"
        );
    }
}

/// Tells what it took to fetch a change of the configuration.
pub(super) fn config_fetched(fetch: &FetchSummary) {
    let FetchSummary { version, base, pieces, requests, sources, took } = *fetch;
    log::info!(
        event = EventId::ConfigFetched.number(), config = version, base = base, pieces = pieces,
        requests = requests, sources = sources, took_ms = took.as_millis() as u64;
        "a change of the configuration was fetched"
    );
}

/// Notes a write to a link; `waited` is how long its oldest message had waited.
pub(super) fn written(
    metrics: &Metrics,
    peer: &VmName,
    bytes: usize,
    waited: Duration,
    took: Duration,
) {
    metrics.link_write(took);
    if LARGE_WRITE <= bytes {
        log::info!(
            event = EventId::LargeMessage.number(), peer = &**peer, bytes = bytes,
            waited_ms = waited.as_millis() as u64, took_ms = took.as_millis() as u64;
            "a large message was written to a link"
        );
    }
}
