//! Starts a generation: acquires a placement, sends the request and waits for the first event.

use std::{rc::Rc, sync::Arc, time::Duration};

use http::{Response, response};
use tokio::{join, sync::mpsc};
use trayswitch_clock::Instant;
use trayswitch_core::{
    error::{ErrorKind, RequestError},
    mechanism::Mechanism,
    quarantine::ContentDigest,
    registry::RegisteredEndpoint,
    signals::EndpointSignals,
};

use super::{
    Job, MAX_REJECTIONS, RejectionReason, Relay, ResponseClass, delayed_error,
    endpoint_connection::EndpointRequest,
    event_stream::{EventStream, StreamItem},
    failed_attempt::AttemptGuard,
    forwarding::Purpose,
    job::ResumeFrom,
    local_placement::{NoCapacity, confirm_placement},
    no_response_error,
    quarantine_turn::QuarantineTurn,
    software_version,
    stream::StreamForwarder,
};
use crate::{
    edge::{self, Body},
    runtime::Placed,
    telemetry::EventId,
    timer::until,
    upstream::{Event, SendError},
};

/// Attempts in a row that may be withheld just before sending, before the request fails.
pub(super) const MAX_WITHHELD_ATTEMPTS: usize = 16;
/// Events buffered for a slow caller.
const MAX_BUFFERED_EVENTS: usize = 64;

/// A response to an attempt.
pub(super) enum Opened {
    /// A stream and its first event; `None` if it ended without events.
    Stream {
        head: response::Parts,
        event_stream: EventStream,
        first: Option<Event>,
        /// The run that the request was sent to, as this daemon knew it.
        run: Box<RegisteredEndpoint>,
    },
    /// The endpoint's complete error response.
    Failed { head: response::Parts, body: bytes::Bytes },
}

/// Why an attempt got no response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum OpenError {
    /// Not sent: the endpoint accepts no new requests.
    Withheld(String),
    /// Not sent: this daemon is too late itself.
    Delayed(String),
    /// Not sent: no connection came up.
    NotSent(String),
    /// Not executed by the endpoint.
    NotRun(String),
    /// May have been executed.
    Unknown(String),
}

/// Serves one generation.
pub(super) async fn serve(relay: Rc<Relay>, job: Job) -> Response<Body> {
    let mut link_load = relay.overload.link().accept_stream();
    match start(&relay, &job).await {
        Ok(StartedGeneration {
            placed,
            turn,
            opened: Opened::Stream { head, event_stream, first, run },
        }) => {
            let job = Rc::new(job);
            if first.is_some() {
                relay.on_stream_begun(&job, &run);
            }
            link_load.begin();
            let (tx, rx) = mpsc::channel(MAX_BUFFERED_EVENTS);
            let response = relay.build_response(&head, edge::streamed(rx));
            let forwarder = StreamForwarder::new(relay, job, placed, turn, event_stream, *run, tx);
            tokio::task::spawn_local(async move {
                forwarder.run(first).await;
                drop(link_load);
            });
            response
        }
        Ok(StartedGeneration { opened: Opened::Failed { head, body }, .. }) => {
            job.log_end(&relay.metrics, "endpoint_failed", head.status.as_str());
            relay.build_response(&head, edge::full(body))
        }
        Err(error) => relay.fail(&job, &error),
    }
}

/// A generation with a placement and a response.
struct StartedGeneration {
    placed: Placed,
    turn: QuarantineTurn,
    opened: Opened,
}

async fn start(relay: &Rc<Relay>, job: &Job) -> Result<StartedGeneration, RequestError> {
    let spec = &job.route.spec;
    let mut avoid: Vec<Arc<str>> = Vec::new();
    let mut attempts = 0;
    let mut rejections = 0;
    loop {
        let placement_error = |e: RequestError| {
            if attempts == 0 { e } else { no_response_error(attempts, &e.message) }
        };
        let turn = relay.wait_unless_stopping(job, relay.quarantine_turn(job)).await;
        let turn = turn.map_err(placement_error)?;
        // A rejection tells the caller when to come back only if nothing was attempted before.
        let is_first =
            attempts == 0 && !job.takes_up_stream() && relay.is_enabled(Mechanism::ReturnOrder);
        let digest = is_first.then(|| job.digest(relay));
        let placed = acquire_placement(relay, job, avoid.clone(), turn.is_isolated(), digest);
        let placed = until(job.deadline, relay.wait_unless_stopping(job, placed)).await;
        let placed = placed.map_err(|_| no_response_error(attempts, "the deadline has passed"))?;
        let (placed, reservation) = placed.map_err(placement_error)?;
        relay.recheck_admission(job)?;
        if relay.is_turn_stale(job, &turn) {
            continue;
        }
        let resume_from =
            ResumeFrom { last_event_id: job.caller.last_event_id, kv_copy: None, reservation };
        let opened = open_on_endpoint(relay, job, &turn, placed.endpoint(), &resume_from);
        let opened = relay.until_given_up(job, opened).await;
        let opened = opened.map_err(|e| no_response_error(attempts + 1, e))?;
        let endpoint = placed.endpoint().clone();
        let error = match opened {
            Ok(Opened::Failed { .. })
                if spec.kind.is_repeatable() && attempts + 1 < spec.max_attempts =>
            {
                attempts += 1;
                "the endpoint returned an error".to_owned()
            }
            Ok(opened) => return Ok(StartedGeneration { placed, turn, opened }),
            Err(OpenError::Withheld(error)) => {
                avoid.push(endpoint);
                if MAX_WITHHELD_ATTEMPTS <= avoid.len() {
                    return Err(no_response_error(attempts, &error));
                }
                continue;
            }
            Err(OpenError::Delayed(error)) if attempts == 0 => return Err(delayed_error(&error)),
            Err(OpenError::Delayed(error)) => return Err(no_response_error(attempts, &error)),
            Err(OpenError::NotSent(error) | OpenError::NotRun(error))
                if MAX_REJECTIONS <= rejections + 1 =>
            {
                return Err(no_response_error(attempts, &error));
            }
            // It arrived nowhere, so a retry adds no load.
            Err(OpenError::NotSent(_)) => {
                rejections += 1;
                avoid.push(endpoint);
                continue;
            }
            Err(OpenError::NotRun(error)) => {
                rejections += 1;
                error
            }
            Err(OpenError::Unknown(error)) => {
                attempts += 1;
                if !spec.kind.is_repeatable() || spec.max_attempts <= attempts {
                    return Err(no_response_error(attempts, &error));
                }
                error
            }
        };
        if !relay.try_acquire_retry(&job.service) {
            return Err(no_response_error(attempts, &format!("retry budget exhausted: {error}")));
        }
        avoid.push(endpoint);
    }
}

/// Acquires a placement, and a reservation if the engine grants one. Polls within the request's
/// `max_wait` while no endpoint is known (for example during the first heartbeat interval after a
/// full restart) or none of the sampled engines has capacity.
pub(super) async fn acquire_placement(
    relay: &Rc<Relay>,
    job: &Job,
    avoid: Vec<Arc<str>>,
    isolated: bool,
    digest: Option<ContentDigest>,
) -> Result<(Placed, Option<String>), RequestError> {
    const POLL_INTERVAL: Duration = Duration::from_millis(20);
    loop {
        let mut req = job.placement_request(avoid.clone(), isolated);
        req.digest = digest;
        if !relay.is_enabled(Mechanism::PlacePatience) {
            req.max_wait = Duration::ZERO;
        }
        let max_wait = req.max_wait;
        let error = match relay.node.place(req).await {
            Ok(mut placed) => match confirm_placement(relay, job, &mut placed).await {
                Ok(reservation) => return Ok((placed, reservation)),
                Err(NoCapacity) => {
                    RequestError::new(ErrorKind::Overloaded, "no sampled engine has capacity")
                }
            },
            Err(e) if e.kind == ErrorKind::NoEndpoint => e,
            Err(e) => return Err(e),
        };
        if max_wait <= POLL_INTERVAL {
            return Err(error);
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Sends a generation to an endpoint and waits for the first event.
pub(super) async fn open_on_endpoint(
    relay: &Rc<Relay>,
    job: &Job,
    turn: &QuarantineTurn,
    endpoint: &Arc<str>,
    resume_from: &ResumeFrom,
) -> Result<Opened, OpenError> {
    let started_at = Instant::now();
    let context = relay.decision_context();
    let mut signals = EndpointSignals::default();
    let opened = send(relay, job, turn, endpoint, resume_from, &mut signals).await;
    let (name, detail) = describe_result(&opened);
    relay.metrics.attempt(&job.service, name);
    log::info!(
        event = EventId::AttemptEnded.number(), id = job.caller.id.as_str(),
        endpoint = &**endpoint, end = name, detail = detail.as_str(),
        config = context.config, config_age_ms = context.config_age_ms,
        after = resume_from.last_event_id.unwrap_or(0), took_ms = started_at.elapsed().as_millis() as u64,
        limit = signals.describe_limit().as_str(),
        backoff_ms = signals.describe_backoff().as_str(), leaving = signals.is_leaving(),
        reached_ms = relay.describe_last_connected().as_str(),
        software = software_version::describe(relay.software_version(endpoint).as_ref()),
        resumes = job.caller.resumes.as_deref().unwrap_or("-");
        "an attempt ended"
    );
    opened
}

/// The outcome and detail for the log line.
fn describe_result(opened: &Result<Opened, OpenError>) -> (&'static str, String) {
    match opened {
        Ok(Opened::Stream { first, .. }) => {
            let id = first.as_ref().and_then(|event| event.id);
            ("streams", id.map_or_else(String::new, |id| format!("from event {id}")))
        }
        Ok(Opened::Failed { head, .. }) => ("failed", head.status.to_string()),
        Err(OpenError::Withheld(error)) => ("withheld", error.clone()),
        Err(OpenError::Delayed(error) | OpenError::NotSent(error) | OpenError::NotRun(error)) => {
            ("not_run", error.clone())
        }
        Err(OpenError::Unknown(error)) => ("unknown", error.clone()),
    }
}

async fn send(
    relay: &Rc<Relay>,
    job: &Job,
    turn: &QuarantineTurn,
    endpoint: &Arc<str>,
    resume_from: &ResumeFrom,
    signals: &mut EndpointSignals,
) -> Result<Opened, OpenError> {
    let Some(known) = relay.node.view().endpoint(endpoint) else {
        return Err(OpenError::Withheld("the endpoint is no longer registered".into()));
    };
    if resume_from.kv_copy.as_ref().is_none_or(|copy| copy.source != known.address) {
        relay.confirm_run(job, &known).await.map_err(OpenError::NotSent)?;
    }
    let guard = AttemptGuard::new(relay, job, turn, &known);
    let opened = send_to(relay, job, turn, &known, resume_from, signals).await;
    guard.complete();
    opened
}

async fn send_to(
    relay: &Rc<Relay>,
    job: &Job,
    turn: &QuarantineTurn,
    known: &RegisteredEndpoint,
    resume_from: &ResumeFrom,
    signals: &mut EndpointSignals,
) -> Result<Opened, OpenError> {
    let report_failure = || relay.report_failure(known);
    let on_attempt_failed = || relay.on_attempt_failed(job, turn, known, 0);
    let req = job.request(&*relay.protocol, &known.id, known.address, resume_from);
    let sent_at = relay.node.now();
    // A generation may resume on the engine that holds its KV cache even if that engine accepts no
    // new requests.
    let resumes_in_place =
        resume_from.kv_copy.as_ref().is_some_and(|copy| copy.source == known.address);
    let may_send = || {
        if resumes_in_place {
            return relay.may_resume(known);
        }
        relay.check_version(job, &known.id)?;
        relay.may_send(known)
    };
    let late = relay.late_response(job, known, sent_at);
    let send = EndpointRequest {
        endpoint: known,
        req,
        id: &job.caller.id,
        purpose: if resumes_in_place { Purpose::Resume } else { Purpose::Caller },
        is_stream: true,
        time_left: job.time_left(),
    };
    let open = match relay.send(send, may_send, late).await {
        Ok(open) => open,
        Err(SendError::Withheld(error)) => return Err(OpenError::Withheld(error)),
        Err(SendError::Delayed(error)) => return Err(OpenError::Delayed(error)),
        Err(SendError::NotSent(error)) => {
            report_failure();
            return Err(OpenError::NotSent(error));
        }
        Err(SendError::Lost(error)) => {
            on_attempt_failed().await;
            report_failure();
            return Err(OpenError::Unknown(error));
        }
    };
    match relay.protocol.classify_response(&job.caller.id, &open.head) {
        ResponseClass::Rejected(RejectionReason::Overloaded) => {
            *signals = relay.on_rejection(&job.service, known, sent_at, &open.head);
            return Err(OpenError::NotRun("the endpoint rejected the request: overloaded".into()));
        }
        ResponseClass::Rejected(RejectionReason::WrongEndpoint) => {
            report_failure();
            return Err(OpenError::NotRun("the address belongs to another endpoint run".into()));
        }
        ResponseClass::Invalid(error) => {
            relay.on_control_response(&job.service, known, sent_at, &open.head);
            return Err(OpenError::Unknown(error.into()));
        }
        ResponseClass::Executed { success: true } => {
            *signals = relay.on_response(&job.service, known, sent_at, &open.head);
        }
        ResponseClass::Executed { success: false } => {
            *signals = relay.on_response(&job.service, known, sent_at, &open.head);
            /// Largest error response body that is buffered.
            const MAX_ERROR_BODY_BYTES: usize = 1024 * 1024;
            let head = open.head.clone();
            return match relay.read_whole_body(known, open, MAX_ERROR_BODY_BYTES).await {
                Ok(body) => Ok(Opened::Failed { head, body }),
                Err(error) => {
                    on_attempt_failed().await;
                    Err(OpenError::Unknown(error))
                }
            };
        }
    }
    let mut event_stream = EventStream::new(&open.head, open.body, relay.buffers.reservation());
    let run = Box::new(known.clone());
    let (item, confirmed) = join!(event_stream.next(), relay.confirm_answer(job, known));
    confirmed.map_err(OpenError::Unknown)?;
    match relay.resolve_connection_end(item, known).await {
        StreamItem::Event(event) => {
            Ok(Opened::Stream { head: open.head, event_stream, first: Some(event), run })
        }
        StreamItem::End | StreamItem::ConnectionEnd => {
            Ok(Opened::Stream { head: open.head, event_stream, first: None, run })
        }
        StreamItem::Error(error) => {
            on_attempt_failed().await;
            report_failure();
            Err(OpenError::Unknown(error))
        }
    }
}
