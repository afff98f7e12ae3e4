//! Starts a generation: places it, sends it and waits for its first event.

use std::{rc::Rc, sync::Arc, time::Duration};

use http::{Response, response};
use tokio::sync::mpsc;
use trayswitch_clock::Instant;
use trayswitch_core::{
    error::{ErrorKind, RequestError},
    mechanism::Mechanism,
    node::Input,
    registry::Registered,
    signals::Signals,
    wire::HealthNews,
};

use super::{
    Job, MAX_REJECTIONS, RejectionReason, Relay, ResponseClass,
    ended::Awaited,
    job::GoOn,
    no_answer,
    quarantine_turn::QuarantineTurn,
    source::{Source, Step},
    stream::Pump,
    unscheduled::{NoRoom, confirm},
};
use crate::{
    edge::{self, Body},
    runtime::Placed,
    telemetry::EventId,
    timer::until,
    upstream::{Event, SendError, exchange_if},
};

/// Endpoints that a request is not sent to after all, one after the other, before its caller is told so.
pub(super) const MAX_WITHHELD: usize = 16;
/// Events that may wait for a slow caller.
const MAX_EVENTS: usize = 64;

/// An attempt that brought an answer.
pub(super) enum Opened {
    /// The stream, with its first event unless it ended without any.
    Stream { head: response::Parts, source: Source, first: Option<Event> },
    /// The endpoint failed; this is its whole answer.
    Failed { head: response::Parts, body: bytes::Bytes },
}

/// Why an attempt brought none.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Lost {
    /// It was not sent: the endpoint takes nothing new.
    Withheld(String),
    /// The request certainly did not run there.
    NotRun(String),
    /// It may have run.
    Unknown(String),
}

/// Serves one generation.
pub(super) async fn serve(relay: Rc<Relay>, job: Job) -> Response<Body> {
    match start(&relay, &job).await {
        Ok(Started { placed, turn, opened: Opened::Stream { head, source, first } }) => {
            let (tx, rx) = mpsc::channel(MAX_EVENTS);
            let answer = relay.answer(&head, edge::streamed(rx));
            let pump = Pump::new(relay, job, placed, turn, source, tx);
            tokio::task::spawn_local(pump.run(first));
            answer
        }
        Ok(Started { opened: Opened::Failed { head, body }, .. }) => {
            job.ended(&relay.metrics, "endpoint_failed", head.status.as_str());
            relay.answer(&head, edge::full(body))
        }
        Err(error) => relay.fail(&job, &error),
    }
}

/// A generation that has a place and an answer.
struct Started {
    placed: Placed,
    turn: QuarantineTurn,
    opened: Opened,
}

async fn start(relay: &Relay, job: &Job) -> Result<Started, RequestError> {
    let spec = &job.route.spec;
    let mut avoid: Vec<Arc<str>> = Vec::new();
    let mut starts = 0;
    let mut rejections = 0;
    loop {
        let not_placed =
            |e: RequestError| if starts == 0 { e } else { no_answer(starts, &e.message) };
        let turn = relay.quarantine_turn(job).await.map_err(not_placed)?;
        let placed = place(relay, job, avoid.clone(), turn.is_apart());
        let placed = until(job.deadline, placed).await;
        let placed = placed.map_err(|_| no_answer(starts, "the time is over"))?;
        let (placed, reservation) = placed.map_err(not_placed)?;
        relay.check_may_run(job)?;
        if relay.must_ask_again(job, &turn) {
            continue;
        }
        let go_on = GoOn { last_event_id: job.caller.last_event_id, kv_copy: None, reservation };
        let opened = open_at(relay, job, &turn, placed.endpoint(), &go_on);
        let opened = until(job.deadline, opened).await;
        let opened = opened.map_err(|_| no_answer(starts + 1, "the time is over"))?;
        let endpoint = placed.endpoint().clone();
        let problem = match opened {
            Ok(Opened::Failed { .. })
                if spec.kind.is_repeatable() && starts + 1 < spec.max_attempts =>
            {
                starts += 1;
                "the endpoint failed".to_owned()
            }
            Ok(opened) => return Ok(Started { placed, turn, opened }),
            Err(Lost::Withheld(problem)) => {
                avoid.push(endpoint);
                if MAX_WITHHELD <= avoid.len() {
                    return Err(no_answer(starts, &problem));
                }
                continue;
            }
            Err(Lost::NotRun(problem)) => {
                rejections += 1;
                if MAX_REJECTIONS <= rejections {
                    return Err(no_answer(starts, &problem));
                }
                problem
            }
            Err(Lost::Unknown(problem)) => {
                starts += 1;
                if !spec.kind.is_repeatable() || spec.max_attempts <= starts {
                    return Err(no_answer(starts, &problem));
                }
                problem
            }
        };
        if !relay.may_repeat(&job.service) {
            return Err(no_answer(starts, &format!("no more repeats are allowed now: {problem}")));
        }
        avoid.push(endpoint);
    }
}

/// Finds a place, and the name of the reservation there if the engine keeps one. While no endpoint is
/// known, as for the length of a heartbeat after all VMs were started anew, or none of those that this
/// daemon has drawn by itself has room, it looks again for as long as a request may wait for a place.
pub(super) async fn place(
    relay: &Relay,
    job: &Job,
    avoid: Vec<Arc<str>>,
    apart: bool,
) -> Result<(Placed, Option<String>), RequestError> {
    /// Pause between two looks.
    const LOOK_AGAIN: Duration = Duration::from_millis(20);
    loop {
        let mut req = job.place_request(avoid.clone(), apart);
        if !relay.uses(Mechanism::PlacePatience) {
            req.max_wait = Duration::ZERO;
        }
        let patience = req.max_wait;
        let error = match relay.node.place(req).await {
            Ok(mut placed) => match confirm(relay, job, &mut placed).await {
                Ok(reservation) => return Ok((placed, reservation)),
                Err(NoRoom) => {
                    RequestError::new(ErrorKind::Overloaded, "no engine that was asked has room")
                }
            },
            Err(e) if e.kind == ErrorKind::NoEndpoint => e,
            Err(e) => return Err(e),
        };
        if patience <= LOOK_AGAIN {
            return Err(error);
        }
        tokio::time::sleep(LOOK_AGAIN).await;
    }
}

/// Sends a generation to an endpoint and waits for the first event.
pub(super) async fn open_at(
    relay: &Relay,
    job: &Job,
    turn: &QuarantineTurn,
    endpoint: &Arc<str>,
    go_on: &GoOn,
) -> Result<Opened, Lost> {
    let began = Instant::now();
    let inputs = relay.inputs();
    let mut signals = Signals::default();
    let opened = send(relay, job, turn, endpoint, go_on, &mut signals).await;
    let (name, detail) = describe(&opened);
    relay.metrics.attempt(&job.service, name);
    log::info!(
        event = EventId::AttemptEnded.number(), id = job.caller.id.as_str(),
        endpoint = &**endpoint, end = name, detail = detail.as_str(),
        config = inputs.config, config_age_ms = inputs.config_age_ms,
        after = go_on.last_event_id.unwrap_or(0), took_ms = began.elapsed().as_millis() as u64,
        limit = signals.describe_limit().as_str(),
        backoff_ms = signals.describe_backoff().as_str(), leaving = signals.is_leaving();
        "an attempt ended"
    );
    opened
}

/// Name and details of an attempt's end for a line of the log.
fn describe(opened: &Result<Opened, Lost>) -> (&'static str, String) {
    match opened {
        Ok(Opened::Stream { first, .. }) => {
            let id = first.as_ref().and_then(|event| event.id);
            ("streams", id.map_or_else(String::new, |id| format!("from event {id}")))
        }
        Ok(Opened::Failed { head, .. }) => ("failed", head.status.to_string()),
        Err(Lost::Withheld(problem)) => ("withheld", problem.clone()),
        Err(Lost::NotRun(problem)) => ("not_run", problem.clone()),
        Err(Lost::Unknown(problem)) => ("unknown", problem.clone()),
    }
}

async fn send(
    relay: &Relay,
    job: &Job,
    turn: &QuarantineTurn,
    endpoint: &Arc<str>,
    go_on: &GoOn,
    signals: &mut Signals,
) -> Result<Opened, Lost> {
    let Some(known) = relay.node.view().endpoint(endpoint) else {
        return Err(Lost::Withheld("the endpoint has just ended".into()));
    };
    let awaited = Awaited::begin(relay, job, turn, &known);
    let opened = send_to(relay, job, turn, &known, go_on, signals).await;
    awaited.end();
    opened
}

async fn send_to(
    relay: &Relay,
    job: &Job,
    turn: &QuarantineTurn,
    known: &Registered,
    go_on: &GoOn,
    signals: &mut Signals,
) -> Result<Opened, Lost> {
    let failed = || {
        let news = Input::Health(known.id.clone(), HealthNews::Failed);
        relay.node.input(news);
    };
    let broke_off = || relay.broke_off(job, turn, known, go_on.last_event_id.unwrap_or(0));
    let req = job.request(&*relay.protocol, &known.id, known.address, go_on);
    let asked = relay.node.now();
    // What its memory lies at may go on there whatever it says: it runs there already.
    let is_there = go_on.kv_copy.as_ref().is_some_and(|copy| copy.source == known.address);
    let may_send = || if is_there { relay.may_go_on(known) } else { relay.may_send(known) };
    let opened = exchange_if(known.address, req, relay.options.connect_timeout, may_send).await;
    let open = match opened {
        Ok(open) => open,
        Err(SendError::Withheld(problem)) => return Err(Lost::Withheld(problem)),
        Err(SendError::NotSent(problem)) => {
            failed();
            return Err(Lost::NotRun(problem));
        }
        Err(SendError::Lost(problem)) => {
            failed();
            broke_off().await;
            return Err(Lost::Unknown(problem));
        }
    };
    match relay.protocol.classify_response(&job.caller.id, &open.head) {
        ResponseClass::Rejected(RejectionReason::Overloaded) => {
            *signals = relay.on_rejection(&job.service, known, asked, &open.head);
            return Err(Lost::NotRun("the endpoint is full".into()));
        }
        ResponseClass::Rejected(RejectionReason::WrongEndpoint) => {
            failed();
            return Err(Lost::NotRun("another endpoint has the address".into()));
        }
        ResponseClass::Invalid(problem) => {
            relay.on_own_answer(&job.service, known, asked, &open.head);
            return Err(Lost::Unknown(problem.into()));
        }
        ResponseClass::Executed { success: true } => {
            *signals = relay.on_answer(&job.service, known, asked, &open.head);
        }
        ResponseClass::Executed { success: false } => {
            *signals = relay.on_answer(&job.service, known, asked, &open.head);
            /// Largest answer of an endpoint that failed.
            const MAX_FAILURE: usize = 1024 * 1024;
            return match open.body.collect(MAX_FAILURE).await {
                Ok(body) => Ok(Opened::Failed { head: open.head, body }),
                Err(problem) => {
                    broke_off().await;
                    Err(Lost::Unknown(problem))
                }
            };
        }
    }
    let mut source = Source::new(open.body);
    match source.next().await {
        Step::Event(event) => Ok(Opened::Stream { head: open.head, source, first: Some(event) }),
        Step::Ended => Ok(Opened::Stream { head: open.head, source, first: None }),
        Step::Lost(problem) => {
            failed();
            broke_off().await;
            Err(Lost::Unknown(problem))
        }
    }
}
