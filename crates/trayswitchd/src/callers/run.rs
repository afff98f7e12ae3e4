//! Runs one generation: places it, reads its frames, resumes it when the link is lost.

use std::{net::SocketAddr, sync::Arc, thread, time::Duration};

use trayswitch_clock::Instant;
use trayswitch_core::{
    delivery::{AttemptId, Delivery, Limits, NextStep, Verdict},
    error::{ErrorKind, Outcome, RequestError},
    node::{CallId, Input, Placement},
    placement,
};

use super::{chat::ChatRequest, context::Callers, permit::Permit, sink::Sink};
use crate::{
    endpoint::{EndpointError, Frames, StartGeneration},
    node::random,
    telemetry::{EventId, Measure},
};

const LIMITS: Limits = Limits { max_starts: 4, max_resumes: 5 };
const FIRST_PAUSE: Duration = Duration::from_millis(50);
const LONGEST_PAUSE: Duration = Duration::from_millis(800);
/// Token counts go to the node after this many tokens, or this time.
const PROGRESS_TOKENS: u64 = 16;
const PROGRESS_TIME: Duration = Duration::from_millis(250);
/// Gaps between tokens are recorded in batches of this size.
const GAPS: usize = 64;

/// Where an attempt runs.
struct Place {
    call: CallId,
    permit: Permit,
    endpoint: Arc<str>,
    address: SocketAddr,
    priority: u64,
}

/// The connection on which an attempt's frames come.
struct Link {
    attempt: AttemptId,
    frames: Box<dyn Frames>,
}

/// How reading an attempt ended.
enum End {
    Finished { reason: String },
    Lost(EndpointError),
    CallerLeft,
}

/// One generation on its way to one caller.
pub(super) struct GenerationRun<'a> {
    callers: &'a Callers,
    chat: ChatRequest,
    request_id: String,
    delivery: Delivery,
    arrived: Instant,
    last_token: Option<Instant>,
    gaps: Vec<Duration>,
    reported: u64,
    reported_at: Instant,
    /// Whether an endpoint may have run any part of the request.
    may_have_run: bool,
}

impl<'a> GenerationRun<'a> {
    pub(super) fn new(
        callers: &'a Callers,
        chat: ChatRequest,
        request_id: String,
    ) -> GenerationRun<'a> {
        let now = Instant::now();
        GenerationRun {
            callers,
            chat,
            request_id,
            delivery: Delivery::new(LIMITS),
            arrived: now,
            last_token: None,
            gaps: Vec::new(),
            reported: 0,
            reported_at: now,
            may_have_run: false,
        }
    }

    /// Serves the request to its end.
    pub(super) fn serve(mut self, mut sink: Box<dyn Sink>) {
        let result = self.run(&mut *sink);
        let delivered = self.delivery.delivered();
        let outcome = match result {
            Ok(Some(reason)) => match sink.finish(delivered, &reason) {
                Ok(()) => Outcome::Answered,
                Err(_) => Outcome::CutOff,
            },
            Ok(None) => Outcome::CutOff,
            Err(error) => {
                log::warn!("{} {} {error}", EventId::RequestFailed, self.request_id);
                sink.fail(&error, delivered);
                error.kind.answer().outcome
            }
        };
        self.record_gaps();
        let (workspace, kind) = (&self.chat.workspace, &self.chat.kind);
        self.callers.ended(workspace, kind, outcome, self.arrived.elapsed());
    }

    /// Returns the engine's reason for the end, or `None` when the caller has left.
    fn run(&mut self, sink: &mut dyn Sink) -> Result<Option<String>, RequestError> {
        loop {
            let mut place = self.place().map_err(|e| self.not_placed(e))?;
            let end = self.attempt(&place, sink);
            let whole = matches!(end, End::Finished { .. });
            let tokens = self.delivery.delivered();
            self.callers.node().input(Input::Finished {
                call: place.call,
                tokens,
                complete: whole,
            });
            match end {
                End::Finished { reason } => {
                    self.callers.answered_whole(&self.chat.digest, &mut place.permit);
                    return Ok(Some(reason));
                }
                End::CallerLeft => {
                    self.cancel(place.address);
                    return Ok(None);
                }
                // The attempt is over; `next` says whether another may start.
                End::Lost(error) => self.next(&place, &error, sink)?,
            }
        }
    }

    fn place(&mut self) -> Result<Place, RequestError> {
        let permit = self.callers.permit(&self.chat.digest)?;
        let call = self.callers.node().view().next_call();
        let req = placement::Request { isolated: permit.is_apart(), ..self.chat.place.clone() };
        let placement = self.callers.place(call, req)?;
        let Some(address) = self.callers.address(&placement.endpoint) else {
            self.callers.node().input(Input::Finished { call, tokens: 0, complete: false });
            let message = "the endpoint was just removed";
            return Err(RequestError::new(ErrorKind::NoEndpoint, message));
        };
        let Placement { endpoint, priority, .. } = placement;
        Ok(Place { call, permit, endpoint, address, priority })
    }

    /// The error where no place was found, after attempts that may have run.
    fn not_placed(&self, error: RequestError) -> RequestError {
        match (self.delivery.delivered(), self.may_have_run) {
            (0, false) => error,
            (0, true) => RequestError::new(ErrorKind::OutcomeUnknown, error.message),
            _ => RequestError::new(ErrorKind::GenerationLost, error.message),
        }
    }

    /// Runs the request at one endpoint, with as many resumes as that takes.
    fn attempt(&mut self, place: &Place, sink: &mut dyn Sink) -> End {
        let attempt = self.delivery.start();
        let start = StartGeneration {
            request_id: &self.request_id,
            body: &self.chat.body,
            priority: place.priority,
        };
        if let Err(withheld) = self.callers.may_send(&place.endpoint) {
            return End::Lost(withheld);
        }
        let asked = self.callers.node().now();
        let reply = self.callers.engine().start(place.address, &start);
        self.callers.note_answer(&place.endpoint, asked, &reply);
        let mut link = match reply.result {
            Ok(frames) => Link { attempt, frames },
            Err(error) => return End::Lost(error),
        };
        self.may_have_run = true;
        let mut pause = FIRST_PAUSE;
        loop {
            let before = self.delivery.delivered();
            let lost = match self.read(place, &mut link, sink) {
                End::Lost(error) => error,
                end => return end,
            };
            if before < self.delivery.delivered() {
                pause = FIRST_PAUSE;
            }
            link = match self.resume(place, lost, &mut pause) {
                Ok(link) => link,
                Err(lost) => return End::Lost(lost),
            };
        }
    }

    /// Resumes until frames flow again, or returns the error after which there is no hope.
    fn resume(
        &mut self,
        place: &Place,
        mut lost: EndpointError,
        pause: &mut Duration,
    ) -> Result<Link, EndpointError> {
        loop {
            let lives = lost != EndpointError::Gone;
            let NextStep::Resume { generation, after } = self.delivery.on_lost(lives) else {
                return Err(lost);
            };
            log::info!(
                "{} {} after token {after} at {}: {lost}",
                EventId::StreamResumed,
                self.request_id,
                place.endpoint
            );
            let attempt = self.delivery.resume();
            thread::sleep(jitter(*pause));
            *pause = (*pause * 2).min(LONGEST_PAUSE);
            let reply = self.callers.engine().resume(place.address, &generation, after);
            self.callers.note_own_answer(&place.endpoint, &reply);
            match reply.result {
                Ok(frames) => return Ok(Link { attempt, frames }),
                Err(error) => lost = error,
            }
        }
    }

    fn read(&mut self, place: &Place, link: &mut Link, sink: &mut dyn Sink) -> End {
        if !self.delivery.on_started(link.attempt, link.frames.generation()) {
            return End::Lost(EndpointError::Gone);
        }
        loop {
            let frame = match link.frames.next() {
                Ok(frame) => frame,
                Err(error) => return End::Lost(error),
            };
            match self.delivery.on_frame(link.attempt, frame) {
                Verdict::Deliver(text) => {
                    if sink.token(self.delivery.delivered(), &text).is_err() {
                        return End::CallerLeft;
                    }
                    self.on_token(place);
                }
                Verdict::Finish { reason } => return End::Finished { reason },
                Verdict::Drop(reason) => {
                    log::debug!("{} {} {reason:?}", EventId::FrameDropped, self.request_id);
                    self.callers.metrics().count("frames_dropped");
                }
                Verdict::Broken => {
                    let problem = "a frame did not follow the last one";
                    return End::Lost(EndpointError::Malformed(problem.into()));
                }
            }
        }
    }

    fn on_token(&mut self, place: &Place) {
        let now = Instant::now();
        match self.last_token.replace(now) {
            Some(last) => self.gaps.push(now - last),
            None => {
                let (workspace, kind) = (&self.chat.workspace, &self.chat.kind);
                let waited = now - self.arrived;
                let histograms = self.callers.histograms();
                histograms.record(workspace, kind, Measure::FirstToken, waited);
            }
        }
        if GAPS <= self.gaps.len() {
            self.record_gaps();
        }
        let tokens = self.delivery.delivered();
        let due = PROGRESS_TOKENS <= tokens.saturating_sub(self.reported)
            || PROGRESS_TIME <= now - self.reported_at;
        if due {
            self.reported = tokens;
            self.reported_at = now;
            self.callers.node().input(Input::Progress(place.call, tokens));
        }
    }

    /// Prepares another attempt after one was lost, or gives up.
    fn next(
        &mut self,
        place: &Place,
        lost: &EndpointError,
        sink: &mut dyn Sink,
    ) -> Result<(), RequestError> {
        self.callers.report(&place.endpoint, lost);
        let Place { permit, endpoint, address, .. } = place;
        self.callers.broke_off(&self.chat.digest, permit, endpoint, *address, lost);
        self.may_have_run |= !lost.is_not_run();
        self.cancel(place.address);
        if 0 < self.delivery.delivered() && sink.restart() {
            self.delivery.discard();
        }
        let may_retry = self.callers.may_retry(&self.chat.workspace);
        match self.delivery.on_lost(false) {
            NextStep::RunAfresh if !may_retry => Err(self.denied(lost)),
            NextStep::RunAfresh => {
                self.chat.place.avoid.push(place.endpoint.clone());
                thread::sleep(jitter(FIRST_PAUSE));
                Ok(())
            }
            NextStep::GiveUp(ErrorKind::OutcomeUnknown) if !self.may_have_run => {
                let message = format!("no endpoint took the request; the last one: {lost}");
                Err(RequestError::new(ErrorKind::EndpointRefused, message))
            }
            NextStep::GiveUp(kind) => {
                Err(RequestError::new(kind, format!("the endpoint was lost: {lost}")))
            }
            NextStep::Resume { .. } => unreachable!("a generation that is gone is not resumed"),
        }
    }

    /// The error when the workspace has used up its retries.
    fn denied(&self, lost: &EndpointError) -> RequestError {
        let kind =
            if self.may_have_run { ErrorKind::OutcomeUnknown } else { ErrorKind::EndpointRefused };
        RequestError::new(kind, format!("too many retries in this workspace; the last: {lost}"))
    }

    /// Frees the engine's memory; the caller does not wait for it.
    fn cancel(&self, address: SocketAddr) {
        if let Some(generation) = self.delivery.generation() {
            self.callers.engine().cancel(address, generation);
        }
    }

    fn record_gaps(&mut self) {
        let (workspace, kind) = (&self.chat.workspace, &self.chat.kind);
        self.callers.histograms().record_all(workspace, kind, Measure::Gap, &self.gaps);
        self.gaps.clear();
    }
}

/// A random part of a pause, so that retries do not come all at once.
fn jitter(pause: Duration) -> Duration {
    let spread = pause.as_micros().max(1) as u64;
    Duration::from_micros(random().unwrap_or(0) % spread)
}
