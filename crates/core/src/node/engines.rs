//! The engines that schedulers may use.

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

/// The engines that schedulers may use.
#[derive(Debug, Clone, Default, PartialEq)]
pub(crate) struct Engines {
    /// Those that registered themselves, by name.
    pub(crate) known: Endpoints,
    /// Those of them that must get no new work.
    pub(crate) closed: BTreeSet<Arc<str>>,
    /// Until when some of them are cold.
    pub(crate) cold: BTreeMap<Arc<str>, Instant>,
    /// The data halls that are out of service.
    pub(crate) halls_out: HallsOut,
    /// Those that the configuration lists.
    listed: Endpoints,
}

impl Engines {
    /// The engines of a registry on the terms of a configuration, and those that it lists.
    pub(crate) fn new(registry: &Registry, config: &Config, halls_out: &HallsOut) -> Engines {
        let known = registry.engines(config);
        let closed = registry.closed().filter(|id| known.contains_key(&***id)).cloned().collect();
        let cold = registry.cold().filter(|(id, _)| known.contains_key(&***id));
        let cold = cold.map(|(id, until)| (id.clone(), until)).collect();
        Engines {
            cold,
            known,
            closed,
            halls_out: halls_out.clone(),
            listed: config.endpoints.clone(),
        }
    }

    /// All of them.
    pub(crate) fn all(&self) -> Endpoints {
        let mut all = self.known.clone();
        all.extend(self.listed.iter().map(|(name, spec)| (name.clone(), spec.clone())));
        all
    }
}
