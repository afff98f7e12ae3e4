//! The operators' side: submitting files and looking at the state.

mod halls;
mod reports;
mod submit;
mod suspects;

use std::{sync::Arc, thread};

use eyre::{Result, WrapErr};
use serde_json::json;
use tiny_http::{Method, Request};
use trayswitch_core::node::SubmitError;
use trayswitch_http::{HttpServer, SocketTimeouts, header, read_body, respond, respond_json};

use crate::{callers::Callers, settings::Settings};

/// Largest file that an operator may submit.
const MAX_FILE: usize = 64 * 1024 * 1024;

/// Serves operators on the address in the settings.
pub(crate) fn bind(settings: &Settings, callers: &Arc<Callers>) -> Result<HttpServer> {
    let address = settings.operators;
    let shared = callers.clone();
    let handle = move |req: Request| {
        let callers = shared.clone();
        thread::spawn(move || {
            if let Err(e) = serve(&callers, req) {
                log::debug!("operator left: {e}");
            }
        });
    };
    HttpServer::bind(address, SocketTimeouts::default(), Arc::new(handle))
        .wrap_err_with(|| format!("cannot serve operators on {address}"))
}

fn serve(callers: &Callers, req: Request) -> std::io::Result<()> {
    let key = header(&req, "Authorization").and_then(|value| value.strip_prefix("Bearer "));
    if !key.is_some_and(|key| same(key.trim(), &callers.settings().keys.operator)) {
        return failure(req, 401, "send the operator key as \"Authorization: Bearer KEY\"");
    }
    let path = req.url().to_owned();
    match (req.method(), path.as_str()) {
        (Method::Post, "/v1/config") => submit(callers, req),
        (Method::Get, "/v1/config") => show(callers, req),
        (Method::Get, "/v1/status") => respond_json(req, 200, &[], &reports::status(callers)),
        (Method::Get, "/v1/endpoints") => respond_json(req, 200, &[], &reports::endpoints(callers)),
        (Method::Get, "/v1/load") => load(callers, req),
        (Method::Get, "/v1/workspaces") => {
            respond_json(req, 200, &[], &reports::workspaces(callers))
        }
        (_, path) if path.starts_with("/v1/halls") => halls::serve(callers, req),
        (_, path) if path.starts_with("/v1/suspects") => suspects::serve(callers, req),
        _ => failure(req, 404, &format!("there is no {path}")),
    }
}

/// Compares in a time that does not depend on where the keys differ.
fn same(a: &str, b: &str) -> bool {
    let differing = a.bytes().zip(b.bytes()).fold(0, |acc, (x, y)| acc | (x ^ y));
    a.len() == b.len() && differing == 0
}

fn submit(callers: &Callers, mut req: Request) -> std::io::Result<()> {
    let file = header(&req, "X-File-Name").unwrap_or("(file)").to_owned();
    let text = read_body(&mut req, MAX_FILE).ok().and_then(|body| String::from_utf8(body).ok());
    let Some(text) = text else {
        return failure(req, 400, &format!("{file}: expected UTF-8 text of at most 64 MiB"));
    };
    let answer = match submit::submit(callers.node(), &file, &text) {
        Ok(answer) => answer,
        Err(faults) => return failure(req, 422, &faults.to_string()),
    };
    match answer {
        Ok(accepted) => respond_json(
            req,
            200,
            &[],
            &json!({
                "version": accepted.version,
                "hash": reports::hex(&accepted.hash),
                "repeated": accepted.repeated,
                "current": accepted.current,
            }),
        ),
        Err(SubmitError::Refused(problem)) => failure(req, 422, &problem),
        Err(SubmitError::Rebase(_) | SubmitError::NoAnswer) => failure(
            req,
            503,
            "no leader answered in time; the file may or may not be accepted: submit the same \
             file again to find out",
        ),
    }
}

fn show(callers: &Callers, req: Request) -> std::io::Result<()> {
    let Some(active_config) = callers.node().view().active_config() else {
        return failure(req, 404, "no configuration is in force on this daemon");
    };
    let version = active_config.version.to_string();
    let hash = active_config.hash.to_string();
    let headers = [
        ("Content-Type", "text/plain; charset=utf-8"),
        ("X-Version", version.as_str()),
        ("X-Hash", hash.as_str()),
    ];
    respond(req, 200, &headers, active_config.document.to_ini().into_bytes())
}

fn load(callers: &Callers, req: Request) -> std::io::Result<()> {
    match reports::load(callers) {
        Ok(Some(load)) => respond_json(req, 200, &[], &load),
        Ok(None) => failure(
            req,
            409,
            "this daemon does not lead; \"trayswitch control status\" at a control VM names the leader",
        ),
        Err(()) => failure(req, 503, "the daemon did not answer in time"),
    }
}

fn failure(req: Request, status: u16, message: &str) -> std::io::Result<()> {
    respond_json(req, status, &[], &json!({ "error": { "message": message } }))
}
