//! `POST /v1/services/SERVICE/CALL`: one call of a plain service.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use sha2::{Digest, Sha256};
use tiny_http::Request;
use trayswitch_clock::Instant;
use trayswitch_core::{
    config::{CallSpec, EndpointTarget},
    error::{ErrorKind, Outcome, RequestError},
    node::{Input, NodeCall, NodeReply},
    once::{
        Claim, ClaimKey, ClaimResult, Ending, NotRun, Settle, StoredAnswer, Unknown, uuid_v7_time,
    },
    placement,
    quarantine::ContentDigest,
};
use trayswitch_http::header;

use super::{answer, chat, context::Callers};
use crate::{
    endpoint::{EndpointError, ServiceCall, WholeAnswer},
    node::random,
    telemetry::{EventId, Measure},
};

/// Attempts at most, of a call that may be repeated or that has certainly not run.
const MAX_ATTEMPTS: u32 = 4;
const MAX_KEY: usize = 255;
const CLAIM_LIMIT: Duration = Duration::from_secs(3);
/// Longest wait until an outcome is stored before the caller is answered all the same.
const SETTLE_WAIT: Duration = Duration::from_secs(1);

/// A checked call.
struct ServiceRequest {
    workspace: String,
    service: String,
    call: String,
    spec: CallSpec,
    key: Option<String>,
    content_type: String,
    body: Vec<u8>,
    place: placement::Request,
    digest: ContentDigest,
}

/// The whole answer, and whether it is that of an earlier run.
struct Served {
    answer: WholeAnswer,
    replayed: bool,
}

/// Serves one request.
pub(super) fn serve(callers: &Callers, mut req: Request, service: &str, call: &str) {
    let arrived = Instant::now();
    let request = match read(callers, &mut req, service, call) {
        Ok(request) => request,
        Err(e) => return answer::error(req, &e),
    };
    let request_id = callers.request_id();
    let result = match &request.key {
        Some(key) if !request.spec.repeatable => claimed(callers, &request, key, &request_id),
        _ => run(callers, &request, &request_id).map(fresh),
    };
    let total = arrived.elapsed();
    let outcome = match result {
        Ok(served) => {
            answer::whole(req, served.answer, served.replayed);
            Outcome::Answered
        }
        Err(error) => {
            log::warn!("{} {request_id} {error}", EventId::RequestFailed);
            answer::error(req, &error);
            error.kind.answer().outcome
        }
    };
    let (workspace, kind) = (&request.workspace, &request.spec.kind);
    callers.histograms().record(workspace, kind, Measure::FirstToken, total);
    callers.ended(workspace, kind, outcome, total);
}

fn read(
    callers: &Callers,
    req: &mut Request,
    service: &str,
    call: &str,
) -> Result<ServiceRequest, RequestError> {
    let admitted = callers.admit(req)?;
    let config = &admitted.active_config.config;
    let spec = config.services.get(service).and_then(|s| s.calls.get(call));
    let Some(spec) = spec.cloned() else {
        let message = format!("there is no call \"{service}/{call}\"");
        return Err(RequestError::new(ErrorKind::NotFound, message));
    };
    let key = header(req, "Idempotency-Key").map(str::to_owned);
    if key.as_ref().is_some_and(|key| key.is_empty() || MAX_KEY < key.len()) {
        let message = format!("Idempotency-Key must have 1 to {MAX_KEY} characters");
        return Err(RequestError::new(ErrorKind::BadRequest, message));
    }
    let content_type = header(req, "Content-Type").unwrap_or("application/json").to_owned();
    let target = EndpointTarget::Service(service.to_owned());
    let place = chat::place(config, &admitted.workspace, &spec.kind, target)?;
    let body = callers.body(req)?;
    let digest = callers.digest(req, &admitted.workspace, &body);
    Ok(ServiceRequest {
        digest,
        workspace: admitted.workspace,
        service: service.to_owned(),
        call: call.to_owned(),
        spec,
        key,
        content_type,
        body,
        place,
    })
}

/// Runs a call that may run at most once, under a claim that a quorum has committed.
fn claimed(
    callers: &Callers,
    request: &ServiceRequest,
    key: &str,
    request_id: &str,
) -> Result<Served, RequestError> {
    let claim = claim(request, key)?;
    let question = NodeCall::Claim { claim: claim.clone(), limit: CLAIM_LIMIT };
    let result = match callers.node().ask(question, CLAIM_LIMIT * 2) {
        Ok(NodeReply::Claimed(Some(result))) => result,
        _ => {
            let message = "no quorum of control replicas confirmed the idempotency key";
            return Err(RequestError::new(ErrorKind::NoQuorum, message));
        }
    };
    match result {
        ClaimResult::Granted => {}
        ClaimResult::Stored(stored) => return stored_answer(stored),
        refused => return Err(claim_refused(&refused)),
    }
    let result = run(callers, request, request_id);
    let ending = match &result {
        Ok(answer) => Ending::Answered(StoredAnswer {
            status: u32::from(answer.status),
            content_type: answer.content_type.clone(),
            body: Some(Bytes::copy_from_slice(&answer.body)),
        }),
        Err(error) if error.kind.answer().outcome == Outcome::NotRun => Ending::NotRun(NotRun {}),
        Err(_) => Ending::Unknown(Unknown {}),
    };
    let settle = Settle { key: claim.key, owner: claim.owner, ending: Some(ending) };
    // The node goes on storing it after this wait.
    if callers.node().ask(NodeCall::Settle(settle), SETTLE_WAIT).is_err() {
        log::warn!("{} {request_id} its outcome is not stored yet", EventId::OutcomeUnstored);
    }
    result.map(fresh)
}

fn claim(request: &ServiceRequest, key: &str) -> Result<Claim, RequestError> {
    let owner = random().and_then(|a| Ok([a.to_be_bytes(), random()?.to_be_bytes()].concat()));
    let owner = owner.map_err(|e| RequestError::new(ErrorKind::NotReady, e.to_string()))?;
    let claim_key = ClaimKey::new(&request.workspace, &request.service, &request.call, key);
    Ok(Claim {
        key: Bytes::copy_from_slice(&claim_key.0),
        body: Bytes::copy_from_slice(&Sha256::digest(&request.body)),
        owner: Bytes::from(owner),
        timeout_ms: request.spec.timeout.as_millis() as u64 * u64::from(MAX_ATTEMPTS)
            + request.place.max_wait.as_millis() as u64 * u64::from(MAX_ATTEMPTS),
        made_ms: uuid_v7_time(key).map(|at| at.0),
    })
}

fn claim_refused(result: &ClaimResult) -> RequestError {
    let (kind, message) = match result {
        ClaimResult::InProgress => {
            (ErrorKind::InProgress, "a request with this idempotency key is running")
        }
        ClaimResult::KeyReused => {
            (ErrorKind::KeyReused, "this idempotency key was used with another body")
        }
        ClaimResult::KeyExpired => {
            (ErrorKind::KeyExpired, "this idempotency key is too old; its outcome is not kept")
        }
        ClaimResult::Granted | ClaimResult::Stored(_) | ClaimResult::Unknown => {
            (ErrorKind::OutcomeUnknown, "a request with this idempotency key may have run")
        }
    };
    RequestError::new(kind, message)
}

fn stored_answer(stored: StoredAnswer) -> Result<Served, RequestError> {
    let Some(body) = stored.body else {
        let message = "the request ran, but its answer was too large to keep";
        return Err(RequestError::new(ErrorKind::OutcomeUnknown, message));
    };
    let answer = WholeAnswer {
        status: stored.status as u16,
        content_type: stored.content_type,
        body: body.to_vec(),
    };
    Ok(Served { answer, replayed: true })
}

fn fresh(answer: WholeAnswer) -> Served {
    Served { answer, replayed: false }
}

/// Makes attempts until one answers. After an attempt that may have run, another follows
/// only if the call may be repeated.
fn run(
    callers: &Callers,
    request: &ServiceRequest,
    request_id: &str,
) -> Result<WholeAnswer, RequestError> {
    let mut place = request.place.clone();
    let mut may_have_run = false;
    let mut last = None;
    for _ in 0..MAX_ATTEMPTS {
        let (endpoint, result) = match attempt(callers, request, request_id, place.clone()) {
            Ok(attempted) => attempted,
            // Nothing could be placed; what earlier attempts did still counts.
            Err(error) if may_have_run => {
                let kind = ErrorKind::OutcomeUnknown;
                return Err(RequestError::new(kind, error.message));
            }
            Err(error) => return Err(error),
        };
        let error = match result {
            Ok(answer) => return Ok(answer),
            Err(error) => error,
        };
        callers.report(&endpoint, &error);
        may_have_run |= !error.is_not_run();
        place.avoid.push(endpoint);
        last = Some(error);
        if matches!(last, Some(EndpointError::Withheld)) {
            continue;
        }
        if may_have_run && !request.spec.repeatable || !callers.may_retry(&request.workspace) {
            break;
        }
    }
    let kind = match (&last, may_have_run) {
        (_, false) => ErrorKind::EndpointRefused,
        (Some(EndpointError::Malformed(_)), true) => ErrorKind::BadAnswer,
        (_, true) => ErrorKind::OutcomeUnknown,
    };
    let last = last.map(|error| error.to_string()).unwrap_or_default();
    Err(RequestError::new(kind, format!("the endpoint did not answer: {last}")))
}

type Attempted = (Arc<str>, Result<WholeAnswer, EndpointError>);

fn attempt(
    callers: &Callers,
    request: &ServiceRequest,
    request_id: &str,
    place: placement::Request,
) -> Result<Attempted, RequestError> {
    let mut permit = callers.permit(&request.digest)?;
    let call = callers.node().view().next_call();
    let place = placement::Request { isolated: permit.is_apart(), ..place };
    let placement = callers.place(call, place)?;
    let address = callers.address(&placement.endpoint);
    let asked = callers.node().now();
    let result = match address.map(|address| (address, callers.may_send(&placement.endpoint))) {
        Some((_, Err(withheld))) => Err(withheld),
        Some((address, Ok(()))) => {
            let call = ServiceCall {
                request_id,
                call: &request.call,
                content_type: &request.content_type,
                body: &request.body,
                timeout: request.spec.timeout,
            };
            let reply = callers.service().call(address, &call);
            callers.note_answer(&placement.endpoint, asked, &reply);
            reply.result
        }
        None => Err(EndpointError::NotSent("the endpoint was just removed".into())),
    };
    let whole = result.is_ok();
    callers.node().input(Input::Finished { call, tokens: 0, complete: whole });
    match (&result, address) {
        (Ok(_), _) => callers.answered_whole(&request.digest, &mut permit),
        (Err(error), Some(address)) => {
            callers.broke_off(&request.digest, &permit, &placement.endpoint, address, error);
        }
        (Err(_), None) => {}
    }
    Ok((placement.endpoint, result))
}
