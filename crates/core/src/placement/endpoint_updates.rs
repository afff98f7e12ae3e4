//! Updates of endpoint state: configuration, health, cold starts and load.

use std::{
    collections::HashMap,
    hash::{DefaultHasher, Hash, Hasher},
    sync::Arc,
};

use super::{
    SenderRole, Ticket,
    endpoint::{EndpointState, Health, LoadReport},
    scheduler::{PlacedRequest, Scheduler},
};
use crate::{
    config::{EndpointSpec, Endpoints},
    state::HallsOut,
    units::Instant,
};

/// Slowness relative to the median from which an endpoint is reported to daemons. Prefill speeds of
/// equal endpoints vary by up to 1.1.
const MIN_REPORTED_SLOWNESS: f64 = 1.15;

impl Scheduler {
    /// Applies the endpoints of an accepted configuration; running requests continue.
    pub fn configure(&mut self, endpoints: &Endpoints) {
        for target in self.targets.values_mut() {
            target.clear_endpoints();
        }
        let mut states = HashMap::new();
        for (name, spec) in endpoints {
            let name: Arc<str> = name.as_str().into();
            let target = self.targets.entry(spec.target.clone()).or_default();
            target.add_endpoint(&name, spec.software_version.as_ref());
            let mut state = match self.endpoints.remove(&name) {
                Some(mut state) if is_same_run(&state.spec, spec) => {
                    state.spec = spec.clone();
                    state
                }
                _ => EndpointState::new(name.clone(), spec.clone()),
            };
            state.set_hall_out(self.halls_out.contains(&spec.hall));
            states.insert(name, state);
        }
        self.endpoints = states;
        let endpoints = &self.endpoints;
        self.moves.leaving.retain(|name| endpoints.contains_key(name));
        self.cold.retain(|name| endpoints.contains_key(name));
        self.drop_requests_of_gone_endpoints();
    }

    /// Adds an endpoint or replaces its specification.
    pub(crate) fn set_endpoint(&mut self, name: &Arc<str>, spec: &EndpointSpec) {
        match self.endpoints.get_mut(name) {
            Some(state) if is_same_run(&state.spec, spec) && state.spec.target == spec.target => {
                if let Some(target) = self.targets.get_mut(&spec.target) {
                    target.remove_endpoint(name, state.spec.software_version.as_ref());
                    target.add_endpoint(name, spec.software_version.as_ref());
                }
                state.spec = spec.clone();
            }
            _ => {
                self.remove_endpoint(name);
                let state = EndpointState::new(name.clone(), spec.clone());
                self.endpoints.insert(name.clone(), state);
                let target = self.targets.entry(spec.target.clone()).or_default();
                target.add_endpoint(name, spec.software_version.as_ref());
            }
        }
        if let Some(state) = self.endpoints.get_mut(name) {
            state.set_hall_out(self.halls_out.contains(&spec.hall));
        }
    }

    /// Removes an endpoint and the accounting of its requests.
    pub(crate) fn remove_endpoint(&mut self, name: &str) {
        let Some(state) = self.endpoints.remove(name) else { return };
        if let Some(target) = self.targets.get_mut(&state.spec.target) {
            target.remove_endpoint(name, state.spec.software_version.as_ref());
        }
        self.moves.leaving.remove(name);
        self.cold.remove(name);
        if 0 < state.running {
            self.drop_requests_of_gone_endpoints();
        }
    }

    /// Drops the accounting of requests on endpoints that were removed or replaced.
    fn drop_requests_of_gone_endpoints(&mut self) {
        let gone =
            |p: &PlacedRequest| self.endpoints.get(&p.endpoint).is_none_or(|e| e.running == 0);
        let tickets: Vec<Ticket> =
            self.placed.iter().filter(|(_, p)| gone(p)).map(|(ticket, _)| *ticket).collect();
        for ticket in tickets {
            if let Some(placed) = self.placed.remove(&ticket) {
                self.moves.forget(ticket);
                self.forget_isolated(ticket);
                self.count_running(&placed.req, -1);
            }
        }
    }

    /// Applies the set of data halls that are out of service. Their endpoints get no new requests;
    /// running requests continue.
    pub fn set_halls_out(&mut self, halls: &HallsOut) {
        if self.halls_out == *halls {
            return;
        }
        self.halls_out = halls.clone();
        for endpoint in self.endpoints.values_mut() {
            endpoint.set_hall_out(halls.contains(&endpoint.spec.hall));
        }
    }

    /// Records that an endpoint failed.
    pub fn endpoint_failed(&mut self, name: &str, now: Instant) {
        let Some(endpoint) = self.endpoints.get_mut(name) else { return };
        let Some(until) = endpoint.on_failure(now) else { return };
        if let Some(cold_start) = endpoint.spec.cold_start {
            // It may have restarted by the time of the next attempt, without having reported it yet.
            self.mark_cold(name, until.after(cold_start.duration), until);
        }
    }

    /// Records that an endpoint has reported itself cold until `until`.
    pub fn endpoint_cold(&mut self, name: &str, until: Instant, now: Instant) {
        if now < until {
            self.mark_cold(name, until, now);
        }
    }

    /// Sets this scheduler's role for sharing cold-start and rate limits.
    pub fn set_sender_role(&mut self, role: SenderRole, now: Instant) {
        self.sender_role = role;
        self.throttle.set_sender_role(role, now);
    }

    /// Marks an endpoint as cold from `since` until `until`.
    fn mark_cold(&mut self, name: &str, until: Instant, since: Instant) {
        let phase = self.cold_phase(name, until);
        if let Some(endpoint) = self.endpoints.get_mut(name) {
            endpoint.set_cold(until, self.sender_role, phase, since);
            self.cold.insert(endpoint.name.clone());
        }
    }

    /// Fraction of the send interval before the first request: zero for the central scheduler,
    /// pseudo-random per daemon and endpoint otherwise.
    fn cold_phase(&self, name: &str, until: Instant) -> f64 {
        let Some(seed) = self.local_seed else { return 0.0 };
        let mut hasher = DefaultHasher::new();
        (seed, name, until.0).hash(&mut hasher);
        hasher.finish() as f64 / u64::MAX as f64
    }

    /// Records that an endpoint is leaving or has returned.
    pub fn endpoint_leaving(&mut self, name: &str, leaving: bool) {
        let Some(endpoint) = self.endpoints.get_mut(name) else { return };
        if leaving {
            self.moves.leaving.insert(endpoint.name.clone());
        } else {
            self.moves.leaving.remove(name);
        }
        match (leaving, endpoint.health) {
            (true, _) => endpoint.health = Health::Leaving,
            (false, Health::Leaving) => endpoint.health = Health::Live,
            (false, _) => {}
        }
    }

    /// Records how many times slower than its peers an endpoint is, as reported by a scheduler.
    pub fn endpoint_slow(&mut self, name: &str, slowness: f64, now: Instant) {
        if let Some(endpoint) = self.endpoints.get_mut(name) {
            endpoint.set_reported_slowness(slowness, now);
        }
    }

    /// Returns the endpoints that are slower than the median of their target, with their slowness.
    pub fn slow_endpoints(&self) -> Vec<(Arc<str>, f64)> {
        let measured = |name: &Arc<str>| {
            let speed = self.endpoints.get(name)?.prefill.measured_tokens_per_second()?;
            Some((name.clone(), speed))
        };
        let mut slow = Vec::new();
        for target in self.targets.values() {
            let mut speeds: Vec<_> = target.endpoints.iter().filter_map(measured).collect();
            speeds.sort_by(|a, b| a.1.total_cmp(&b.1));
            // The median is more robust than the fastest, which may be a measurement error.
            let Some((_, median)) = speeds.get(speeds.len() / 2).cloned() else { continue };
            let slower = speeds.into_iter().map(|(name, speed)| (name, median / speed));
            slow.extend(slower.take_while(|(_, slowness)| MIN_REPORTED_SLOWNESS < *slowness));
        }
        slow
    }

    /// Applies a delayed load report.
    pub fn endpoint_report(&mut self, name: &str, report: LoadReport) {
        if let Some(endpoint) = self.endpoints.get_mut(name) {
            endpoint.on_report(report);
        }
    }
}

/// Whether both specs describe the same run of an endpoint, so that its state remains valid.
fn is_same_run(known: &EndpointSpec, now: &EndpointSpec) -> bool {
    known.address == now.address && known.started_at == now.started_at
}
