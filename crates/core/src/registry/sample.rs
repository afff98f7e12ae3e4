//! Samples of the registered endpoints.
//!
//! In a large fleet a daemon knows a sample of each service, so that its memory and the news that it
//! receives do not grow with the number of endpoints. Which endpoints are in a sample follows from
//! the names of the daemon and the endpoint alone: all parties agree on it without exchanging lists,
//! samples of different daemons are independent, and an endpoint that starts anywhere is in as many
//! samples as the one that it replaces.

use std::collections::BTreeMap;

use super::digest::hash_of_id;
use crate::wire::{EndpointInterest, ServiceSample};

/// Endpoints of a service that a daemon samples at least: enough that a data hall or a version that
/// goes leaves some, and that load spreads evenly.
const MIN_ENDPOINTS: usize = 64;
/// Daemons that sample each endpoint at least, so that no endpoint is without traffic while daemons
/// place requests themselves, and news of it passes partitions between control VMs.
const MIN_DAEMONS: usize = 8;
/// Endpoints of a service that a daemon samples while it does not know how many daemons there are.
const ENDPOINTS_IN_UNKNOWN_FLEET: usize = 1_024;
/// Most halvings: a sample of one in four billion.
const MAX_HALVINGS: u32 = 32;

/// The endpoints that one daemon knows.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct EndpointSample {
    /// Hash of the daemon's name.
    daemon: u64,
    /// How often the endpoints of each service are halved; other services are known completely.
    halvings: BTreeMap<String, u32>,
}

impl EndpointSample {
    /// All endpoints.
    pub(crate) fn whole(daemon: &str) -> EndpointSample {
        EndpointSample { daemon: hash_of_id(daemon), halvings: BTreeMap::new() }
    }

    /// Decodes the sample of another daemon.
    pub(crate) fn decode(daemon: &str, interest: &EndpointInterest) -> EndpointSample {
        let halvings = interest.samples.iter();
        let halvings = halvings.map(|s| (s.service.clone(), s.halvings.min(MAX_HALVINGS)));
        EndpointSample { daemon: hash_of_id(daemon), halvings: halvings.collect() }
    }

    /// Encodes the sample for control VMs.
    pub(crate) fn encode(&self) -> EndpointInterest {
        let samples = self.halvings.iter();
        let samples = samples.map(|(service, halvings)| ServiceSample {
            service: service.clone(),
            halvings: *halvings,
        });
        EndpointInterest { wanted: true, samples: samples.collect() }
    }

    /// Whether it contains all endpoints.
    pub(crate) fn is_whole(&self) -> bool {
        self.halvings.is_empty()
    }

    /// Whether it contains an endpoint, by the hash of its name.
    pub(crate) fn contains(&self, service: &str, id_hash: u64) -> bool {
        let halvings = self.halvings.get(service).copied().unwrap_or_default();
        is_in_sample(self.daemon, id_hash, halvings)
    }

    /// The sample with its services by number.
    pub(super) fn filter(&self, services: &[String]) -> SampleFilter {
        let halvings = services.iter();
        let halvings = halvings.map(|s| self.halvings.get(s).copied().unwrap_or_default());
        SampleFilter { daemon: self.daemon, halvings: halvings.collect() }
    }

    /// Adapts the sample to the endpoints that it contains of each service and the number of daemons,
    /// zero if unknown. Returns whether it changed. It grows only if `is_complete`: until all of its
    /// endpoints are known, their number says nothing.
    pub(crate) fn fit(
        &mut self,
        contained: &BTreeMap<String, usize>,
        daemons: u64,
        is_complete: bool,
    ) -> bool {
        let before = self.halvings.clone();
        for (service, count) in contained {
            self.fit_service(service, *count, daemons, is_complete);
        }
        if is_complete {
            self.halvings.retain(|service, _| contained.contains_key(service));
        }
        before != self.halvings
    }

    /// Adapts the sample to the number of endpoints of each service, before any are known here.
    /// Returns whether it changed.
    pub(crate) fn fit_total(&mut self, totals: &BTreeMap<String, usize>, daemons: u64) -> bool {
        let before = self.halvings.clone();
        for (service, total) in totals {
            let halvings = self.halvings.get(service).copied().unwrap_or_default();
            self.fit_service(service, total >> halvings, daemons, true);
        }
        before != self.halvings
    }

    fn fit_service(&mut self, service: &str, count: usize, daemons: u64, may_grow: bool) {
        let before = self.halvings.get(service).copied().unwrap_or_default();
        let halvings = fitting_halvings(count, before, daemons);
        match if may_grow { halvings } else { halvings.max(before) } {
            0 => drop(self.halvings.remove(service)),
            halvings => drop(self.halvings.insert(service.to_owned(), halvings)),
        }
    }
}

/// A sample with its services by number, for scans over many endpoints.
pub(super) struct SampleFilter {
    daemon: u64,
    halvings: Vec<u32>,
}

impl SampleFilter {
    pub(super) fn contains(&self, service: usize, id_hash: u64) -> bool {
        is_in_sample(self.daemon, id_hash, self.halvings[service])
    }
}

fn is_in_sample(daemon: u64, id_hash: u64, halvings: u32) -> bool {
    halvings == 0 || mix(daemon ^ id_hash) >> (u64::BITS - halvings) == 0
}

/// The number of halvings that fits a sample of `count` endpoints. Hysteresis by a factor of two
/// both ways keeps it from changing with every endpoint.
fn fitting_halvings(count: usize, halvings: u32, daemons: u64) -> u32 {
    let (mut count, mut halvings) = (count, halvings);
    let target = target_size(count << halvings, daemons);
    while 2 * target < count && halvings < MAX_HALVINGS {
        (count, halvings) = (count / 2, halvings + 1);
    }
    while count < target / 2 && 0 < halvings {
        (count, halvings) = (count * 2, halvings - 1);
    }
    halvings
}

/// Endpoints of a service that a daemon should sample.
fn target_size(total: usize, daemons: u64) -> usize {
    match daemons {
        0 => ENDPOINTS_IN_UNKNOWN_FLEET,
        daemons => MIN_ENDPOINTS.max(total * MIN_DAEMONS / daemons as usize),
    }
}

/// Finalizer of SplitMix64: spreads the differences of similar inputs over all bits.
fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
