//! A minimal protocol for tests, with one header per value.

use std::{str::FromStr, time::SystemTime};

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Request, Response, header, request, response};
use http_body_util::Full;
use trayswitch_core::{
    backoff::RetryAfter, error::RequestError, placement::EngineLoad, quarantine::PromptPart,
    signals::EndpointSignals, throttle::RateLimit,
};

use crate::relay::{
    Attempt, CallerRequest, CopyCommand, CopyReply, KvCopy, Prompt, Protocol, RejectionReason,
    Reservation, ReservationReply, ResponseClass,
};

/// The request id, in requests and responses.
pub(super) const ID: &str = "x-id";
/// The endpoint that an attempt is for.
pub(super) const ENDPOINT: &str = "x-endpoint";
/// The workspace key.
pub(super) const KEY: &str = "x-key";
/// The shared parts of the prompt, as numbers separated by commas.
pub(super) const PARTS: &str = "x-parts";
/// The last event received.
pub(super) const LAST_EVENT: &str = "x-after";
/// The request that brought the first event.
pub(super) const RESUMES: &str = "x-resumes";
/// A KV cache copy, as ADDRESS/HANDLE.
pub(super) const KV_COPY: &str = "x-memory";
/// Why a request was not executed: `full` or `other`.
pub(super) const NOT_EXECUTED: &str = "x-not-run";
/// Rate limit of the endpoint, in requests per second.
pub(super) const LIMIT: &str = "x-limit";
/// Back-off in seconds.
pub(super) const RETRY_AFTER: &str = "x-retry-after";
/// Present if the endpoint is leaving.
pub(super) const LEAVING: &str = "x-leaving";
/// Error code of a response without an endpoint's response.
pub(super) const OUTCOME: &str = "x-outcome";
/// Path of copy commands.
pub(super) const COPY_PATH: &str = "/copy";
/// Path prefix under which copies are freed.
pub(super) const FREE_PATH: &str = "/free/";

/// Path of load requests.
pub(super) const LOAD_PATH: &str = "/load";
/// Path of reservation requests.
pub(super) const RESERVATION_PATH: &str = "/reserve";
/// Id of a reservation.
pub(super) const RESERVATION: &str = "x-reservation";

/// KV cache size of every engine, in tokens.
pub(super) const ENGINE_KV_TOKENS: u64 = 34_000;
/// Tokens of every prompt.
const PROMPT_TOKENS: u64 = 1_000;
/// Maximum output tokens of every generation.
const MAX_OUTPUT_TOKENS: u64 = 2_000;

/// The protocol used by tests.
pub(super) struct TestProtocol;

/// The parsed value of a header, if present and valid.
pub(super) fn header<T: FromStr>(headers: &HeaderMap, name: &str) -> Option<T> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}

fn shared_parts(headers: &HeaderMap) -> Vec<PromptPart> {
    let parts: String = header(headers, PARTS).unwrap_or_default();
    parts.split(',').filter_map(|part| part.parse().ok()).map(PromptPart).collect()
}

fn text(value: &HeaderValue) -> &str {
    value.to_str().unwrap_or_default()
}

impl Protocol for TestProtocol {
    fn decode_request(&self, head: &request::Parts) -> Result<CallerRequest, RequestError> {
        Ok(CallerRequest {
            id: header(&head.headers, ID).unwrap_or_default(),
            host: header(&head.headers, header::HOST.as_str()).unwrap_or_default(),
            prompt: Some(Prompt {
                tokens: PROMPT_TOKENS,
                max_output_tokens: MAX_OUTPUT_TOKENS,
                shared_parts: shared_parts(&head.headers),
                ..Prompt::default()
            }),
            key: header(&head.headers, KEY),
            last_event_id: header(&head.headers, LAST_EVENT),
            resumes: header(&head.headers, RESUMES),
            ..CallerRequest::default()
        })
    }

    fn attempt_headers(&self, head: &request::Parts, attempt: &Attempt<'_>) -> HeaderMap {
        let mut headers = HeaderMap::new();
        let mut set = |name: &'static str, value: String| {
            headers.insert(name, HeaderValue::from_str(&value).unwrap());
        };
        set(ID, header(&head.headers, ID).unwrap_or_default());
        set(ENDPOINT, attempt.endpoint.to_owned());
        if let Some(last_event_id) = attempt.last_event_id {
            set(LAST_EVENT, last_event_id.to_string());
        }
        if let Some(copy) = attempt.kv_copy {
            set(KV_COPY, format!("{}/{}", copy.source, copy.handle));
        }
        if let Some(reservation) = attempt.reservation {
            set(RESERVATION, reservation.to_owned());
        }
        headers
    }

    fn classify_response(&self, id: &str, head: &response::Parts) -> ResponseClass {
        if header::<String>(&head.headers, ID).as_deref() != Some(id) {
            return ResponseClass::Invalid("the answer is for another request");
        }
        match header::<String>(&head.headers, NOT_EXECUTED).as_deref() {
            Some("full") => ResponseClass::Rejected(RejectionReason::Overloaded),
            Some(_) => ResponseClass::Rejected(RejectionReason::WrongEndpoint),
            None => ResponseClass::Executed { success: head.status.is_success() },
        }
    }

    fn signals(&self, head: &response::Parts) -> EndpointSignals {
        let values = |name| head.headers.get_all(name).iter().map(text);
        EndpointSignals {
            limit: RateLimit::from_values(values(LIMIT)),
            retry_after: RetryAfter::from_values(values(RETRY_AFTER), None, SystemTime::UNIX_EPOCH),
            leaving: Ok(head.headers.contains_key(LEAVING)),
            cold_for: Ok(None),
        }
    }

    fn response_headers(&self, head: &response::Parts) -> HeaderMap {
        head.headers.clone()
    }

    fn error_response(&self, _: &str, error: &RequestError) -> Response<Bytes> {
        let answer = error.kind.answer();
        Response::builder()
            .status(answer.status)
            .header(OUTCOME, answer.code)
            .body(Bytes::new())
            .unwrap()
    }

    fn copy_request(&self, command: &CopyCommand<'_>) -> Request<Full<Bytes>> {
        let suffix = if command.is_final { "/last" } else { "" };
        Request::post(format!("{COPY_PATH}{suffix}"))
            .header(ID, command.id)
            .body(Full::default())
            .unwrap()
    }

    fn free_request(&self, handle: &str) -> Request<Full<Bytes>> {
        Request::delete(format!("{FREE_PATH}{handle}")).body(Full::default()).unwrap()
    }

    fn load_request(&self) -> Request<Full<Bytes>> {
        Request::get(LOAD_PATH).body(Full::default()).unwrap()
    }

    /// The load is the KV cache usage in tokens and the start time of the run.
    fn decode_load(&self, _: &response::Parts, body: &[u8]) -> Option<EngineLoad> {
        let (kv_used, started_at) = std::str::from_utf8(body).ok()?.split_once(' ')?;
        let (kv_used, started_at) = (kv_used.parse().ok()?, started_at.parse().ok()?);
        let kv_tokens = ENGINE_KV_TOKENS;
        Some(EngineLoad { kv_used, kv_tokens, started_at, ..EngineLoad::default() })
    }

    fn reservation_request(&self, reservation: &Reservation) -> Request<Full<Bytes>> {
        let tokens = reservation.tokens;
        Request::post(format!("{RESERVATION_PATH}/{tokens}")).body(Full::default()).unwrap()
    }

    fn decode_reservation(&self, head: &response::Parts, body: &[u8]) -> ReservationReply {
        match head.status.as_u16() {
            200 => ReservationReply::Granted(String::from_utf8(body.to_vec()).unwrap()),
            404 => ReservationReply::NotRequired,
            _ => ReservationReply::Denied,
        }
    }

    fn decode_copy_reply(&self, head: &response::Parts, body: &[u8]) -> CopyReply {
        let handle = std::str::from_utf8(body).ok().filter(|text| !text.is_empty());
        let handle = handle.map(str::to_owned);
        match (head.status.as_u16(), handle) {
            (200, Some(handle)) => CopyReply::Done { handle, events: 0 },
            (404, _) => CopyReply::NotRunning,
            (503, handle) => CopyReply::Refused { handle },
            _ => CopyReply::Malformed,
        }
    }
}

/// The value of the [`KV_COPY`] header.
pub(super) fn kv_copy_header(copy: &KvCopy) -> String {
    format!("{}/{}", copy.source, copy.handle)
}
