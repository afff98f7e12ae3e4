//! Plays traffic against endpoints that are all in need.

use std::{collections::HashMap, sync::Arc, time::Duration};

use serde::Serialize;
use trayswitch_core::units::Instant;

use super::ways::{Arrival, Deciders, LIMIT, Sent, WAYS, Way};

/// Endpoints of the service.
const ENDPOINTS: usize = 4;
/// How long traffic is played, and what comes before it is measured.
const LASTS: Duration = Duration::from_secs(120);
const WARM_UP: Duration = Duration::from_secs(40);
/// The span for which the bound on what an endpoint gets is stated.
const SPAN: Duration = Duration::from_secs(4);
/// How long a request can wait: a target of 300 ms less the time of a call.
const MAX_WAIT: Duration = Duration::from_millis(240);
/// Time that passes between two looks.
const STEP: Duration = Duration::from_millis(2);

/// How traffic is spread over daemons.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Traffic {
    /// All get the same.
    Even,
    /// The n-th gets an n-th of what the first gets.
    Uneven,
}

/// What came of one way.
#[derive(Debug, Serialize)]
pub(crate) struct Kept {
    /// Who keeps the count.
    pub(crate) way: Way,
    /// Daemons.
    pub(crate) daemons: usize,
    /// How traffic is spread over them.
    pub(crate) traffic: Traffic,
    /// Requests that come, as a part of what the endpoints take.
    pub(crate) load: f64,
    /// Most that an endpoint got in 4 s, as a part of what it takes in that time.
    pub(crate) most: f64,
    /// Requests that were sent, as a part of what could be.
    pub(crate) used: f64,
    /// Mean time that these waited, in ms.
    pub(crate) waited_ms: f64,
    /// Messages a second that the leader got.
    pub(crate) messages: f64,
}

/// Plays every way with so many daemons.
pub(crate) fn compare(daemons: &[usize]) -> Vec<Kept> {
    let mut all = Vec::new();
    for daemons in daemons.iter().copied() {
        for traffic in [Traffic::Even, Traffic::Uneven] {
            for load in [0.5, 3.0] {
                all.extend(WAYS.map(|way| play(way, daemons, traffic, load)));
            }
        }
    }
    all
}

/// Plays one way.
pub(super) fn play(way: Way, daemons: usize, traffic: Traffic, load: f64) -> Kept {
    let mut rng = fastrand::Rng::with_seed(7);
    let takes = LIMIT * ENDPOINTS as f64;
    let weights: Vec<f64> = (0..daemons).map(|n| weight(traffic, n)).collect();
    let whole: f64 = weights.iter().sum();
    let mut deciders = Deciders::new(way, daemons, ENDPOINTS);
    let (mut next, mut came, mut sent) = (Instant(0), 0_usize, Vec::new());
    for step in 0..(LASTS.as_micros() / STEP.as_micros()) as u64 {
        let now = Instant(step * STEP.as_micros() as u64);
        while next <= now {
            let daemon = draw(&weights, rng.f64() * whole);
            came += usize::from(WARM_UP <= now.since(Instant(0)));
            sent.extend(deciders.come(Arrival { at: now, daemon }, MAX_WAIT));
            let pause = -(1.0 - rng.f64()).ln() / (takes * load);
            next = next.after(Duration::from_secs_f64(pause));
        }
        sent.extend(deciders.decide(now, MAX_WAIT));
    }
    sent.retain(|sent| WARM_UP <= sent.at.since(Instant(0)));
    let seconds = (LASTS - WARM_UP).as_secs_f64();
    let possible = (takes * seconds).min(came as f64);
    let waited: f64 = sent.iter().map(|sent| sent.waited.as_secs_f64()).sum();
    Kept {
        way,
        daemons,
        traffic,
        load,
        most: most_in_span(&sent) as f64 / (LIMIT * SPAN.as_secs_f64()),
        used: sent.len() as f64 / possible,
        waited_ms: 1_000.0 * waited / sent.len().max(1) as f64,
        messages: deciders.messages as f64 / LASTS.as_secs_f64(),
    }
}

fn weight(traffic: Traffic, daemon: usize) -> f64 {
    match traffic {
        Traffic::Even => 1.0,
        Traffic::Uneven => 1.0 / (daemon + 1) as f64,
    }
}

/// The daemon at this place in the sum of weights.
fn draw(weights: &[f64], mut at: f64) -> usize {
    for (daemon, weight) in weights.iter().enumerate() {
        at -= weight;
        if at < 0.0 {
            return daemon;
        }
    }
    weights.len() - 1
}

/// Most that any endpoint got within the span.
fn most_in_span(sent: &[Sent]) -> usize {
    let mut by_endpoint: HashMap<&Arc<str>, Vec<Instant>> = HashMap::new();
    for sent in sent {
        by_endpoint.entry(&sent.endpoint).or_default().push(sent.at);
    }
    let most = |times: &Vec<Instant>| {
        let within = |from: &Instant| {
            times.iter().filter(|at| from <= *at && at.since(*from) < SPAN).count()
        };
        times.iter().map(within).max().unwrap_or(0)
    };
    by_endpoint.values().map(most).max().unwrap_or(0)
}
