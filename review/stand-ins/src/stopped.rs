//! A front machine is stopped while requests that came back when they were told wait there.

use std::{
    io,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    Verdict,
    caller::{send, send_again},
    config::{SLOTS, config},
    runner::Framing,
    site::{Record, Site},
};

const RUNNERS: u16 = 1;
/// As many events as those of practice-coach; a stream takes 17 s of its 39 s.
const EVENTS: u64 = 236;
const PACE: Duration = Duration::from_millis(70);
/// Requests that fill the runner.
const FIRST: usize = SLOTS;
/// Requests that come while it is full.
const LATER: usize = 4;
const DEADLINE: Duration = Duration::from_secs(39);
/// The longest time to come back that clients honour, as a part of what they have left.
const HONOURED_PART: f64 = 3.0;
const LOSS_SLACK: Duration = Duration::from_millis(200);
const KEY: &str = "wsjnbanfqasnmgkcuyj8";

pub fn play(record: &Record, has_trouble: bool) -> io::Result<Verdict> {
    let mut site = Site::start(record.clone(), 3)?;
    site.configure(&config(1, &[("studio-a", &[KEY])]))?;
    let start = |n| site.start_runner(n, SLOTS, Framing::Chunked, EVENTS, PACE);
    let _runners = (1..=RUNNERS).map(start).collect::<io::Result<Vec<_>>>()?;
    site.wait_until_in_touch()?;
    let fronts = site.fronts();
    let (stopped, other) = (fronts[0], fronts[1]);
    let mut callers = Vec::new();
    for n in 0..FIRST {
        let record = record.clone();
        callers.push(thread::spawn(move || {
            send(&record, other, KEY, n);
            false
        }));
    }
    thread::sleep(Duration::from_millis(500));
    let is_waiting = Arc::new(AtomicBool::new(false));
    for n in FIRST..FIRST + LATER {
        let (record, is_waiting) = (record.clone(), is_waiting.clone());
        callers.push(thread::spawn(move || is_lost(&record, other, stopped, n, &is_waiting)));
        thread::sleep(Duration::from_millis(50));
    }
    let until = Instant::now() + Duration::from_secs(20);
    while !is_waiting.load(Ordering::SeqCst) && Instant::now() < until {
        thread::sleep(Duration::from_millis(10));
    }
    thread::sleep(Duration::from_millis(300));
    if has_trouble {
        site.stop_front(0)?;
    }
    let lost = callers.into_iter().map(|caller| caller.join().unwrap_or(false));
    let lost = lost.filter(|lost| *lost).count();
    record.write(&format!("{lost} requests were read and their connection closed with no answer"));
    Ok(if 0 < lost { Verdict::Broken } else { Verdict::Held })
}

/// Sends a request, and once more when it is told to; returns whether the second try was closed with
/// no answer long after it was sent.
fn is_lost(
    record: &Record,
    front: std::net::SocketAddr,
    second: std::net::SocketAddr,
    n: usize,
    is_waiting: &AtomicBool,
) -> bool {
    let began = Instant::now();
    let (_, answer) = send(record, front, KEY, n);
    let Some(answer) = answer.filter(|answer| answer.status == 503) else { return false };
    let wait = answer.header("retry-after").and_then(|wait| wait.parse::<f64>().ok());
    let left = DEADLINE.saturating_sub(began.elapsed());
    let Some(wait) = wait.filter(|wait| wait * HONOURED_PART <= left.as_secs_f64()) else {
        return false;
    };
    record.write(&format!("caller: request {n} comes back after {wait} s, as it was told"));
    thread::sleep(Duration::from_secs_f64(wait));
    let sent_at = Instant::now();
    is_waiting.store(true, Ordering::SeqCst);
    let left = DEADLINE.saturating_sub(began.elapsed());
    let (_, answer) = send_again(record, second, KEY, n, 1, left);
    answer.is_none() && LOSS_SLACK < sent_at.elapsed() && sent_at.elapsed() < left
}
