//! `POST /v1/chat/completions`: one generation for one caller.

use std::{num::NonZeroU64, time::Duration};

use serde::de::DeserializeOwned;
use serde_json::Value;
use sha2::{Digest, Sha256};
use tiny_http::Request;
use trayswitch_core::{
    config::{Config, EndpointTarget},
    error::{ErrorKind, RequestError},
    placement::{self, PrefixHash, Ticket},
    quarantine::ContentDigest,
    software_version::VersionConstraint,
};
use trayswitch_http::header;

use super::{
    answer,
    context::{Admitted, Callers},
    run::GenerationRun,
    sink::{Labels, Sink, StreamSink, WholeSink},
};
use crate::endpoint::JsonFields;

const CHARS_PER_TOKEN: usize = 4;
/// Characters at the start of a prompt whose hash names its prefix.
const PREFIX_CHARS: usize = 256;
const DEFAULT_MAX_TOKENS: u64 = 32_768;

/// A checked request for a generation.
pub(super) struct ChatRequest {
    pub(super) workspace: String,
    pub(super) kind: String,
    pub(super) model: String,
    pub(super) body: JsonFields,
    pub(super) stream: bool,
    pub(super) place: placement::Request,
    pub(super) digest: ContentDigest,
}

/// Serves one request.
pub(super) fn serve(callers: &Callers, mut req: Request) {
    let chat = match read(callers, &mut req) {
        Ok(chat) => chat,
        Err(e) => return answer::error(req, &e),
    };
    let labels = Labels { request_id: callers.request_id(), model: chat.model.clone() };
    let request_id = labels.request_id.clone();
    let sink: Box<dyn Sink> = if chat.stream {
        Box::new(StreamSink::new(req, labels))
    } else {
        Box::new(WholeSink::new(req, labels))
    };
    GenerationRun::new(callers, chat, request_id).serve(sink);
}

fn read(callers: &Callers, req: &mut Request) -> Result<ChatRequest, RequestError> {
    let admitted = callers.admit(req)?;
    let kind = header(req, "X-Kind").map(str::to_owned);
    let body = callers.body(req)?;
    let digest = callers.digest(req, &admitted.workspace, &body);
    let chat = check(&admitted, &body, kind)?;
    Ok(ChatRequest { digest, ..chat })
}

/// Checks a body against the configuration.
pub(super) fn check(
    admitted: &Admitted,
    body: &[u8],
    kind: Option<String>,
) -> Result<ChatRequest, RequestError> {
    let config = &admitted.active_config.config;
    let body: JsonFields = serde_json::from_slice(body)
        .map_err(|e| bad(format!("the body is not a JSON object: {e}")))?;
    let Some(model) = field::<String>(&body, "model", "a text")? else {
        return Err(bad("\"model\" must be a text"));
    };
    let Some(default_kind) = config.models.get(&model) else {
        let message = format!("there is no model \"{model}\"");
        return Err(RequestError::new(ErrorKind::NotFound, message));
    };
    let prompt = prompt(&body)?;
    let stream = field(&body, "stream", "true or false")?.unwrap_or(false);
    let max_tokens = field::<NonZeroU64>(&body, "max_tokens", "a whole number above zero")?;
    let max_tokens = max_tokens.map_or(DEFAULT_MAX_TOKENS, NonZeroU64::get);
    let kind = kind.unwrap_or_else(|| default_kind.clone());
    let mut place =
        place(config, &admitted.workspace, &kind, EndpointTarget::Model(model.clone()))?;
    place.prompt_tokens = (prompt.len() / CHARS_PER_TOKEN + 1) as u64;
    place.prefix = prefix(&prompt);
    place.max_tokens = max_tokens;
    let workspace = admitted.workspace.clone();
    let digest = ContentDigest::default();
    Ok(ChatRequest { workspace, kind, model, body, stream, place, digest })
}

/// What the scheduler needs to know, without the prompt's part.
pub(super) fn place(
    config: &Config,
    workspace: &str,
    kind: &str,
    target: EndpointTarget,
) -> Result<placement::Request, RequestError> {
    let Some(kind_spec) = config.kinds.get(kind) else {
        return Err(bad(format!("there is no kind \"{kind}\"; see X-Kind")));
    };
    let spec = &config.workspaces[workspace];
    Ok(placement::Request {
        ticket: Ticket { entry: 0, number: 0 },
        workspace: workspace.into(),
        rank: placement::rank(config.tiers[&spec.tier].rank, kind_spec.weight),
        share: spec.share,
        max_running: spec.max_running,
        max_waiting: spec.max_waiting,
        kind: kind.into(),
        target,
        prompt_tokens: 0,
        prefix: PrefixHash::default(),
        max_tokens: 0,
        max_wait: kind_spec.max_wait,
        ttft_target: kind_spec.max_wait,
        avoid: Vec::new(),
        isolated: false,
        versions: VersionConstraint::Any,
        time_left: kind_spec.max_wait,
        longest_gap: Duration::ZERO,
        digest: None,
    })
}

/// Reads a field of the body; `None` if it is missing or null.
fn field<T: DeserializeOwned>(
    body: &JsonFields,
    name: &str,
    expected: &str,
) -> Result<Option<T>, RequestError> {
    let Some(text) = body.get(name) else { return Ok(None) };
    serde_json::from_str(text.get()).map_err(|_| bad(format!("\"{name}\" must be {expected}")))
}

fn prompt(body: &JsonFields) -> Result<String, RequestError> {
    let Some(messages) = field::<Vec<Value>>(body, "messages", "a list")? else {
        return Err(bad("\"messages\" must be a list"));
    };
    if messages.is_empty() {
        return Err(bad("\"messages\" must not be empty"));
    }
    let mut prompt = String::new();
    for message in &messages {
        match message.get("content") {
            Some(Value::String(text)) => prompt.push_str(text),
            _ => return Err(bad("each message must have a text \"content\"")),
        }
    }
    Ok(prompt)
}

fn prefix(prompt: &str) -> PrefixHash {
    let start: String = prompt.chars().take(PREFIX_CHARS).collect();
    let digest = Sha256::digest(start.as_bytes());
    let bytes: [u8; 8] = digest[..8].try_into().expect("eight of 32 bytes");
    PrefixHash(u64::from_be_bytes(bytes))
}

fn bad(message: impl Into<String>) -> RequestError {
    RequestError::new(ErrorKind::BadRequest, message)
}
