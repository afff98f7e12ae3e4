//! One call that may not be repeated, resent as a caller would when its answer was lost.

use std::{
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use ureq::Agent;

use super::{LoadOptions, daemon};

/// Attempts at most; each goes to another daemon.
const MAX_ATTEMPTS: u64 = 6;
const PAUSE: Duration = Duration::from_millis(300);

/// How one attempt ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum CallEnd {
    /// The service's answer.
    Answered(String),
    /// The daemon's error and the outcome that it named.
    Outcome(String),
    /// No answer came.
    Nothing,
}

/// What a caller saw of one call.
#[derive(Debug)]
pub(crate) struct CallSeen {
    /// The body, which names the call in the journals.
    pub(crate) body: String,
    /// How each attempt ended.
    pub(crate) ends: Vec<CallEnd>,
    /// Time of the last attempt.
    pub(crate) total: Duration,
}

pub(super) fn make(agent: &Agent, options: &LoadOptions, number: u64) -> CallSeen {
    let body = format!("{{\"call\":\"{:x}-{number}\"}}", options.seed);
    let key = uuid_v7(options.seed, number);
    let mut seen = CallSeen { body, ends: Vec::new(), total: Duration::ZERO };
    for attempt in 0..MAX_ATTEMPTS {
        let began = Instant::now();
        let end = attempt_once(agent, options, number, attempt, &key, &seen.body);
        seen.total = began.elapsed();
        let again = match &end {
            CallEnd::Answered(_) => false,
            CallEnd::Nothing => true,
            CallEnd::Outcome(outcome) => outcome == "in_progress" || outcome == "not_run",
        };
        seen.ends.push(end);
        if !again {
            break;
        }
        thread::sleep(PAUSE);
    }
    seen
}

fn attempt_once(
    agent: &Agent,
    options: &LoadOptions,
    number: u64,
    attempt: u64,
    key: &str,
    body: &str,
) -> CallEnd {
    let address = daemon(agent, options, number, attempt);
    let call = options.call.as_deref().unwrap_or_default();
    let result = agent
        .post(&format!("http://{address}/v1/services/{call}"))
        .set("Authorization", &format!("Bearer {}", options.key))
        .set("Idempotency-Key", key)
        .send_string(body);
    match result {
        Ok(response) => response.into_string().map_or(CallEnd::Nothing, CallEnd::Answered),
        Err(ureq::Error::Status(409, _)) => CallEnd::Outcome("in_progress".into()),
        Err(ureq::Error::Status(_, response)) => match response.header("X-Outcome") {
            Some(outcome) => CallEnd::Outcome(outcome.to_owned()),
            None => CallEnd::Nothing,
        },
        Err(ureq::Error::Transport(_)) => CallEnd::Nothing,
    }
}

/// A version 7 UUID: the time, then bits that name the call.
fn uuid_v7(seed: u64, number: u64) -> String {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let millis = now.as_millis() as u64 & 0xffff_ffff_ffff;
    let mixed = (seed.wrapping_mul(0x9e37_79b9) ^ number) & 0xffff_ffff_ffff;
    let high = millis >> 16;
    let low = millis & 0xffff;
    format!("{high:08x}-{low:04x}-7{:03x}-8{:03x}-{mixed:012x}", number & 0xfff, seed & 0xfff)
}
