//! Requests under which endpoints have ended: showing them, and clearing one.

use std::time::Duration;

use serde::Serialize;
use serde_json::json;
use tiny_http::{Method, Request};
use trayswitch_core::{
    node::{NodeCall, NodeReply},
    quarantine::{ContentDigest, Suspect},
};
use trayswitch_http::respond_json;

use super::failure;
use crate::{callers::Callers, telemetry::EventId};

/// Time allowed for an order: a change of the leader takes half a second.
const LIMIT: Duration = Duration::from_secs(5);

/// A request under which endpoints have ended.
#[derive(Debug, Serialize)]
struct Shown {
    request: String,
    quarantined: bool,
    ended: u32,
    in_trials: u32,
    /// The last endpoints that ended under it, the newest last.
    endpoints: Vec<String>,
    /// When the last of them ended, in ms since the Unix epoch.
    last_ms: u64,
}

impl From<Suspect> for Shown {
    fn from(suspect: Suspect) -> Shown {
        Shown {
            request: suspect.request.to_string(),
            quarantined: suspect.crashes.is_quarantined(),
            ended: suspect.crashes.total,
            in_trials: suspect.crashes.in_trials,
            endpoints: suspect.runs.into_iter().map(|run| run.endpoint).collect(),
            last_ms: suspect.updated_at.0,
        }
    }
}

/// Answers a request at or below `/v1/suspects`.
pub(super) fn serve(callers: &Callers, req: Request) -> std::io::Result<()> {
    let path = req.url().to_owned();
    let method = req.method().clone();
    match (method, path.strip_prefix("/v1/suspects")) {
        (Method::Get, Some("")) => list(callers, req),
        (_, Some("")) => failure(req, 405, "send GET to /v1/suspects"),
        (Method::Delete, Some(rest)) if rest.starts_with('/') => {
            match ContentDigest::parse(&rest[1..]) {
                Some(request) => clear(callers, request, req),
                None => {
                    failure(req, 422, "expected the digest of a request, 32 hexadecimal digits")
                }
            }
        }
        (_, Some(rest)) if rest.starts_with('/') => {
            failure(req, 405, &format!("send DELETE to {path}"))
        }
        _ => failure(req, 404, &format!("there is no {path}")),
    }
}

fn list(callers: &Callers, req: Request) -> std::io::Result<()> {
    match callers.node().ask(NodeCall::Suspects, LIMIT) {
        Ok(NodeReply::Suspects(Some(suspects))) => {
            let suspects: Vec<Shown> = suspects.into_iter().map(Shown::from).collect();
            respond_json(req, 200, &[], &suspects)
        }
        Ok(NodeReply::Suspects(None)) => {
            failure(req, 409, "this daemon keeps no records: ask a control VM")
        }
        _ => failure(req, 503, "the daemon did not answer in time"),
    }
}

fn clear(callers: &Callers, request: ContentDigest, req: Request) -> std::io::Result<()> {
    let answer = callers.node().ask(NodeCall::ClearSuspect { request, limit: LIMIT }, LIMIT);
    log::info!("{} an operator clears request {request}: {answer:?}", EventId::SuspectChanged);
    match answer {
        Ok(NodeReply::SuspectCleared(Some(cleared))) => {
            let answer = json!({ "request": request.to_string(), "cleared": cleared });
            respond_json(req, 200, &[], &answer)
        }
        _ => failure(req, 503, "no leader answered in time; give the order again to find out"),
    }
}
