//! Keeps each stream at the software version that began it.

use std::{rc::Rc, time::Duration};

use trayswitch_clock::Instant;
use trayswitch_core::{
    error::{ErrorKind, RequestError},
    node::Input,
    registry::RegisteredEndpoint,
    software_version::{SoftwareVersion, VersionConstraint},
    stream_origin::{StreamOrigin, UnknownOrigin},
};

use super::{
    Job, QUEUE_TIME_DIVISOR, Relay, job::BegunAt, local_placement::fetch_load,
    run_confirmation::RunStatus,
};
use crate::telemetry::EventId;

/// How long control VMs may take to tell where a stream began; many round trips.
const ORIGIN_TIMEOUT: Duration = Duration::from_millis(500);

/// Questions to an endpoint that does not tell whether it is the run that has begun a stream.
const MAX_QUESTIONS: u32 = 3;
const QUESTION_INTERVAL: Duration = Duration::from_millis(100);

/// How a stream goes on after its first attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Continuation {
    /// Its caller takes it up.
    Caller,
    /// Restarted on another endpoint after it broke off.
    Restart,
    /// Relocated with its KV cache.
    Relocation,
}

impl Continuation {
    fn name(self) -> &'static str {
        match self {
            Continuation::Caller => "caller",
            Continuation::Restart => "restart",
            Continuation::Relocation => "relocation",
        }
    }
}

/// Compares the software version of an endpoint with the one that began a stream.
fn compare(began: Option<&SoftwareVersion>, goes_on: Option<&SoftwareVersion>) -> &'static str {
    match (began, goes_on) {
        (Some(began), Some(goes_on)) if began == goes_on => "same",
        (Some(_), Some(_)) => "other",
        _ => "unknown",
    }
}

/// The software version for log lines.
pub(super) fn describe(version: Option<&SoftwareVersion>) -> &str {
    version.map_or("-", SoftwareVersion::as_str)
}

impl Relay {
    /// The software version of an endpoint, if known.
    pub(super) fn software_version(&self, endpoint: &str) -> Option<SoftwareVersion> {
        self.node.view().endpoint(endpoint)?.software_version
    }

    /// Whether a request may run at the software version that an endpoint has now.
    pub(super) fn check_version(&self, job: &Job, endpoint: &str) -> Result<(), String> {
        if job.versions().allows(self.software_version(endpoint).as_ref()) {
            return Ok(());
        }
        Err("the endpoint runs another software version than the one that began the stream".into())
    }

    /// Confirms that an endpoint still is the run that this daemon knows, if the request continues a
    /// stream. A run may have the name of an earlier one and another software version, and endpoints
    /// compare names only.
    pub(super) async fn confirm_run(
        self: &Rc<Self>,
        job: &Job,
        known: &RegisteredEndpoint,
    ) -> Result<(), String> {
        // Where endpoints do not tell their start, each start has a name of its own.
        if known.started_at == 0 || job.versions() == VersionConstraint::Any {
            return Ok(());
        }
        match fetch_load(self, &known.id).await {
            Some(load) if load.started_at == known.started_at => Ok(()),
            _ => Err("the endpoint does not confirm that it has not started again".into()),
        }
    }

    /// Confirms, once the answer to a request that continues a stream has begun, that the run which is known
    /// has sent it. What was confirmed before the request was sent may have changed since: this daemon may
    /// have stood still or waited, and another run may have taken the name and the address.
    pub(super) async fn confirm_answer(
        self: &Rc<Self>,
        job: &Job,
        known: &RegisteredEndpoint,
    ) -> Result<(), String> {
        if job.versions() == VersionConstraint::Any {
            return Ok(());
        }
        match self.ask_run_since(known, Instant::now()).await {
            RunStatus::Confirmed => Ok(()),
            RunStatus::Replaced => Err("another run of the endpoint has answered".into()),
            RunStatus::Unknown => {
                Err("the endpoint does not confirm which run has answered".into())
            }
        }
    }

    /// Finds out whether `run` has answered at `since`, with several questions if need be.
    async fn ask_run_since(self: &Rc<Self>, run: &RegisteredEndpoint, since: Instant) -> RunStatus {
        let (mut status, mut questions) = (self.confirm_run_since(run, since).await, 1);
        while status == RunStatus::Unknown && questions < MAX_QUESTIONS {
            tokio::time::sleep(QUESTION_INTERVAL).await;
            status = self.confirm_run_since(run, since).await;
            questions += 1;
        }
        status
    }

    /// Binds a request whose caller takes up a stream to the service and the software version that
    /// began it.
    pub(super) async fn resolve_origin(&self, job: &mut Job) -> Result<(), RequestError> {
        if !job.takes_up_stream() {
            return Ok(());
        }
        let origin = self.origin_of(job).await;
        let outcome = origin.as_ref().map_or_else(|reason| reason.name(), |_| "known");
        self.metrics.stream_taken_up(&job.service, outcome);
        let version = origin.as_ref().ok().map(|origin| &origin.version);
        log::info!(
            event = EventId::StreamTakenUp.number(), id = job.caller.id.as_str(), end = outcome,
            resumes = job.caller.resumes.as_deref().unwrap_or("-"), began_at = describe(version),
            after = job.caller.last_event_id.unwrap_or(0);
            "a caller takes up a stream"
        );
        let origin = origin.map_err(origin_unknown)?;
        let targets = job.route.spec.targets.iter().filter(|target| 0 < target.weight);
        if !targets.map(|target| &*target.service).any(|service| *service == *origin.service) {
            let message =
                format!("the stream began at {}, which the route no longer names", origin.service);
            return Err(RequestError::new(ErrorKind::VersionUnavailable, message));
        }
        job.service = origin.service.to_string();
        job.versions = VersionConstraint::Only(origin.version).into();
        Ok(())
    }

    async fn origin_of(&self, job: &Job) -> Result<StreamOrigin, UnknownOrigin> {
        let began = job.caller.resumes.as_deref().filter(|id| !id.is_empty());
        let keys = job.stream_keys(self, began.ok_or(UnknownOrigin::Unnamed)?);
        let limit = ORIGIN_TIMEOUT.min(job.time_left() / QUEUE_TIME_DIVISOR);
        let mut origin = Err(UnknownOrigin::NoRecord);
        for key in keys {
            origin = self.node.stream_origin(key, limit).await;
            if !matches!(origin, Err(UnknownOrigin::NoRecord)) {
                break;
            }
        }
        origin
    }

    /// Binds a stream to the software version of the run that brings its first event, once that run is
    /// confirmed. Until then no endpoint may continue it.
    pub(super) fn on_stream_begun(self: &Rc<Self>, job: &Rc<Job>, run: &RegisteredEndpoint) {
        if !job.has_no_version() {
            return;
        }
        job.bind_version(None);
        *job.unconfirmed.borrow_mut() = Some(BegunAt { run: run.clone(), at: Instant::now() });
        // Others can only be relocated, which confirms the run.
        if job.route.spec.kind.is_repeatable() {
            let (relay, job) = (self.clone(), job.clone());
            tokio::task::spawn_local(async move { relay.confirm_origin(&job).await });
        }
    }

    /// Confirms the run that has begun a stream, if that is open. Binds the stream to its software
    /// version, and tells other daemons of it if its caller may take it up.
    pub(super) async fn confirm_origin(self: &Rc<Self>, job: &Job) {
        let Some(BegunAt { run, at }) = job.unconfirmed.borrow().clone() else { return };
        let status = self.ask_run_since(&run, at).await;
        if job.unconfirmed.take().is_none() {
            return;
        }
        self.metrics.stream_origin(&job.service, status.name());
        if status == RunStatus::Confirmed {
            job.bind_version(run.software_version.as_ref());
            self.report_origin(job, run.software_version);
        }
    }

    fn report_origin(&self, job: &Job, version: Option<SoftwareVersion>) {
        let Some(version) = version.filter(|_| job.route.spec.kind.is_repeatable()) else { return };
        let keys = job.stream_keys(self, &job.caller.id);
        let origin = StreamOrigin { service: job.service.as_str().into(), version };
        let ttl = job.caller.time_left.unwrap_or(job.route.spec.timeout);
        self.node.input(Input::StreamBegun { keys, origin, ttl });
    }

    /// Counts a stream that goes on at an endpoint.
    pub(super) fn record_continuation(&self, job: &Job, how: Continuation, endpoint: &str) {
        let goes_on = self.software_version(endpoint);
        let version = compare(job.versions().version(), goes_on.as_ref());
        self.metrics.stream_continued(&job.service, how.name(), version);
    }
}

fn origin_unknown(reason: UnknownOrigin) -> RequestError {
    let why = match reason {
        UnknownOrigin::Unnamed => "the request does not name the attempt that began it",
        UnknownOrigin::NoRecord => "no daemon knows the attempt that the request names",
        UnknownOrigin::Ambiguous => "several streams began under the id that the request names",
        UnknownOrigin::NoAnswer => "no control VM has told in time",
    };
    let message = format!("it is not known which software version began the stream: {why}");
    RequestError::new(ErrorKind::OriginUnknown, message)
}
