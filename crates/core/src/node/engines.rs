//! The endpoints that run models, as input of the schedulers.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use crate::{
    config::{Config, Endpoints},
    registry::Registry,
    state::HallsOut,
    units::Instant,
};

/// Engines that schedulers may place requests on.
#[derive(Debug, Clone, Default, PartialEq)]
pub(crate) struct Engines {
    /// Engines that registered themselves, by name.
    pub(crate) registered: Endpoints,
    /// Registered engines that must get no new requests.
    pub(crate) draining: BTreeSet<Arc<str>>,
    /// Registered engines that are cold, and until when.
    pub(crate) cold: BTreeMap<Arc<str>, Instant>,
    /// Data halls that are out of service.
    pub(crate) halls_out: HallsOut,
    /// Engines that the configuration lists.
    configured: Endpoints,
}

impl Engines {
    /// Combines the registered engines of configured services with the engines that the
    /// configuration lists.
    pub(crate) fn new(registry: &Registry, config: &Config, halls_out: &HallsOut) -> Engines {
        let registered = registry.engines(config);
        let draining =
            registry.unavailable().filter(|id| registered.contains_key(&***id)).cloned().collect();
        let cold = registry.cold_endpoints().filter(|(id, _)| registered.contains_key(&***id));
        let cold = cold.map(|(id, until)| (id.clone(), until)).collect();
        Engines {
            cold,
            registered,
            draining,
            halls_out: halls_out.clone(),
            configured: config.endpoints.clone(),
        }
    }

    /// All engines, by name.
    pub(crate) fn all(&self) -> Endpoints {
        let mut all = self.registered.clone();
        all.extend(self.configured.iter().map(|(name, spec)| (name.clone(), spec.clone())));
        all
    }
}
