//! Confirms placements that a daemon chose without a scheduler.
//!
//! The node samples two engines. Both are asked for their load; the better one, if it is short of
//! KV cache, must also grant a reservation. This prevents many daemons from overloading the same
//! engine at once.

use std::{rc::Rc, sync::Arc, time::Duration};

use bytes::Bytes;
use futures_util::future::join_all;
use http::{Request, response};
use http_body_util::Full;
use tokio::time::timeout;
use trayswitch_core::{
    placement::{Candidate, EngineLoad, SampledEndpoint, sort_by_cost},
    registry::RegisteredEndpoint,
};

use super::{Job, Relay, ReservationReply};
use crate::{runtime::Placed, telemetry::EventId};

const MAX_REPLY_BYTES: usize = 256 * 1024;
/// How long an engine holds a reservation: covers the request's way there and one retransmission.
const RESERVATION_TTL: Duration = Duration::from_millis(500);
/// Output tokens reserved beyond the prompt: about the first second of output.
const INITIAL_OUTPUT_TOKENS: u64 = 128;

/// A reservation of KV cache on an engine.
#[derive(Debug, Clone, Copy)]
pub struct Reservation {
    /// KV cache size in tokens.
    pub tokens: u64,
    /// The engine releases the reservation after this time.
    pub ttl: Duration,
}

/// None of the sampled engines has capacity.
pub(super) struct NoCapacity;

/// Confirms a placement with the sampled engines. Returns the id of the reservation; `None` if a
/// scheduler granted the placement or no reservation is required.
pub(super) async fn confirm_placement(
    relay: &Rc<Relay>,
    job: &Job,
    placed: &mut Placed,
) -> Result<Option<String>, NoCapacity> {
    if placed.drawn().is_empty() {
        return Ok(None);
    }
    let prompt_tokens = job.caller.prompt.as_ref().map_or(0, |prompt| prompt.tokens);
    let with_load = async |sampled: &SampledEndpoint| {
        (sampled.clone(), fetch_load(relay, &sampled.endpoint).await)
    };
    let mut candidates: Vec<Candidate> = join_all(placed.drawn().iter().map(with_load)).await;
    sort_by_cost(&mut candidates, prompt_tokens);
    for (SampledEndpoint { endpoint, .. }, load) in &candidates {
        let reply = match load {
            // It may have started again under its name, at another software version.
            None if relay.tells_start(endpoint) => ReservationReply::Denied,
            Some(load) if !load.needs_reservation(prompt_tokens) => ReservationReply::NotRequired,
            _ => {
                reserve(relay, job, endpoint, prompt_tokens.saturating_add(INITIAL_OUTPUT_TOKENS))
                    .await
            }
        };
        log_reservation(job, endpoint, *load, &reply);
        let name = match reply {
            ReservationReply::Granted(name) => Some(name),
            ReservationReply::NotRequired => None,
            ReservationReply::Denied => continue,
        };
        if *endpoint != *placed.endpoint() {
            placed.moved(endpoint, true);
        }
        return Ok(name);
    }
    Err(NoCapacity)
}

fn log_reservation(
    job: &Job,
    endpoint: &Arc<str>,
    load: Option<EngineLoad>,
    reply: &ReservationReply,
) {
    let load = load.unwrap_or_default();
    log::info!(
        event = EventId::PlacedAlone.number(), id = job.caller.id.as_str(), endpoint = &**endpoint,
        end = reply.name(), running = load.running, waiting = load.waiting,
        unread = load.unread_tokens, memory_used = load.kv_used;
        "no scheduler available: requested a reservation on a sampled engine"
    );
}

impl Relay {
    /// Whether an endpoint tells when it was started. Otherwise each start has a name of its own.
    fn tells_start(&self, endpoint: &str) -> bool {
        self.node.view().endpoint(endpoint).is_none_or(|known| 0 < known.started_at)
    }
}

/// The load of an engine; `None` if unavailable or reported by another run of the engine.
pub(super) async fn fetch_load(relay: &Rc<Relay>, endpoint: &Arc<str>) -> Option<EngineLoad> {
    let load = query_load(relay, endpoint).await?;
    let known = relay.node.view().endpoint(endpoint)?.started_at;
    let is_other_run = 0 < known && 0 < load.started_at && known != load.started_at;
    (!is_other_run).then_some(load)
}

/// When the process at the address of a run was started; `None` if it does not tell. A failure does not
/// count against the engine's health.
pub(super) async fn ask_start(relay: &Rc<Relay>, run: &RegisteredEndpoint) -> Option<u64> {
    let start = reported_start(relay, run).await;
    start
        .inspect_err(|error| log::debug!(endpoint = &*run.id; "no start was told: {error}"))
        .ok()?
}

/// The same; an error if there is no whole answer.
pub(super) async fn reported_start(
    relay: &Rc<Relay>,
    run: &RegisteredEndpoint,
) -> Result<Option<u64>, String> {
    let (head, body) = try_query(relay, run, relay.protocol.load_request()).await?;
    Ok(relay.protocol.decode_load(&head, &body).and_then(told_start))
}

fn told_start(load: EngineLoad) -> Option<u64> {
    Some(load.started_at).filter(|start| 0 < *start)
}

/// The load that the process at an endpoint's address reports, whichever run it is.
async fn query_load(relay: &Rc<Relay>, endpoint: &Arc<str>) -> Option<EngineLoad> {
    let (head, body) = query_engine(relay, endpoint, relay.protocol.load_request()).await?;
    relay.protocol.decode_load(&head, &body)
}

async fn reserve(
    relay: &Rc<Relay>,
    job: &Job,
    endpoint: &Arc<str>,
    tokens: u64,
) -> ReservationReply {
    let service = job.config.config.services.get(&job.service);
    let max_ttl = service.and_then(|service| service.engine.as_ref()?.longest_reservation);
    let Some(max_ttl) = max_ttl else { return ReservationReply::NotRequired };
    let reservation = Reservation { tokens, ttl: RESERVATION_TTL.min(max_ttl) };
    let req = relay.protocol.reservation_request(&reservation);
    match query_engine(relay, endpoint, req).await {
        Some((head, body)) => relay.protocol.decode_reservation(&head, &body),
        None => ReservationReply::Denied,
    }
}

/// Sends a request to an engine and reads the complete response within the connect timeout. A
/// failure counts against the engine's health.
async fn query_engine(
    relay: &Rc<Relay>,
    endpoint: &Arc<str>,
    req: Request<Full<Bytes>>,
) -> Option<(response::Parts, Bytes)> {
    let known = relay.node.view().endpoint(endpoint)?;
    let reply = try_query(relay, &known, req).await;
    reply
        .inspect_err(|error| {
            log::debug!(endpoint = &**endpoint; "failed to query an engine: {error}");
            relay.report_failure(&known);
        })
        .ok()
}

async fn try_query(
    relay: &Rc<Relay>,
    engine: &RegisteredEndpoint,
    req: Request<Full<Bytes>>,
) -> Result<(response::Parts, Bytes), String> {
    let sent_at = relay.node.now();
    let whole = async {
        let open = relay.exchange(engine, req).await.map_err(|e| e.to_string())?;
        relay.on_control_response(&engine.service, engine, sent_at, &open.head);
        let reservation = relay.buffers.reservation();
        Ok((open.head, open.body.collect_within(MAX_REPLY_BYTES, reservation).await?))
    };
    timeout(relay.options.connect_timeout, whole).await.unwrap_or_else(|_| Err("timed out".into()))
}
