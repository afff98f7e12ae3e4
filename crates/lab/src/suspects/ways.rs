//! How many endpoints end under one request, by who knows of the ends and what is done by it.
//!
//! Tries come at random through daemons at random, each runs for a while and ends its endpoint. What
//! daemons know, and when, is all that differs.

use serde::Serialize;

/// Time from a try's arrival to its endpoint's end, in ms: the middle of what was seen.
const RUNS: u64 = 700;
/// How long callers repeat the request, in ms.
const LASTS: u64 = 60_000;
/// Ends after which a request is sent to no endpoint.
const ENDS: usize = 3;
/// Ends in trials after which it is, where tries run one at a time.
const TRIALS: usize = 2;
/// Interval of the answers by which a daemon confirms its configuration, in ms.
const POLL: u64 = 250;
/// Two ways in a region and a sync of the log, in ms.
const TOLD: u64 = 10;

/// Who knows of an end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Way {
    /// Only the daemon that saw it.
    Alone,
    /// All daemons, each with its next confirmation.
    Confirmations,
    /// All daemons at once; tries run as they come until there are enough ends.
    Told,
    /// All daemons at once; after the first end one try runs at a time.
    OneAtATime,
}

const WAYS: [Way; 4] = [Way::Alone, Way::Confirmations, Way::Told, Way::OneAtATime];

/// Ends of one way at one size, on the mean of many plays.
#[derive(Debug, Serialize)]
pub(crate) struct Ends {
    /// Who knows of an end.
    pub(crate) way: Way,
    /// Daemons that tries come through.
    pub(crate) daemons: usize,
    /// Tries a second.
    pub(crate) tries: f64,
    /// Endpoints that ended.
    pub(crate) ended: f64,
}

/// Plays every way with so many daemons.
pub(crate) fn ends(daemons: &[usize]) -> Vec<Ends> {
    const PLAYS: u64 = 200;
    let mut all = Vec::new();
    for daemons in daemons.iter().copied() {
        for tries in [1.3, 13.0] {
            for way in WAYS {
                let ended = (0..PLAYS).map(|seed| play(way, daemons, tries, seed)).sum::<usize>();
                all.push(Ends { way, daemons, tries, ended: ended as f64 / PLAYS as f64 });
            }
        }
    }
    all
}

/// An end of an endpoint.
#[derive(Debug, Clone, Copy)]
struct End {
    at: u64,
    daemon: usize,
    in_trial: bool,
}

/// Endpoints that end under a request that is repeated for a minute.
pub(super) fn play(way: Way, daemons: usize, tries: f64, seed: u64) -> usize {
    let mut rng = fastrand::Rng::with_seed(seed);
    let offsets: Vec<u64> = (0..daemons).map(|_| rng.u64(..POLL)).collect();
    let mut ends: Vec<End> = Vec::new();
    let mut at = 0;
    loop {
        at += (-(1.0 - rng.f64()).ln() * 1_000.0 / tries) as u64 + 1;
        if LASTS <= at {
            return ends.len();
        }
        let daemon = rng.usize(..daemons);
        let is_known = |end: &&End| known_at(way, end, daemon, offsets[daemon]) <= at;
        let known = ends.iter().filter(is_known).count();
        let trials = ends.iter().filter(is_known).filter(|end| end.in_trial).count();
        let one_at_a_time = way == Way::OneAtATime;
        let runs = ends.iter().any(|end| end.in_trial && at < end.at);
        let is_trial = one_at_a_time && 0 < known;
        let is_barred = ENDS <= known && (!one_at_a_time || TRIALS <= trials);
        let waits = is_trial && runs;
        if !is_barred && !waits {
            ends.push(End { at: at + RUNS, daemon, in_trial: is_trial });
        }
    }
}

/// When a daemon knows of an end.
fn known_at(way: Way, end: &End, daemon: usize, offset: u64) -> u64 {
    match way {
        _ if end.daemon == daemon => end.at,
        Way::Alone => u64::MAX,
        Way::Confirmations => (end.at + TOLD + POLL - offset).div_ceil(POLL) * POLL + offset,
        Way::Told | Way::OneAtATime => end.at + TOLD,
    }
}
