//! A caller of the streaming route.

use std::{net::SocketAddr, time::Duration};

use crate::{
    http::{self, Answer},
    site::Record,
};

const DEADLINE: Duration = Duration::from_secs(39);

/// Sends request number `n` and reads its whole answer.
pub fn send(record: &Record, front: SocketAddr, key: &str, n: usize) -> (String, Option<Answer>) {
    send_again(record, front, key, n, 0, DEADLINE)
}

/// Sends request number `n` as its try number `retry`.
pub fn send_again(
    record: &Record,
    front: SocketAddr,
    key: &str,
    n: usize,
    retry: u64,
    left: Duration,
) -> (String, Option<Answer>) {
    let attempt = format!("{:016x}", 0x5eed_0000_0000_0000_u64 + (retry << 32) + n as u64);
    let parts = format!("5c1e07a2:79,{:08x}:300", 0x1000 + n);
    let deadline = left.as_millis().to_string();
    let headers = [
        ("Host", "desk.example"),
        ("X-Attempt-Id", attempt.as_str()),
        ("X-Model-Name", "m"),
        ("X-Token-Count", "379,600"),
        ("X-Prefix-Hash", parts.as_str()),
        ("X-Deadline-Ms", deadline.as_str()),
        ("X-Credential", key),
    ];
    record.write(&format!("caller: sends {attempt} to {front}"));
    let answer = http::call(
        front,
        "POST",
        "/draft/1",
        &headers,
        format!("{{\"draft\":{n}}}").as_bytes(),
        left,
    );
    match answer {
        Ok(answer) => {
            let seal = answer.header("x-response-seal").unwrap_or("none");
            let end = if answer.is_complete { "complete" } else { "broken off" };
            let text = String::from_utf8_lossy(&answer.body);
            let shown = if answer.status == 200 { "" } else { text.as_ref() };
            record.write(&format!(
                "caller: {attempt} is answered {}, seal {seal}, {} bytes, {end} {shown}",
                answer.status,
                answer.body.len()
            ));
            (attempt, Some(answer))
        }
        Err(e) => {
            record.write(&format!("caller: {attempt} gets no answer: {e}"));
            (attempt, None)
        }
    }
}
