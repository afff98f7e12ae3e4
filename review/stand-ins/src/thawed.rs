//! A front stands still while a runner crashes and starts again, in the middle of streams without
//! framing.

use std::{io, net::SocketAddr, thread, time::Duration};

use crate::{
    Verdict,
    caller::send,
    config::{SLOTS, config},
    runner::{Framing, Run, events},
    site::{Record, Site},
};

/// One of ten machines, with the five that serve control, is within the share that stands still, 0.11.
const FRONTS: usize = 5;
/// One of six is within the share of runners that crash, 0.17.
const RUNNERS: u16 = 6;
/// A stream takes 10 s; its pauses are far under the 180 ms of the sheet.
const EVENTS: u64 = 200;
const PACE: Duration = Duration::from_millis(50);
const REQUESTS: usize = 18;
const GAP: Duration = Duration::from_millis(30);
const FREEZE_AFTER: Duration = Duration::from_millis(1_500);
/// Time from the freeze to the crash, from there to the next start, and from there to the thaw:
/// 3.3 s in all, where the site file has 3.5.
const CRASH_AFTER: Duration = Duration::from_millis(300);
const START_AFTER: Duration = Duration::from_millis(1_500);
const THAW_AFTER: Duration = Duration::from_millis(1_500);
const KEY: &str = "wsjnbanfqasnmgkcuyj8";

pub fn play(record: &Record, has_trouble: bool) -> io::Result<Verdict> {
    let site = Site::start(record.clone(), FRONTS)?;
    site.configure(&config(1, &[("studio-a", &[KEY])]))?;
    let start =
        |n| site.start_run(n, SLOTS, Framing::None, EVENTS, PACE, Run::now("v1", Duration::ZERO));
    let mut runners = (1..=RUNNERS).map(start).collect::<io::Result<Vec<_>>>()?;
    site.wait_until_in_touch()?;
    let front = site.fronts()[0];
    let callers: Vec<_> = (0..REQUESTS)
        .map(|n| {
            let record = record.clone();
            thread::spawn(move || {
                thread::sleep(GAP * n as u32);
                keeps_rule(&record, front, n)
            })
        })
        .collect();
    thread::sleep(FREEZE_AFTER);
    if has_trouble {
        site.signal_front(0, "STOP")?;
        thread::sleep(CRASH_AFTER);
        runners[0].kill();
        record.write("i-1 has crashed");
        thread::sleep(START_AFTER);
        runners[0] = start(1)?;
        record.write("i-1 has started again");
        thread::sleep(THAW_AFTER);
        site.signal_front(0, "CONT")?;
    }
    let kept = callers.into_iter().map(|caller| caller.join().unwrap_or(true));
    let broken = kept.filter(|kept| !kept).count();
    record.write(&format!("{broken} streams ended as complete before their last piece"));
    Ok(if 0 < broken { Verdict::Broken } else { Verdict::Held })
}

/// Sends a request; returns whether its answer is whole or is seen not to be.
fn keeps_rule(record: &Record, front: SocketAddr, n: usize) -> bool {
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
