//! The endpoints that run models, as input of the schedulers.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use crate::{
    config::{Config, Endpoints},
    placement::Scheduler,
    registry::{RegisteredEngine, Registry},
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

/// A registered engine that was added, changed or removed.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct EngineChange {
    pub(crate) name: Arc<str>,
    /// `None` if it was removed or is no engine.
    pub(crate) engine: Option<RegisteredEngine>,
}

impl EngineChange {
    /// Applies the change to a scheduler.
    pub(crate) fn apply(&self, scheduler: &mut Scheduler, now: Instant) {
        let EngineChange { name, engine } = self;
        let Some(engine) = engine else { return scheduler.remove_endpoint(name) };
        scheduler.set_endpoint(name, &engine.spec);
        scheduler.endpoint_leaving(name, !engine.available);
        if let Some(until) = engine.cold_until {
            scheduler.endpoint_cold(name, until, now);
        }
    }
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

    /// Changes of registered engines that schedulers need to know.
    pub(crate) fn changes(
        registry: &Registry,
        config: &Config,
        names: &BTreeSet<Arc<str>>,
    ) -> Vec<EngineChange> {
        let change = |name: &Arc<str>| {
            let engine = registry.engine(name, config);
            EngineChange { name: name.clone(), engine }
        };
        // The configuration decides about the engines that it lists.
        let registered = names.iter().filter(|name| !config.endpoints.contains_key(&***name));
        registered.map(change).collect()
    }

    /// All engines, by name.
    pub(crate) fn all(&self) -> Endpoints {
        let mut all = self.registered.clone();
        all.extend(self.configured.iter().map(|(name, spec)| (name.clone(), spec.clone())));
        all
    }
}
