//! A configuration passes a key on from one tenant to another while requests with that key wait.

use std::{io, thread, time::Duration};

use crate::{
    Verdict,
    caller::send,
    config::{SLOTS, config},
    runner::Framing,
    site::{Record, Site},
};

const RUNNERS: u16 = 1;
/// A stream takes 0.6 s.
const EVENTS: u64 = 20;
const PACE: Duration = Duration::from_millis(30);
const REQUESTS: usize = 14;
/// Time between two requests.
const GAP: Duration = Duration::from_millis(10);
/// Time from the first request to the change.
const CHANGE_AFTER: Duration = Duration::from_millis(400);
const KEY: &str = "wsjnbanfqasnmgkcuyj8";
const KEY_A: &str = "k3p9vq0zt1ynd82mbc4a";
const KEY_B: &str = "xd9dnn2ctnfzs989anu6";

pub fn play(record: &Record, has_trouble: bool) -> io::Result<Verdict> {
    let site = Site::start(record.clone(), 1)?;
    site.configure(&config(1, &[("studio-a", &[KEY_A, KEY]), ("studio-b", &[KEY_B])]))?;
    let start = |n| site.start_runner(n, SLOTS, Framing::Chunked, EVENTS, PACE);
    let _runners = (1..=RUNNERS).map(start).collect::<io::Result<Vec<_>>>()?;
    site.wait_until_in_touch()?;
    let front = site.fronts()[0];
    let callers: Vec<_> = (0..REQUESTS)
        .map(|n| {
            let record = record.clone();
            thread::spawn(move || {
                thread::sleep(GAP * n as u32);
                send(&record, front, KEY, n).1.map(|answer| answer.status)
            })
        })
        .collect();
    thread::sleep(CHANGE_AFTER);
    if has_trouble {
        site.configure(&config(2, &[("studio-a", &[KEY_A]), ("studio-b", &[KEY_B, KEY])]))?;
    }
    let mut statuses: Vec<Option<u16>> =
        callers.into_iter().map(|caller| caller.join().unwrap_or_default()).collect();
    // The key still holds: a request that is sent now is served.
    let late = send(record, front, KEY, REQUESTS).1;
    statuses.push(late.map(|answer| answer.status));
    let count =
        |wanted: &[u16]| statuses.iter().flatten().filter(|status| wanted.contains(status)).count();
    let denied = count(&[400, 401, 403, 404, 405, 409, 413, 431]);
    record.write(&format!(
        "{} requests whose key is in every version: {} served, {} refused with a promise, \
         {denied} denied",
        statuses.len(),
        count(&[200]),
        count(&[429, 503]),
    ));
    // DENIED: more than 5 + one in 500 of all requests.
    let is_broken = 5.0 + statuses.len() as f64 / 500.0 < denied as f64;
    Ok(if is_broken { Verdict::Broken } else { Verdict::Held })
}
