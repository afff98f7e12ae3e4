//! Emulated endpoints that speak the protocols of docs/ENDPOINTS.md.

pub(crate) mod engine;
mod faults;
mod journal;
pub(crate) mod service;

use std::{net::SocketAddr, sync::Arc, thread};

use serde::Deserialize;
use tiny_http::{Method, Request};
use trayswitch_http::{HttpServer, SocketTimeouts, read_body, respond_json};

pub(crate) use self::{
    faults::{Fault, Faults},
    journal::{Journal, Run},
};

/// Largest body that an emulated endpoint takes.
const MAX_BODY: usize = 4 * 1024 * 1024;

/// An emulated endpoint behind its listener.
pub(crate) trait Endpoint: Send + Sync {
    /// Serves one request; called on a thread of its own.
    fn serve(&self, req: Request);

    /// The faults that are switched on.
    fn faults(&self) -> &Faults;

    /// What has run.
    fn journal(&self) -> &Journal;
}

/// Binds an endpoint; requests to `/emulator/` steer it.
pub(crate) fn bind(
    address: SocketAddr,
    endpoint: Arc<dyn Endpoint>,
) -> std::io::Result<HttpServer> {
    let handle = move |req: Request| {
        let endpoint = endpoint.clone();
        thread::spawn(move || match req.url() {
            "/emulator/faults" => set_fault(req, &*endpoint),
            "/emulator/turned-away" => {
                answer(respond_json(req, 200, &[], &endpoint.faults().turned_away()));
            }
            "/emulator/journal" => answer(respond_json(req, 200, &[], &endpoint.journal().runs())),
            _ => endpoint.serve(req),
        });
    };
    HttpServer::bind(address, SocketTimeouts::default(), Arc::new(handle))
}

/// Reads a JSON body, or answers 400.
pub(crate) fn read_json<T: for<'de> Deserialize<'de>>(mut req: Request) -> Option<(Request, T)> {
    let parsed = read_body(&mut req, MAX_BODY)
        .map_err(|_| "the body could not be read".to_owned())
        .and_then(|body| serde_json::from_slice(&body).map_err(|e| e.to_string()));
    match parsed {
        Ok(value) => Some((req, value)),
        Err(problem) => {
            answer(respond_json(req, 400, &[], &serde_json::json!({ "error": problem })));
            None
        }
    }
}

/// A failed answer means that the client left; nothing more can be done for it.
pub(crate) fn answer(result: std::io::Result<()>) {
    if let Err(e) = result {
        log::debug!("client left: {e}");
    }
}

/// Header in which an endpoint in need names how many requests a second it takes.
const LIMIT: &str = "X-Request-Limit";

/// These headers, and the limit that the endpoint names if it is in need.
pub(crate) fn with_limit<'a>(
    headers: &[(&'a str, &'a str)],
    limit: Option<&'a str>,
) -> Vec<(&'a str, &'a str)> {
    headers.iter().copied().chain(limit.map(|limit| (LIMIT, limit))).collect()
}

/// Refuses a new request before it runs, if the endpoint leaves, is full or wants no requests; returns it otherwise.
pub(crate) fn refuse_if_closed(req: Request, faults: &Faults) -> Option<Request> {
    let limit = faults.limit();
    let (state, retry_after) = if faults.turn_away() {
        ("leaving", None)
    } else if let Some(retry_after) = faults.reject() {
        ("full", Some(retry_after))
    } else if faults.take_refusal() {
        ("full", None)
    } else {
        return Some(req);
    };
    let mut headers =
        with_limit(&[("X-Not-Run", "1"), ("X-Endpoint-State", state)], limit.as_deref());
    headers.extend(retry_after.as_deref().map(|seconds| ("Retry-After", seconds)));
    answer(respond_json(req, 503, &headers, &serde_json::json!({ "error": state })));
    None
}

fn set_fault(req: Request, endpoint: &dyn Endpoint) {
    if *req.method() != Method::Post {
        return answer(respond_json(req, 405, &[], &serde_json::json!({ "error": "use POST" })));
    }
    let Some((req, fault)) = read_json::<Fault>(req) else { return };
    log::info!("fault {fault:?}");
    endpoint.faults().set(fault);
    answer(respond_json(req, 200, &[], &serde_json::json!({ "ok": true })));
}
