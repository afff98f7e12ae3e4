//! Lookup of routes by host and longest path prefix.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
};

use super::route::{NamedRoute, RouteSpec};

/// Routes by host and path prefix. The cost of a lookup, an insertion or a removal does not grow
/// with the number of routes.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct RouteTable {
    by_host: HashMap<String, HostRoutes>,
    by_name: HashMap<Arc<str>, Arc<RouteSpec>>,
}

/// The routes of one host.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
struct HostRoutes {
    by_prefix: HashMap<Arc<str>, NamedRoute>,
    /// Number of prefixes by depth, to look up only depths that exist.
    depths: BTreeMap<usize, usize>,
}

impl RouteTable {
    /// Finds the route of `host` with the longest prefix of `path`.
    pub fn find(&self, host: &str, path: &str) -> Option<&NamedRoute> {
        self.by_host.get(host)?.find(path)
    }

    /// Number of routes.
    pub fn len(&self) -> usize {
        self.by_name.len()
    }

    /// Whether the table has no routes.
    pub fn is_empty(&self) -> bool {
        self.by_name.is_empty()
    }

    /// Adds a route; fails with the name of an existing route with the same host and prefix.
    pub(super) fn insert(&mut self, name: &str, spec: RouteSpec) -> Result<(), Arc<str>> {
        let name: Arc<str> = name.into();
        let spec = Arc::new(spec);
        let routes = self.by_host.entry(spec.host.clone()).or_default();
        if let Some(other) = routes.by_prefix.get(&*spec.path_prefix) {
            return Err(other.name.clone());
        }
        *routes.depths.entry(depth(&spec.path_prefix)).or_default() += 1;
        let route = NamedRoute { name: name.clone(), spec: spec.clone() };
        routes.by_prefix.insert(spec.path_prefix.as_str().into(), route);
        self.by_name.insert(name, spec);
        Ok(())
    }

    /// Removes a route if it exists.
    pub(super) fn remove(&mut self, name: &str) {
        let Some(spec) = self.by_name.remove(name) else { return };
        let Some(routes) = self.by_host.get_mut(&spec.host) else { return };
        routes.remove(&spec.path_prefix);
        if routes.by_prefix.is_empty() {
            self.by_host.remove(&spec.host);
        }
    }
}

impl HostRoutes {
    fn find(&self, path: &str) -> Option<&NamedRoute> {
        let (deepest, _) = self.depths.last_key_value()?;
        // All prefixes end with a slash, so only these positions can end a matching prefix.
        let ends: Vec<usize> =
            path.match_indices('/').map(|(at, _)| at + 1).take(*deepest).collect();
        let ends = self.depths.keys().rev().filter_map(|depth| ends.get(depth - 1));
        ends.filter_map(|end| self.by_prefix.get(&path[..*end])).next()
    }

    fn remove(&mut self, prefix: &str) {
        self.by_prefix.remove(prefix);
        let depth = depth(prefix);
        if let Some(count) = self.depths.get_mut(&depth) {
            *count -= 1;
            if *count == 0 {
                self.depths.remove(&depth);
            }
        }
    }
}

/// Depth of a prefix: the number of its slashes.
fn depth(prefix: &str) -> usize {
    prefix.matches('/').count()
}
