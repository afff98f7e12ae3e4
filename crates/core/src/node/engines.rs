//! The engines that registered themselves, as schedulers take them.

use std::{collections::BTreeSet, sync::Arc};

use crate::{
    config::{Config, Endpoints},
    registry::Registry,
};

/// Engines that registered themselves.
#[derive(Debug, Clone, Default, PartialEq)]
pub(crate) struct Engines {
    /// All that are known, by name.
    pub(crate) known: Endpoints,
    /// Those that must get no new work.
    pub(crate) closed: BTreeSet<Arc<str>>,
}

impl Engines {
    /// The engines of a registry, on the terms of a configuration.
    pub(crate) fn new(registry: &Registry, config: &Config) -> Engines {
        let known = registry.engines(config);
        let closed = registry.closed().filter(|id| known.contains_key(&***id)).cloned().collect();
        Engines { known, closed }
    }

    /// Together with the endpoints that a configuration lists.
    pub(crate) fn with(&self, listed: Option<&Endpoints>) -> Endpoints {
        let mut all = self.known.clone();
        if let Some(listed) = listed {
            all.extend(listed.iter().map(|(name, spec)| (name.clone(), spec.clone())));
        }
        all
    }
}
