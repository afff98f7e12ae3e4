//! The callers' side: requests for generations and calls of plain services.

mod answer;
mod call;
mod chat;
mod context;
mod permit;
mod run;
mod sink;
#[cfg(test)]
mod tests;

use std::{sync::Arc, thread};

use eyre::{Result, WrapErr};
use tiny_http::{Method, Request};
use trayswitch_core::error::{ErrorKind, RequestError};
use trayswitch_http::{HttpServer, SocketTimeouts, respond_json};

pub(crate) use self::context::Callers;

const STACK: usize = 512 * 1024;

/// Serves callers on the address in the settings.
pub(crate) fn bind(callers: &Arc<Callers>) -> Result<HttpServer> {
    let address = callers.settings().callers;
    let shared = callers.clone();
    let handle = move |req: Request| take(&shared, req);
    HttpServer::bind(address, SocketTimeouts::default(), Arc::new(handle))
        .wrap_err_with(|| format!("cannot serve callers on {address}"))
}

/// Gives each request a thread of its own, within the limit.
fn take(callers: &Arc<Callers>, req: Request) {
    if let Some(req) = answer_probe(callers, req) {
        let limit = callers.settings().max_requests;
        let Some(in_progress) = callers.node().view().enter(limit) else {
            let message = "this daemon has too many requests in progress";
            answer::error(req, &RequestError::new(ErrorKind::Overloaded, message));
            return;
        };
        let callers = callers.clone();
        let serve = move || {
            serve(&callers, req);
            drop(in_progress);
        };
        let thread = thread::Builder::new().name("request".into()).stack_size(STACK);
        if let Err(e) = thread.spawn(serve) {
            // The request is dropped with the closure, which closes its connection.
            log::error!("no thread for a request: {e}");
        }
    }
}

/// Answers the balancer at once, without a thread.
fn answer_probe(callers: &Callers, req: Request) -> Option<Request> {
    let view = callers.node().view();
    let (status, body) = match req.url() {
        "/health" => (200, "alive"),
        "/ready" if view.ready() => (200, "ready"),
        "/ready" if view.stopping() => (503, "stopping"),
        "/ready" => (503, "no current configuration"),
        _ => return Some(req),
    };
    answer::sent(respond_json(req, status, &[], &serde_json::json!({ "status": body })));
    None
}

fn serve(callers: &Callers, req: Request) {
    let path = req.url().split('?').next().unwrap_or_default().to_owned();
    if *req.method() != Method::Post {
        let message = "use POST /v1/chat/completions or POST /v1/services/SERVICE/CALL";
        return answer::error(req, &RequestError::new(ErrorKind::NotFound, message));
    }
    if path == "/v1/chat/completions" {
        return chat::serve(callers, req);
    }
    let target = path.strip_prefix("/v1/services/").and_then(|rest| rest.split_once('/'));
    match target {
        Some((service, call)) => call::serve(callers, req, service, call),
        None => {
            let message = format!("there is no {path}");
            answer::error(req, &RequestError::new(ErrorKind::NotFound, message));
        }
    }
}
