//! The last tenant is taken away: its key must run nothing any more.

use std::{io, path::Path, sync::Arc, time::Duration};

use super::{Config, HOST, runners, serving, sleep_ms};
use crate::{
    fleet::Fleet,
    http,
    record::Record,
    runner::{self, Answer},
};

/// `revoke-ms` of the settings, and a second.
const AFTER_REVOCATION_MS: u64 = 6_000;

fn config(version: u64) -> Config {
    Config::new(version).route("/hold/", "unsafe", "desk", "5000", "").service("desk")
}

/// Sends ten requests with a key, half of them to each entry; counts the successes.
fn ask(fleet: &Fleet, key: &str, tag: &str, record: &Record) -> usize {
    let mut served = 0;
    for i in 0..10 {
        let id = format!("{tag}-{i}");
        let headers = [
            ("Host", HOST),
            ("X-Attempt-Id", id.as_str()),
            ("X-Deadline-Ms", "2000"),
            ("X-Credential", key),
        ];
        let front = i % 2 + 1;
        let answer = http::ask(
            fleet.front(front),
            "POST",
            "/hold/1",
            &headers,
            b"x",
            Duration::from_secs(3),
        );
        let status = answer.as_ref().map_or(0, http::Message::status);
        record.line(&format!("request {id} with {key} at front-{front}: {status}"));
        served += usize::from(status == 200);
    }
    served
}

pub fn play(root: &Path, trouble: bool, record: &Record) -> io::Result<bool> {
    let first = config(1).tenant("t-1", "key-of-t-1");
    let fleet = serving(root, 2, &first, record)?;
    let answer: Arc<Answer> = Arc::new(|req, writer| runner::success(req, writer, &[b'x'; 800]));
    let started = runners(&fleet, "desk", 0, 2, record, answer)?;
    if ask(&fleet, "key-of-t-1", "before", record) != 10
        || ask(&fleet, "key-of-nobody", "before-nobody", record) != 0
    {
        return Err(io::Error::other("the keys do not work as the first configuration says"));
    }
    let second = if trouble { config(2) } else { config(2).tenant("t-1", "key-of-t-1") };
    record.line(&format!("the operator sends {}", second.text()));
    fleet
        .put_config(&second.text(), 1, Duration::from_secs(10))
        .ok_or_else(|| io::Error::other("the second configuration was not acknowledged"))?;
    sleep_ms(AFTER_REVOCATION_MS);
    ask(&fleet, "key-of-t-1", "after", record);
    ask(&fleet, "key-of-nobody", "after-nobody", record);
    let ran: Vec<String> =
        started.iter().flat_map(|runner| runner.ran.lock().unwrap().clone()).collect();
    let count = |tag: &str| {
        ran.iter().filter(|id| id.rsplit_once('-').is_some_and(|(kind, _)| kind == tag)).count()
    };
    let (taken_away, nobody) = (count("after"), count("after-nobody"));
    record.line(&format!(
        "runners ran {taken_away} of 10 requests with key-of-t-1 ({}) and {nobody} of 10 with a key that no \
         configuration ever held",
        if trouble { "taken away 6 s before" } else { "still held" }
    ));
    Ok(0 < nobody || (trouble && 0 < taken_away))
}
