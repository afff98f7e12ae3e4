//! The engines that schedulers may use.

use std::{collections::BTreeSet, sync::Arc};

use crate::{
    config::{Config, Endpoints},
    registry::Registry,
};

/// The engines that schedulers may use.
#[derive(Debug, Clone, Default, PartialEq)]
pub(crate) struct Engines {
    /// Those that registered themselves, by name.
    pub(crate) known: Endpoints,
    /// Those of them that must get no new work.
    pub(crate) closed: BTreeSet<Arc<str>>,
    /// Those that the configuration lists.
    listed: Endpoints,
}

impl Engines {
    /// The engines of a registry on the terms of a configuration, and those that it lists.
    pub(crate) fn new(registry: &Registry, config: &Config) -> Engines {
        let known = registry.engines(config);
        let closed = registry.closed().filter(|id| known.contains_key(&***id)).cloned().collect();
        Engines { known, closed, listed: config.endpoints.clone() }
    }

    /// All of them.
    pub(crate) fn all(&self) -> Endpoints {
        let mut all = self.known.clone();
        all.extend(self.listed.iter().map(|(name, spec)| (name.clone(), spec.clone())));
        all
    }
}
