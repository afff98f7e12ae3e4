//! Data halls: taking them out of service, giving them back, and showing them.

use std::{collections::BTreeMap, time::Duration};

use serde::Serialize;
use serde_json::json;
use tiny_http::{Method, Request};
use trayswitch_clock::Instant;
use trayswitch_core::{
    node::{NodeCall, NodeReply},
    state::{HallOrder, HallResult, HallsOut, check_hall_name},
};
use trayswitch_http::{read_body, respond_json};

use super::{failure, reports};
use crate::{callers::Callers, node::NodeHandle, telemetry::EventId};

/// Time allowed for an order: a change of the leader takes half a second.
const LIMIT: Duration = Duration::from_secs(5);

/// One data hall.
#[derive(Debug, Serialize)]
struct Hall {
    name: String,
    out: bool,
    /// Endpoints there that this daemon knows.
    endpoints: usize,
}

/// Answers a request below `/v1/halls`.
pub(super) fn serve(callers: &Callers, mut req: Request) -> std::io::Result<()> {
    let path = req.url().to_owned();
    let method = req.method().clone();
    if path == "/v1/halls" {
        return match method {
            Method::Get => list(callers, req),
            _ => failure(req, 405, "send GET to /v1/halls"),
        };
    }
    let named = path.strip_prefix("/v1/halls/").and_then(|rest| rest.rsplit_once('/'));
    let (hall, out) = match named {
        Some((hall, "out")) => (hall, true),
        Some((hall, "back")) => (hall, false),
        _ => return failure(req, 404, &format!("there is no {path}")),
    };
    if method != Method::Post {
        return failure(req, 405, &format!("send POST to {path}"));
    }
    if !read_body(&mut req, 1).is_ok_and(|body| body.is_empty()) {
        return failure(req, 400, "an order about a data hall has no body");
    }
    if let Err(problem) = check_hall_name(hall) {
        return failure(req, 422, &problem);
    }
    order(callers, hall, out, req)
}

fn order(callers: &Callers, hall: &str, out: bool, req: Request) -> std::io::Result<()> {
    let result = carry_out(callers.node(), hall, out);
    log::info!("{} hall {hall}, out {out}: {result:?}", EventId::HallOrdered);
    let name = match result {
        Some(HallResult::Done) => "done",
        Some(HallResult::Repeated) => "repeated",
        Some(HallResult::Overtaken) => {
            let problem = "the opposite was ordered meanwhile; look at `trayswitch hall list`";
            return failure(req, 409, problem);
        }
        Some(HallResult::TooMany) => {
            return failure(req, 409, "too many data halls are out of service");
        }
        None => {
            let problem = "no leader answered in time; the order may or may not be in force: give \
                           it again to find out";
            return failure(req, 503, problem);
        }
    };
    let endpoints = halls(callers, &HallsOut::default());
    let endpoints = endpoints.get(hall).map_or(0, |hall| hall.endpoints);
    let answer = json!({ "hall": hall, "out": out, "result": name, "endpoints": endpoints });
    respond_json(req, 200, &[], &answer)
}

/// Confirms what is in force and gives the order on top of it.
fn carry_out(node: &NodeHandle, hall: &str, out: bool) -> Option<HallResult> {
    let began = Instant::now();
    let after = confirmed(node)?.number;
    let order = HallOrder { hall: hall.to_owned(), out, after };
    let limit = LIMIT.saturating_sub(began.elapsed());
    match node.ask(NodeCall::ChangeHall { order, limit }, limit) {
        Ok(NodeReply::HallChange(result)) => result,
        _ => None,
    }
}

fn confirmed(node: &NodeHandle) -> Option<HallsOut> {
    match node.ask(NodeCall::ReadHallsOut { limit: LIMIT }, LIMIT) {
        Ok(NodeReply::HallsOut(halls)) => halls,
        _ => None,
    }
}

fn list(callers: &Callers, req: Request) -> std::io::Result<()> {
    let Some(out) = confirmed(callers.node()) else {
        return failure(req, 503, "no leader confirmed in time what is in force");
    };
    let halls: Vec<Hall> = halls(callers, &out).into_values().collect();
    respond_json(req, 200, &[], &halls)
}

/// The data halls that the configuration, endpoints or orders name.
fn halls(callers: &Callers, out: &HallsOut) -> BTreeMap<String, Hall> {
    let active_config = callers.node().view().active_config();
    let configured =
        active_config.iter().flat_map(|active_config| active_config.config.halls.keys().cloned());
    let mut halls = BTreeMap::new();
    for name in configured.chain(out.names.iter().cloned()) {
        let hall = Hall { out: out.contains(&name), endpoints: 0, name: name.clone() };
        halls.insert(name, hall);
    }
    for endpoint in reports::endpoints(callers) {
        let name = endpoint.hall;
        let hall = Hall { out: out.contains(&name), endpoints: 0, name: name.clone() };
        halls.entry(name).or_insert(hall).endpoints += 1;
    }
    halls
}
