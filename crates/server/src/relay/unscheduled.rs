//! Places that a daemon has found by itself while no scheduler answers.
//!
//! The node has drawn two engines at random. Both are asked for their loads, and the better one, if its
//! memory may be short, for a place that it keeps until the generation comes; so what hundreds of daemons
//! send at the same time fills no engine, and nothing waits at one that has no room.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use futures_util::future::join_all;
use http::{Request, response};
use http_body_util::Full;
use tokio::time::timeout;
use trayswitch_core::{
    node::Input,
    placement::{Candidate, EngineLoad, SampledEndpoint, sort_by_cost},
    wire::HealthNews,
};

use super::{Job, Relay, ReservationReply};
use crate::{runtime::Placed, telemetry::EventId, upstream::exchange};

/// Largest answer to a question for load or a place.
const MAX_ANSWER: usize = 256 * 1024;
/// How long an engine keeps a place: the way there and a retransmission.
const KEEP_FOR: Duration = Duration::from_millis(500);
/// Tokens of the answer that a place has room for beside the prompt: the first second of it.
const FIRST_TOKENS: u64 = 128;

/// A place that an engine keeps.
#[derive(Debug, Clone, Copy)]
pub struct Reservation {
    /// Memory, in tokens.
    pub tokens: u64,
    /// How long it is kept.
    pub ttl: Duration,
}

/// Neither of the engines that were drawn has room.
pub(super) struct NoRoom;

/// Lets the engines that were drawn confirm a place. Returns the name of the reservation; none where
/// a scheduler has granted the place, or the engine has much room or keeps no places.
pub(super) async fn confirm(
    relay: &Relay,
    job: &Job,
    placed: &mut Placed,
) -> Result<Option<String>, NoRoom> {
    if placed.drawn().is_empty() {
        return Ok(None);
    }
    let prompt = job.caller.prompt.as_ref().map_or(0, |prompt| prompt.tokens);
    let ask =
        async |drawn: &SampledEndpoint| (drawn.clone(), load_of(relay, &drawn.endpoint).await);
    let mut candidates: Vec<Candidate> = join_all(placed.drawn().iter().map(ask)).await;
    sort_by_cost(&mut candidates, prompt);
    for (SampledEndpoint { endpoint, .. }, load) in &candidates {
        let reserved = match load {
            Some(load) if !load.is_tight(prompt) => ReservationReply::NotRequired,
            _ => reserve(relay, job, endpoint, prompt.saturating_add(FIRST_TOKENS)).await,
        };
        note(job, endpoint, *load, &reserved);
        let name = match reserved {
            ReservationReply::Granted(name) => Some(name),
            ReservationReply::NotRequired => None,
            ReservationReply::Denied => continue,
        };
        if *endpoint != *placed.endpoint() {
            placed.moved(endpoint, true);
        }
        return Ok(name);
    }
    Err(NoRoom)
}

fn note(job: &Job, endpoint: &Arc<str>, load: Option<EngineLoad>, reserved: &ReservationReply) {
    let load = load.unwrap_or_default();
    log::info!(
        event = EventId::PlacedAlone.number(), id = job.caller.id.as_str(), endpoint = &**endpoint,
        end = reserved.name(), running = load.running, waiting = load.waiting,
        unread = load.unread_tokens, memory_used = load.kv_used;
        "no scheduler answers: an engine drawn at random was asked for a place"
    );
}

/// The load of an engine, if it tells, and the run that is known tells it.
async fn load_of(relay: &Relay, endpoint: &Arc<str>) -> Option<EngineLoad> {
    let (head, body) = ask(relay, endpoint, relay.protocol.load_request()).await?;
    let load = relay.protocol.decode_load(&head, &body)?;
    let known = relay.node.view().endpoint(endpoint)?.born;
    let is_other = 0 < known && 0 < load.started_at && known != load.started_at;
    (!is_other).then_some(load)
}

async fn reserve(relay: &Relay, job: &Job, endpoint: &Arc<str>, tokens: u64) -> ReservationReply {
    let service = job.config.config.services.get(&job.service);
    let longest = service.and_then(|service| service.engine.as_ref()?.longest_reservation);
    let Some(longest) = longest else { return ReservationReply::NotRequired };
    let reservation = Reservation { tokens, ttl: KEEP_FOR.min(longest) };
    let req = relay.protocol.reservation_request(&reservation);
    match ask(relay, endpoint, req).await {
        Some((head, body)) => relay.protocol.decode_reservation(&head, &body),
        None => ReservationReply::Denied,
    }
}

/// An engine's whole answer; none if it gives none in the time that a connection may take to come up,
/// and then it counts as failed.
async fn ask(
    relay: &Relay,
    endpoint: &Arc<str>,
    req: Request<Full<Bytes>>,
) -> Option<(response::Parts, Bytes)> {
    let known = relay.node.view().endpoint(endpoint)?;
    let limit = relay.options.connect_timeout;
    let asked = relay.node.now();
    let whole = async {
        let open = exchange(known.address, req, limit).await.map_err(|e| e.to_string())?;
        relay.on_own_answer(&known.service, &known, asked, &open.head);
        Ok((open.head, open.body.collect(MAX_ANSWER).await?))
    };
    let problem = match timeout(limit, whole).await {
        Ok(Ok(answer)) => return Some(answer),
        Ok(Err(problem)) => problem,
        Err(_) => "no answer in time".to_owned(),
    };
    log::debug!(endpoint = &**endpoint; "an engine tells nothing of its room: {problem}");
    relay.node.input(Input::Health(endpoint.clone(), HealthNews::Failed));
    None
}
