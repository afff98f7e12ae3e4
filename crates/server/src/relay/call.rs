//! Plain calls: the least loaded endpoint, and another where that is allowed.

use std::{cell::RefCell, rc::Rc, sync::Arc};

use bytes::Bytes;
use futures_util::{StreamExt, stream::FuturesUnordered};
use http::{Response, response};
use trayswitch_clock::Instant;
use trayswitch_core::{
    error::{ErrorKind, RequestError},
    mechanism::Mechanism,
    registry::Registered,
    signals::Signals,
};

use super::{
    Job, MAX_REJECTIONS, RejectionReason, Relay, ResponseClass, ended::Awaited, job::GoOn,
    limited::AttemptKind, loads::Outcome, no_answer, quarantine_turn::QuarantineTurn,
};
use crate::{
    edge::{self, Body, LocalFuture},
    telemetry::EventId,
    timer::sleep_until,
    upstream::{SendError, exchange_if},
};

/// Endpoints that a call is not sent to after all before its caller is told so.
const MAX_WITHHELD: usize = 16;
/// Largest answer that is held until it is whole.
const MAX_ANSWER: usize = 16 * 1024 * 1024;

/// How an attempt ended.
enum End {
    /// The endpoint's whole answer.
    Answer { head: response::Parts, body: Bytes, success: bool },
    /// It was not sent: the endpoint takes nothing new.
    Withheld(String),
    /// The request certainly did not run there.
    NotRun(String),
    /// It may have run.
    Unknown(String),
    /// It was not sent: too many endpoints have ended under it, or it had no turn.
    Refused(RequestError),
}

impl End {
    /// Its name and details for a line of the log.
    fn describe(&self) -> (&'static str, String) {
        match self {
            End::Answer { head, success: true, .. } => ("answered", head.status.to_string()),
            End::Answer { head, .. } => ("failed", head.status.to_string()),
            End::Withheld(problem) => ("withheld", problem.clone()),
            End::NotRun(problem) => ("not_run", problem.clone()),
            End::Unknown(problem) => ("unknown", problem.clone()),
            End::Refused(error) => ("refused", error.message.clone()),
        }
    }
}

/// Serves one call.
pub(super) async fn serve(relay: &Relay, job: Job) -> Response<Body> {
    let mut call = Call::new(relay, &job);
    match call.run().await {
        Ok((head, body)) => {
            let cause = if head.status.is_success() { "answered" } else { "endpoint_failed" };
            job.ended(&relay.metrics, cause, head.status.as_str());
            relay.answer(&head, edge::full(body))
        }
        Err(error) => relay.fail(&job, &error),
    }
}

struct Call<'a> {
    relay: &'a Relay,
    job: &'a Job,
    running: FuturesUnordered<LocalFuture<'a, End>>,
    /// Endpoints that the call was sent to.
    tried: Rc<RefCell<Vec<Arc<str>>>>,
    /// Attempts that may have run or still may.
    starts: u32,
    rejections: u32,
    /// A whole answer of an endpoint that failed, for when nothing better comes.
    failure: Option<(response::Parts, Bytes)>,
    /// What is told when no answer came.
    problem: String,
}

impl<'a> Call<'a> {
    fn new(relay: &'a Relay, job: &'a Job) -> Call<'a> {
        Call {
            relay,
            job,
            running: FuturesUnordered::new(),
            tried: Rc::default(),
            starts: 0,
            rejections: 0,
            failure: None,
            problem: String::new(),
        }
    }

    async fn run(&mut self) -> Result<(response::Parts, Bytes), RequestError> {
        self.start(AttemptKind::First);
        let deadline = sleep_until(self.job.deadline);
        let mut deadline = std::pin::pin!(deadline);
        // One that may be repeated and takes longer than the others explain is sent to a second
        // endpoint as well.
        let unusual_after = self.relay.unusual_after(&self.job.service);
        let second = tokio::time::sleep(unusual_after.unwrap_or_default());
        let mut second = std::pin::pin!(second);
        let hedges = self.is_repeatable() && self.relay.uses(Mechanism::SecondAttempts);
        let mut hedged = !hedges || unusual_after.is_none();
        loop {
            tokio::select! {
                Some(end) = self.running.next() => {
                    if let Some(answer) = self.take(end)? {
                        return Ok(answer);
                    }
                }
                () = second.as_mut(), if !hedged => {
                    hedged = true;
                    // Of a suspect one try runs at a time, and a second one would wait for the first. One that
                    // was not sent yet is not late at its endpoint.
                    let is_sent = !self.tried.borrow().is_empty();
                    if is_sent && !self.relay.is_suspect(self.job) {
                        self.start_another();
                    }
                }
                () = deadline.as_mut() => return Err(no_answer(self.starts, "the time is over")),
            }
        }
    }

    fn is_repeatable(&self) -> bool {
        self.job.route.spec.kind.is_repeatable()
    }

    /// Takes the end of an attempt; returns the final answer if it is one.
    fn take(&mut self, end: End) -> Result<Option<(response::Parts, Bytes)>, RequestError> {
        match end {
            End::Answer { head, body, success: true } => return Ok(Some((head, body))),
            End::Answer { head, body, success: false } => {
                if !self.is_repeatable() {
                    return Ok(Some((head, body)));
                }
                self.failure = Some((head, body));
                self.start_another();
            }
            End::NotRun(problem) | End::Withheld(problem) => {
                self.starts -= 1;
                self.rejections += 1;
                self.problem = problem;
                if self.rejections < MAX_REJECTIONS {
                    self.start_another();
                }
            }
            End::Unknown(problem) => {
                self.problem = problem;
                if self.is_repeatable() {
                    self.start_another();
                }
            }
            End::Refused(error) => {
                self.starts -= 1;
                if self.starts == 0 {
                    return Err(error);
                }
                self.problem = error.message;
            }
        }
        if !self.running.is_empty() {
            return Ok(None);
        }
        match self.failure.take() {
            Some(answer) => Ok(Some(answer)),
            None => Err(no_answer(self.starts, &self.problem)),
        }
    }

    /// Starts another attempt if the route, the budget and the endpoints allow it.
    fn start_another(&mut self) {
        if self.job.route.spec.max_attempts <= self.starts || self.job.time_left().is_zero() {
            return;
        }
        if self.relay.check_may_run(self.job).is_err() {
            return;
        }
        if self.has_untried() && self.relay.may_repeat(&self.job.service) {
            self.start(AttemptKind::Retry);
        }
    }

    /// Whether any endpoint is left that the call was not sent to and may be.
    fn has_untried(&self) -> bool {
        let open = self.relay.open_endpoints(self.job);
        let admitted = self.relay.admitted(open, AttemptKind::Retry, &self.tried.borrow());
        !admitted.endpoints.is_empty()
    }

    fn start(&mut self, which: AttemptKind) {
        self.starts += 1;
        let attempt = attempt(self.relay, self.job, which, self.tried.clone());
        self.running.push(Box::pin(attempt));
    }
}

/// The error for a call to a service that no endpoint serves now.
pub(super) fn no_endpoint(relay: &Relay, service: &str) -> RequestError {
    let view = relay.node.view();
    if !view.open_endpoints(service).is_empty() {
        // They are cold, and bear no more for now.
        let message = format!("the endpoints of {service} have just started");
        return RequestError::new(ErrorKind::Overloaded, message);
    }
    if view.is_out_of_service(service) {
        let message = format!("every data hall that serves {service} is out of service");
        return RequestError::new(ErrorKind::OutOfService, message);
    }
    RequestError::new(ErrorKind::NoEndpoint, format!("no live endpoint serves {service}"))
}

/// Makes one attempt at an endpoint, once it may be sent. One that is withheld at the last moment goes elsewhere.
async fn attempt(
    relay: &Relay,
    job: &Job,
    which: AttemptKind,
    tried: Rc<RefCell<Vec<Arc<str>>>>,
) -> End {
    loop {
        match attempt_once(relay, job, which, &tried).await {
            End::Withheld(problem) if MAX_WITHHELD <= tried.borrow().len() => {
                return End::NotRun(problem);
            }
            End::Withheld(_) => {}
            end => return end,
        }
    }
}

async fn attempt_once(
    relay: &Relay,
    job: &Job,
    which: AttemptKind,
    tried: &RefCell<Vec<Arc<str>>>,
) -> End {
    let mut turn = match relay.quarantine_turn(job).await {
        Ok(turn) => turn,
        Err(error) => return End::Refused(error),
    };
    let tried_before = tried.borrow().clone();
    let endpoint = match relay.endpoint_for(job, which, &tried_before).await {
        Ok(endpoint) => endpoint,
        Err(error) => return End::Refused(error),
    };
    tried.borrow_mut().push(endpoint.id.clone());
    // It may have waited for its turn.
    if let Err(error) = relay.check_may_run(job) {
        return End::Refused(error);
    }
    let began = Instant::now();
    let inputs = relay.inputs();
    let own_running = relay.loads.running(&endpoint.id);
    let running = relay.loads.begin(&endpoint.id, relay.cold_rule(job).as_ref());
    let unanswered = relay.count_unanswered(&endpoint.id);
    let awaited = Awaited::begin(relay, job, &turn, &endpoint);
    let Sent { end, outcome, signals } = ask(relay, job, &turn, &endpoint).await;
    awaited.end();
    drop(running);
    if let (Some(unanswered), End::Answer { .. }) = (unanswered, &end) {
        unanswered.answered();
    }
    if !matches!(end, End::Withheld(_)) {
        relay.loads.record_outcome(&endpoint.id, outcome);
    }
    if outcome == Outcome::Success {
        relay.note_latency(&job.service, began.elapsed());
        relay.answered_whole(job, &mut turn);
    }
    let (name, detail) = end.describe();
    relay.metrics.attempt(&job.service, name);
    log::info!(
        event = EventId::AttemptEnded.number(), id = job.caller.id.as_str(),
        endpoint = &*endpoint.id, end = name, detail = detail.as_str(),
        config = inputs.config, config_age_ms = inputs.config_age_ms,
        sequence = endpoint.sequence, own_running = own_running,
        limit = signals.describe_limit().as_str(),
        backoff_ms = signals.describe_backoff().as_str(), leaving = signals.is_leaving(),
        took_ms = began.elapsed().as_millis() as u64;
        "an attempt ended"
    );
    end
}

/// What became of an attempt that was sent.
struct Sent {
    end: End,
    /// How well the endpoint did.
    outcome: Outcome,
    /// What it says of itself.
    signals: Signals,
}

impl Sent {
    /// One without an answer that the endpoint gave to it.
    fn new(end: End, outcome: Outcome) -> Sent {
        Sent { end, outcome, signals: Signals::default() }
    }
}

/// Sends the request and waits for the whole answer.
async fn ask(relay: &Relay, job: &Job, turn: &QuarantineTurn, endpoint: &Registered) -> Sent {
    let protocol = &*relay.protocol;
    let req = job.request(protocol, &endpoint.id, endpoint.address, &GoOn::default());
    let connect_timeout = relay.options.connect_timeout.min(job.time_left());
    let asked = relay.node.now();
    let may_send = || relay.may_send(endpoint);
    let opened = exchange_if(endpoint.address, req, connect_timeout, may_send).await;
    let open = match opened {
        Ok(open) => open,
        Err(SendError::Withheld(problem)) => {
            return Sent::new(End::Withheld(problem), Outcome::Error);
        }
        Err(SendError::NotSent(problem)) => {
            return Sent::new(End::NotRun(problem), Outcome::Unreachable);
        }
        Err(SendError::Lost(problem)) => {
            relay.broke_off(job, turn, endpoint, 0).await;
            return Sent::new(End::Unknown(problem), Outcome::Unreachable);
        }
    };
    let success = match protocol.classify_response(&job.caller.id, &open.head) {
        ResponseClass::Executed { success } => success,
        ResponseClass::Rejected(RejectionReason::Overloaded) => {
            let signals = relay.on_rejection(&job.service, endpoint, asked, &open.head);
            let end = End::NotRun("the endpoint is full".into());
            return Sent { end, outcome: Outcome::Error, signals };
        }
        ResponseClass::Rejected(RejectionReason::WrongEndpoint) => {
            let end = End::NotRun("another endpoint has the address".into());
            return Sent::new(end, Outcome::Unreachable);
        }
        ResponseClass::Invalid(problem) => {
            relay.on_own_answer(&job.service, endpoint, asked, &open.head);
            return Sent::new(End::Unknown(problem.into()), Outcome::Error);
        }
    };
    let signals = relay.on_answer(&job.service, endpoint, asked, &open.head);
    match open.body.collect(MAX_ANSWER).await {
        Ok(body) => {
            let outcome = if success { Outcome::Success } else { Outcome::Error };
            Sent { end: End::Answer { head: open.head, body, success }, outcome, signals }
        }
        Err(problem) => {
            relay.broke_off(job, turn, endpoint, 0).await;
            Sent { end: End::Unknown(problem), outcome: Outcome::Error, signals }
        }
    }
}
