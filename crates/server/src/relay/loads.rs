//! What this entry knows of plain endpoints from its own requests, and the choice by it.

use std::{cell::RefCell, collections::HashMap, rc::Rc, sync::Arc, time::Duration};

use trayswitch_clock::Instant;
use trayswitch_core::{
    config::ColdStart,
    mechanism::{Disabled, Mechanism},
    placement::{ColdPacer, SenderRole, cold_interval},
    registry::Registered,
    units,
};

/// An endpoint that failed is left alone for this long, doubled after each failure in a row.
const FIRST_PAUSE: Duration = Duration::from_millis(300);
/// Longest of these pauses: shorter than the outages that the users play.
const LONGEST_PAUSE: Duration = Duration::from_millis(2_400);
/// Weight of the newest request in the part that failed.
const SMOOTHING: f64 = 0.15;
/// How many running requests an endpoint that always fails counts for.
const FAILURE_WEIGHT: f64 = 12.0;
/// Failures below this part are taken for the requests' own.
const USUAL_FAILURES: f64 = 0.3;
/// A running request in another data hall counts for this much less than one nearby.
const FAR: f64 = 0.4;

#[derive(Debug, Clone, Default)]
struct Load {
    /// When the run was started that the rest is known of.
    born: u64,
    running: u32,
    failed: f64,
    failures: u32,
    closed_until: Option<Instant>,
    /// When it may be tried again after it has not answered: it may have started anew.
    retried: Option<Instant>,
    cold: Option<ColdPacer>,
}

/// What cold endpoints of a service bear, and with how many daemons this one shares it.
#[derive(Debug, Clone, Copy)]
pub(super) struct ColdRule {
    pub(super) bears: ColdStart,
    pub(super) senders: SenderRole,
    pub(super) now: units::Instant,
}

impl ColdRule {
    fn interval(&self) -> Duration {
        cold_interval(self.senders, self.bears)
    }
}

impl Load {
    /// Forgets what was known of a former run; what runs there ends by itself.
    fn reset_if_restarted(&mut self, endpoint: &Registered) {
        if self.born != endpoint.born {
            *self = Load { born: endpoint.born, running: self.running, ..Load::default() };
        }
    }

    /// Whether a cold endpoint may be sent a request of this daemon now.
    fn takes_work(&mut self, endpoint: &Registered, rule: &ColdRule) -> bool {
        let now = rule.now;
        let Some(until) = self.cold_until(endpoint, rule).filter(|until| now < *until) else {
            self.cold = None;
            return true;
        };
        match &mut self.cold {
            Some(cold) => cold.extend(until),
            cold => *cold = Some(ColdPacer::new(until, rule.interval(), fastrand::f64(), now)),
        }
        self.cold.is_none_or(|cold| cold.may_send(now))
    }

    /// Until when it is cold: by its own word, or since it may have started anew when it failed.
    fn cold_until(&self, endpoint: &Registered, rule: &ColdRule) -> Option<units::Instant> {
        let lasts = rule.bears.lasts;
        let left = |retried: Instant| (retried + lasts).checked_duration_since(Instant::now());
        let since_retried = self.retried.and_then(left).map(|left| rule.now.after(left));
        endpoint.cold_until.max(since_retried)
    }
}

/// How a request at an endpoint ended, as far as it tells of the endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Outcome {
    /// It answered.
    Success,
    /// It answered with a failure of its own.
    Error,
    /// It could not be reached, or did not answer.
    Unreachable,
}

/// Loads of endpoints by name.
#[derive(Debug, Default, Clone)]
pub(super) struct Loads {
    by_name: Rc<RefCell<HashMap<Arc<str>, Load>>>,
    disabled: Disabled,
}

/// Counts a request as running while it lives.
pub(super) struct Running {
    loads: Loads,
    id: Arc<str>,
}

impl Drop for Running {
    fn drop(&mut self) {
        if let Some(load) = self.loads.by_name.borrow_mut().get_mut(&self.id) {
            load.running -= 1;
        }
    }
}

impl Loads {
    /// No loads yet; a choice does without these mechanisms.
    pub(super) fn new(disabled: Disabled) -> Loads {
        Loads { by_name: Rc::default(), disabled }
    }

    /// Those that may be sent a request now, as far as cold ones bear it.
    pub(super) fn open(
        &self,
        mut endpoints: Vec<Registered>,
        rule: Option<&ColdRule>,
    ) -> Vec<Registered> {
        let mut loads = self.by_name.borrow_mut();
        endpoints.retain(|endpoint| {
            let load = load_of(&mut loads, &endpoint.id);
            load.reset_if_restarted(endpoint);
            rule.is_none_or(|rule| load.takes_work(endpoint, rule))
        });
        endpoints
    }

    /// The least loaded endpoint, other than those in `avoid` if there is another.
    pub(super) fn choose(
        &self,
        endpoints: &[Registered],
        avoid: &[Arc<str>],
        hall: &str,
    ) -> Option<Registered> {
        let costs = endpoints.iter().map(|endpoint| (self.cost(endpoint, avoid, hall), endpoint));
        let (_, best) = costs.min_by(|a, b| a.0.total_cmp(&b.0))?;
        Some(best.clone())
    }

    /// The same endpoints, the least loaded one first.
    pub(super) fn sort(&self, endpoints: &mut Vec<Registered>, hall: &str) {
        let costs = endpoints.drain(..).map(|endpoint| (self.cost(&endpoint, &[], hall), endpoint));
        let mut costs: Vec<(f64, Registered)> = costs.collect();
        costs.sort_by(|a, b| a.0.total_cmp(&b.0));
        endpoints.extend(costs.into_iter().map(|(_, endpoint)| endpoint));
    }

    /// What it costs to send another request to an endpoint, in requests that run there.
    fn cost(&self, endpoint: &Registered, avoid: &[Arc<str>], hall: &str) -> f64 {
        let load = self.by_name.borrow().get(&endpoint.id).cloned().unwrap_or_default();
        let closed = self.disabled.allows(Mechanism::FailurePauses)
            && load.closed_until.is_some_and(|until| Instant::now() < until);
        let failing = if self.disabled.allows(Mechanism::FailureWeights) {
            (load.failed - USUAL_FAILURES).max(0.0) / (1.0 - USUAL_FAILURES)
        } else {
            0.0
        };
        let near = *endpoint.hall == *hall || !self.disabled.allows(Mechanism::NearCalls);
        let far = if near { 0.0 } else { FAR };
        let avoided = avoid.contains(&endpoint.id);
        let rank = f64::from(u8::from(avoided)) * 2_000.0 + f64::from(u8::from(closed)) * 1_000.0;
        rank + f64::from(load.running) + FAILURE_WEIGHT * failing + far + 0.1 * fastrand::f64()
    }

    /// Counts a request as running at an endpoint.
    pub(super) fn begin(&self, id: &Arc<str>, rule: Option<&ColdRule>) -> Running {
        let mut loads = self.by_name.borrow_mut();
        let load = load_of(&mut loads, id);
        load.running += 1;
        if let (Some(cold), Some(rule)) = (&mut load.cold, rule) {
            cold.on_sent(rule.interval(), rule.now);
        }
        Running { loads: self.clone(), id: id.clone() }
    }

    /// Requests of this entry that run at an endpoint.
    pub(super) fn running(&self, id: &str) -> u32 {
        self.by_name.borrow().get(id).map_or(0, |load| load.running)
    }

    /// Records how a request ended.
    pub(super) fn record_outcome(&self, id: &Arc<str>, outcome: Outcome) {
        let mut loads = self.by_name.borrow_mut();
        let load = load_of(&mut loads, id);
        let failed = if outcome == Outcome::Success { 0.0 } else { 1.0 };
        load.failed += SMOOTHING * (failed - load.failed);
        match outcome {
            Outcome::Success => {
                load.failures = 0;
                load.closed_until = None;
            }
            Outcome::Error => {}
            Outcome::Unreachable => {
                let pause = FIRST_PAUSE * 2u32.pow(load.failures.min(4));
                load.failures += 1;
                load.closed_until = Some(Instant::now() + pause.min(LONGEST_PAUSE));
                load.retried = load.closed_until;
            }
        }
    }
}

/// The load of an endpoint, which is empty if nothing is known of it.
fn load_of<'a>(loads: &'a mut HashMap<Arc<str>, Load>, id: &Arc<str>) -> &'a mut Load {
    /// Endpoints that are remembered; those that run nothing go first.
    const MAX_LOADS: usize = 4_096;
    if MAX_LOADS <= loads.len() {
        loads.retain(|_, load| 0 < load.running);
    }
    loads.entry(id.clone()).or_default()
}
