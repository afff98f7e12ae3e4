//! One streamed generation, as its caller sees it.

use std::{
    io::Write,
    net::SocketAddr,
    time::{Duration, Instant},
};

use serde_json::{Value, json};
use trayswitch_http::EventReader;
use ureq::Agent;

use super::{LoadOptions, daemon};

/// What a caller saw of one generation.
#[derive(Debug, Default)]
pub(crate) struct ChatSeen {
    /// Names the request.
    pub(crate) number: u64,
    /// Texts of the tokens, in the order in which they came.
    pub(crate) tokens: Vec<String>,
    /// Ids of the events that carried them.
    pub(crate) ids: Vec<u64>,
    /// Whether the answer ended cleanly, with the number of tokens that it claimed.
    pub(crate) count: Option<u64>,
    /// Outcome that the daemon named, if it ended in an error.
    pub(crate) outcome: Option<String>,
    /// Code of that error.
    pub(crate) code: Option<String>,
    /// HTTP status, if an answer came.
    pub(crate) status: Option<u16>,
    /// Whether Retry-After was given.
    pub(crate) retry_after: bool,
    /// Time to the first token.
    pub(crate) first: Option<Duration>,
    /// Times between tokens.
    pub(crate) gaps: Vec<Duration>,
    /// Time to the end.
    pub(crate) total: Duration,
}

pub(super) fn make(agent: &Agent, options: &LoadOptions, number: u64) -> ChatSeen {
    let mut rng = fastrand::Rng::with_seed(options.seed ^ number.wrapping_mul(0x9e37));
    let filler: String = (0..options.prompt).map(|_| rng.lowercase()).collect();
    let mut body = json!({
        "model": options.model,
        "stream": true,
        "messages": [{ "role": "user", "content": format!("{filler} {number}") }],
    });
    if let Some(length) = options.length {
        body["emulated_length"] = json!(length);
    }
    let mut seen = ChatSeen { number, ..ChatSeen::default() };
    follow(agent, daemon(agent, options, number, 0), &options.key, &body, &mut seen, &mut |_| {});
    seen
}

/// Asks once and prints each token as it comes.
pub(crate) fn ask(
    address: SocketAddr,
    key: &str,
    model: &str,
    prompt: &str,
    out: &mut dyn Write,
) -> ChatSeen {
    let body = json!({
        "model": model,
        "stream": true,
        "messages": [{ "role": "user", "content": prompt }],
    });
    let mut seen = ChatSeen::default();
    follow(&super::agent(), address, key, &body, &mut seen, &mut |text| {
        // A closed terminal only ends the printing.
        let _ = write!(out, "{text}").and_then(|()| out.flush());
    });
    seen
}

fn follow(
    agent: &Agent,
    address: SocketAddr,
    key: &str,
    body: &Value,
    seen: &mut ChatSeen,
    on_token: &mut dyn FnMut(&str),
) {
    let began = Instant::now();
    let result = agent
        .post(&format!("http://{address}/v1/chat/completions"))
        .set("Authorization", &format!("Bearer {key}"))
        .send_json(body);
    match result {
        Ok(response) => {
            seen.status = Some(response.status());
            read(EventReader::new(response.into_reader()), began, seen, on_token);
        }
        Err(ureq::Error::Status(status, response)) => {
            seen.status = Some(status);
            seen.outcome = response.header("X-Outcome").map(str::to_owned);
            seen.retry_after = response.has("Retry-After");
            let body: Value = response.into_json().unwrap_or_default();
            seen.code = body["error"]["code"].as_str().map(str::to_owned);
        }
        Err(ureq::Error::Transport(_)) => {}
    }
    seen.total = began.elapsed();
}

fn read(events: EventReader, began: Instant, seen: &mut ChatSeen, on_token: &mut dyn FnMut(&str)) {
    let mut last = began;
    for event in events {
        let Ok(event) = event else { return };
        if event.data == "[DONE]" {
            return;
        }
        let Ok(value) = serde_json::from_str::<Value>(&event.data) else { return };
        if event.name == "error" {
            seen.outcome = value["error"]["outcome"].as_str().map(str::to_owned);
            seen.retry_after = value["error"]["retry_after_ms"].is_u64();
            seen.code = value["error"]["code"].as_str().map(str::to_owned);
            return;
        }
        if let Some(count) = value["usage"]["completion_tokens"].as_u64() {
            seen.count = Some(count);
            continue;
        }
        let now = Instant::now();
        match seen.first {
            None => seen.first = Some(now - began),
            Some(_) => seen.gaps.push(now - last),
        }
        last = now;
        let text = value["choices"][0]["delta"]["content"].as_str().unwrap_or_default();
        seen.ids.push(event.id.parse().unwrap_or(0));
        on_token(text);
        seen.tokens.push(text.to_owned());
    }
}
