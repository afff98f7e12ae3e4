//! A runner says that it leaves and is gone 2 s later, in the middle of streams without framing.

use std::{io, thread, time::Duration};

use crate::{
    Verdict,
    caller::send,
    config::{SLOTS, config},
    runner::{Framing, events},
    site::{Record, Site},
};

/// One of six is within the share of a service's runners that is taken away at once, 0.17.
const RUNNERS: u16 = 6;
/// Time from the notice of a runner to its end.
const NOTICE: Duration = Duration::from_secs(2);
/// A stream takes 6 s; its pauses are far under the 180 ms of the sheet.
const EVENTS: u64 = 120;
const PACE: Duration = Duration::from_millis(50);
const REQUESTS: usize = 18;
/// Time between two requests.
const GAP: Duration = Duration::from_millis(30);
/// Time from the first request to the notice.
const NOTICE_AFTER: Duration = Duration::from_millis(1_000);
const KEY: &str = "wsjnbanfqasnmgkcuyj8";

pub fn play(record: &Record, has_trouble: bool) -> io::Result<Verdict> {
    let site = Site::start(record.clone(), 2)?;
    site.configure(&config(1, &[("studio-a", &[KEY])]))?;
    let start = |n| site.start_runner(n, SLOTS, Framing::None, EVENTS, PACE);
    let mut runners = (1..=RUNNERS).map(start).collect::<io::Result<Vec<_>>>()?;
    site.wait_until_in_touch()?;
    let fronts = site.fronts();
    let callers: Vec<_> = (0..REQUESTS)
        .map(|n| {
            let (record, front) = (record.clone(), fronts[n % fronts.len()]);
            thread::spawn(move || {
                thread::sleep(GAP * n as u32);
                keeps_rule(&record, front, n)
            })
        })
        .collect();
    thread::sleep(NOTICE_AFTER);
    if has_trouble {
        runners[0].drain()?;
        thread::sleep(NOTICE);
        runners[0].kill();
        record.write("the runner that had said that it leaves is gone (SIGKILL)");
    }
    let kept = callers.into_iter().map(|caller| caller.join().unwrap_or(true));
    let broken = kept.filter(|kept| !kept).count();
    record.write(&format!("{broken} streams ended as complete before their last piece"));
    Ok(if 0 < broken { Verdict::Broken } else { Verdict::Held })
}

/// Sends a request; returns whether its answer is whole or is seen not to be.
fn keeps_rule(record: &Record, front: std::net::SocketAddr, n: usize) -> bool {
    let (attempt, answer) = send(record, front, KEY, n);
    let Some(answer) = answer else { return true };
    let whole: String = events(&attempt, 0, EVENTS, "v1").collect();
    let looks_whole = answer.status == 200 && answer.is_complete;
    let is_whole = answer.body == whole.as_bytes();
    if looks_whole && !is_whole {
        record.write(&format!(
            "caller: {attempt} has {} of {} bytes in an answer that looks complete",
            answer.body.len(),
            whole.len()
        ));
    }
    !looks_whole || is_whole
}
