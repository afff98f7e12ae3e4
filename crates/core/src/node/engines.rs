//! The engines that schedulers may use.

use std::{collections::BTreeSet, sync::Arc};

use crate::{
    config::{Config, Endpoints},
    registry::Registry,
    state::HallsOut,
};

/// The engines that schedulers may use.
#[derive(Debug, Clone, Default, PartialEq)]
pub(crate) struct Engines {
    /// Those that registered themselves, by name.
    pub(crate) known: Endpoints,
    /// Those of them that must get no new work.
    pub(crate) closed: BTreeSet<Arc<str>>,
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
        Engines { known, closed, halls_out: halls_out.clone(), listed: config.endpoints.clone() }
    }

    /// All of them.
    pub(crate) fn all(&self) -> Endpoints {
        let mut all = self.known.clone();
        all.extend(self.listed.iter().map(|(name, spec)| (name.clone(), spec.clone())));
        all
    }
}
