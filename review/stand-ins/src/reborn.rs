//! A runner that is cut off from control crashes and starts again under its id at another version.

use std::{collections::BTreeSet, io, net::SocketAddr, thread, time::Duration};

use crate::{
    Verdict,
    config::{SLOTS, config},
    http,
    runner::{Framing, Run},
    site::{Record, Site},
};

/// One of five is within the share that `srv_cut` names, 0.2.
const RUNNERS: u16 = 5;
/// Time from the cut to the crash, and from the crash to the next start.
const CRASH_AFTER: Duration = Duration::from_millis(300);
const START_AFTER: Duration = Duration::from_millis(300);
/// The cut heals this long after the start.
const CUT_FOR: Duration = Duration::from_millis(4_400);
/// A stream takes 2 s.
const EVENTS: u64 = 40;
const PACE: Duration = Duration::from_millis(50);
const REQUESTS: usize = 60;
const GAP: Duration = Duration::from_millis(60);
/// Callers lose their connection after so many events, and take the stream up at another front.
const LOST_AFTER: usize = 5;
const DEADLINE: Duration = Duration::from_secs(20);
const KEY: &str = "wsjnbanfqasnmgkcuyj8";

pub fn play(record: &Record, has_trouble: bool) -> io::Result<Verdict> {
    let site = Site::start(record.clone(), 3)?;
    site.configure(&config(1, &[("studio-a", &[KEY])]))?;
    let start = |n, run| site.start_run(n, SLOTS, Framing::Chunked, EVENTS, PACE, run);
    let first = |n| start(n, Run::now("v1", Duration::ZERO));
    let mut runners = (1..=RUNNERS).map(first).collect::<io::Result<Vec<_>>>()?;
    site.wait_until_in_touch()?;
    let fronts = site.fronts();
    if has_trouble {
        runners[0].cut()?;
        thread::sleep(CRASH_AFTER);
        runners[0].kill();
        record.write("i-1 has crashed");
        thread::sleep(START_AFTER);
        runners[0] = start(1, Run::now("v2", CUT_FOR))?;
        record.write("i-1 has started again at v2");
    }
    let callers: Vec<_> = (0..REQUESTS)
        .map(|n| {
            let (record, fronts) = (record.clone(), fronts.clone());
            thread::spawn(move || {
                thread::sleep(GAP * n as u32);
                versions_of_stream(&record, &fronts, n)
            })
        })
        .collect();
    let versions = callers.into_iter().map(|caller| caller.join().unwrap_or_default());
    let joined = versions.filter(|versions| 1 < versions.len()).count();
    record.write(&format!("{joined} streams hold events of two versions"));
    // ORDER: more than two streams.
    Ok(if 2 < joined { Verdict::Broken } else { Verdict::Held })
}

/// Receives a stream in two parts; returns the versions that wrote its events.
fn versions_of_stream(record: &Record, fronts: &[SocketAddr], n: usize) -> BTreeSet<String> {
    let first = format!("{:016x}", 0x5eed_0000_0000_0000_u64 + n as u64);
    let second = format!("{:016x}", 0x5eed_0001_0000_0000_u64 + n as u64);
    let front = fronts[n % fronts.len()];
    let next = fronts[(n + 1) % fronts.len()];
    let begun = receive(record, front, &first, None, LOST_AFTER);
    let mut versions: BTreeSet<String> = begun.iter().map(|event| version_of(event)).collect();
    let Some(last) = begun.last().and_then(|event| id_of(event)) else { return versions };
    record.write(&format!("caller: {first} lost its connection after event {last}"));
    let taken_up = receive(record, next, &second, Some((&first, last)), usize::MAX);
    versions.extend(taken_up.iter().map(|event| version_of(event)));
    if 1 < versions.len() {
        record.write(&format!("caller: {first} and {second} hold events of {versions:?}"));
    }
    versions
}

/// Receives at most `count` events of a stream.
fn receive(
    record: &Record,
    front: SocketAddr,
    attempt: &str,
    resumes: Option<(&str, u64)>,
    count: usize,
) -> Vec<String> {
    let parts = format!("5c1e07a2:79,{}:300", &attempt[8..]);
    let last = resumes.map(|(_, last)| last.to_string()).unwrap_or_default();
    let mut headers = vec![
        ("Host", "desk.example"),
        ("X-Attempt-Id", attempt),
        ("X-Model-Name", "m"),
        ("X-Token-Count", "379,600"),
        ("X-Prefix-Hash", parts.as_str()),
        ("X-Deadline-Ms", "20000"),
        ("X-Credential", KEY),
    ];
    if let Some((first, _)) = resumes {
        headers.extend([("Resumes", first), ("Last-Event-Id", last.as_str())]);
    }
    let wants_more = |body: &[u8]| whole_events(body).len() < count;
    let answer = http::stream(front, "/draft/1", &headers, b"{}", DEADLINE, wants_more);
    let (status, events) = match answer {
        Ok(answer) => (answer.status, whole_events(&answer.body)),
        Err(e) => {
            record.write(&format!("caller: {attempt} gets no answer: {e}"));
            return Vec::new();
        }
    };
    let versions: BTreeSet<String> = events.iter().map(|event| version_of(event)).collect();
    let count = events.len();
    record.write(&format!(
        "caller: {attempt} at {front} is answered {status}, {count} events of {versions:?}"
    ));
    events
}

fn whole_events(body: &[u8]) -> Vec<String> {
    let text = String::from_utf8_lossy(body);
    let end = text.rfind("\n\n").map_or(0, |at| at + 2);
    text[..end].split_terminator("\n\n").map(str::to_owned).collect()
}

fn version_of(event: &str) -> String {
    event.rsplit(' ').next().unwrap_or_default().to_owned()
}

fn id_of(event: &str) -> Option<u64> {
    event.strip_prefix("id: ")?.split('\n').next()?.parse().ok()
}
