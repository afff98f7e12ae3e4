//! What an entry sends to the other daemons is held up for a while; later runners leave and others come.

use std::{
    io,
    path::Path,
    sync::{Arc, atomic::Ordering},
    time::{Duration, Instant},
};

use super::{Config, HOST, begin, runners, sleep_ms};
use crate::{
    fleet::Fleet,
    http,
    record::Record,
    runner::{self, Answer},
};

/// How long it is held up: longer than the silence after which a link counts as down.
const HELD_UP_MS: u64 = 2_700;
/// Afterwards everything rests for longer than `contact-ms`.
const CALM_MS: u64 = 5_000;
/// `drain-ms` of the settings, and half a second.
const AFTER_DRAIN_MS: u64 = 2_500;
const REQUESTS: usize = 20;

fn ask(fleet: &Fleet, front: usize, id: &str) -> u16 {
    let headers = [
        ("Host", HOST),
        ("X-Attempt-Id", id),
        ("X-Deadline-Ms", "2000"),
        ("X-Credential", "key-of-t-1"),
    ];
    let limit = Duration::from_secs(3);
    let answer = http::ask(fleet.front(front), "POST", "/hold/1", &headers, b"x", limit);
    answer.map_or(0, |answer| answer.status())
}

pub fn play(root: &Path, trouble: bool, record: &Record) -> io::Result<bool> {
    let config = Config::new(1)
        .route("/hold/", "unsafe", "desk", "5000", "")
        .service("desk")
        .tenant("t-1", "key-of-t-1");
    let mut fleet = Fleet::new(root, 5, 2, record.clone())?;
    let holds = fleet.proxy_links("front-1")?;
    begin(&mut fleet, 2, &config)?;
    let answer: Arc<Answer> = Arc::new(|req, writer| runner::success(req, writer, &[b'x'; 800]));
    let old = runners(&fleet, "desk", 0, 2, record, answer.clone())?;
    for front in [1, 2] {
        if ask(&fleet, front, &format!("before-{front}")) != 200 {
            return Err(io::Error::other("an entry does not serve"));
        }
    }
    if trouble {
        record.line("what front-1 sends to other daemons is held up from now on");
        holds.store(true, Ordering::Relaxed);
    }
    sleep_ms(HELD_UP_MS);
    holds.store(false, Ordering::Relaxed);
    record.line("everything passes");
    sleep_ms(CALM_MS);
    let _new = runners(&fleet, "desk", 2, 2, record, answer)?;
    for runner in &old {
        if !runner.drain(fleet.control(1)) {
            return Err(io::Error::other("a leave was not acknowledged"));
        }
        record.line(&format!("core-1 acknowledges that {} leaves", runner.id));
    }
    let acknowledged = Instant::now();
    sleep_ms(AFTER_DRAIN_MS);
    let ran = || old.iter().map(|runner| runner.ran.lock().unwrap().len()).sum::<usize>();
    for front in [2, 1] {
        let before = ran();
        for i in 0..REQUESTS {
            let id = format!("after-{front}-{i}");
            let ms = acknowledged.elapsed().as_millis();
            let status = ask(&fleet, front, &id);
            record.line(&format!("request {id}, {ms} ms after the acknowledgement: {status}"));
            sleep_ms(50);
        }
        record.line(&format!(
            "front-{front} sent {} of {REQUESTS} requests to runners that leave",
            ran() - before
        ));
    }
    let late = ran() - 2;
    record.line(&format!("{late} requests reached leaving runners later than drain-ms"));
    Ok(0 < late)
}
