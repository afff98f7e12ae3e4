//! Reads the sections of a document and checks that what they refer to is there.

use std::{collections::BTreeMap, ops::Bound, sync::Arc, time::Duration};

use super::{
    document::{ConfigError, ConfigErrors, Document},
    endpoint::{self, EndpointTarget},
    limits::{self, CallerLimits},
    reader::{MAX_WEIGHT, SectionReader},
    route::{self, RouteSpec},
    route_table::RouteTable,
    schema::{
        Config, DEPLOYMENT_SECTION, Deployment, KindSpec, LAYOUT_SECTION, LIMITS_SECTION, TierSpec,
    },
    service,
    workspace::{self, WorkspaceSpec},
};

/// Longest time in the queue, where a file does not say.
const DEFAULT_MAX_WAIT: Duration = Duration::from_secs(10);

/// Reads a document and collects its errors.
pub(super) struct Check<'a> {
    pub(super) file: &'a str,
    pub(super) document: &'a Document,
    pub(super) errors: Vec<ConfigError>,
}

impl<'a> Check<'a> {
    pub(super) fn new(file: &'a str, document: &'a Document) -> Check<'a> {
        Check { file, document, errors: Vec::new() }
    }

    /// What was read, unless there were errors.
    pub(super) fn end(self, config: Config) -> Result<Config, ConfigErrors> {
        if self.errors.is_empty() { Ok(config) } else { Err(ConfigErrors(self.errors)) }
    }

    /// Reads everything.
    pub(super) fn run(&mut self) -> Config {
        self.unknown_sections();
        let mut config = Config {
            deployment: self.deployment(),
            halls: self.each("hall", |r| r.text("region")),
            tiers: self.each("tier", |r| TierSpec { rank: r.number("rank", None, 1, 100) }),
            kinds: self.each("kind", kind),
            workspaces: self
                .each("workspace", workspace::read)
                .into_iter()
                .map(|(name, spec)| (name.into(), Arc::new(spec)))
                .collect(),
            models: self.each("model", |r| r.text("kind")),
            services: BTreeMap::new(),
            endpoints: BTreeMap::new(),
            routes: RouteTable::default(),
            limits: self.limits(),
            workspaces_by_key: BTreeMap::new(),
        };
        self.services(&mut config);
        self.routes(&mut config);
        let endpoints = self.each("endpoint", endpoint::read);
        config.endpoints =
            endpoints.into_iter().filter_map(|(name, spec)| Some((name, spec?))).collect();
        self.references(&config);
        self.index_keys(&mut config);
        config
    }

    fn unknown_sections(&mut self) {
        const KNOWN: [&str; 9] =
            ["hall", "tier", "kind", "workspace", "model", "service", "call", "route", "endpoint"];
        // An adapter's own; it has no part in messages to operators.
        const ADAPTERS: &str = LAYOUT_SECTION;
        const SINGLE: [&str; 3] = [DEPLOYMENT_SECTION, LIMITS_SECTION, LAYOUT_SECTION];
        for name in self.document.sections().keys() {
            let known = match name.split_once(' ') {
                Some((family, _)) => KNOWN.contains(&family) || family == ADAPTERS,
                None => SINGLE.contains(&&**name),
            };
            if !known {
                let families = KNOWN.join(" NAME], [");
                self.add_error(
                    name,
                    "",
                    format!(
                        "unknown section; expected [{DEPLOYMENT_SECTION}], [{LIMITS_SECTION}], [{families} NAME]"
                    ),
                );
            }
        }
    }

    pub(super) fn deployment(&mut self) -> Deployment {
        let Some(section) = self.document.section(DEPLOYMENT_SECTION) else {
            self.add_error(DEPLOYMENT_SECTION, "", "this section is required");
            return Deployment { name: String::new(), version: 0, stall_weight: 1, gap_weight: 1 };
        };
        let mut r = SectionReader::new(self.file, DEPLOYMENT_SECTION, section, &mut self.errors);
        let deployment = Deployment {
            name: r.text("name"),
            version: r.number("version", None, 1, u64::MAX),
            stall_weight: r.number("stall_weight", Some(1), 1, MAX_WEIGHT),
            gap_weight: r.number("gap_weight", Some(1), 1, MAX_WEIGHT),
        };
        r.finish();
        deployment
    }

    fn each<T>(
        &mut self,
        family: &str,
        read: impl Fn(&mut SectionReader<'_>) -> T,
    ) -> BTreeMap<String, T> {
        let mut specs = BTreeMap::new();
        let prefix = format!("{family} ");
        let from = Bound::Included(prefix.as_str());
        let range = self.document.sections().range::<str, _>((from, Bound::Unbounded));
        for (full_name, section) in range {
            let Some(name) = full_name.strip_prefix(&prefix) else { break };
            let mut r = SectionReader::new(self.file, full_name, section.keys(), &mut self.errors);
            let spec = read(&mut r);
            r.finish();
            specs.insert(name.to_owned(), spec);
        }
        specs
    }

    fn services(&mut self, config: &mut Config) {
        config.services = self.each("service", service::read);
        for (name, spec) in self.each("call", service::read_call) {
            let section = format!("call {name}");
            let Some((service, call)) = name.split_once('/') else {
                self.add_error(&section, "", "expected [call SERVICE/CALL]");
                continue;
            };
            let Some(service) = config.services.get_mut(service) else {
                self.add_error(&section, "", format!("there is no [service {service}]"));
                continue;
            };
            service.calls.insert(call.to_owned(), spec);
        }
    }

    fn limits(&mut self) -> CallerLimits {
        let Some(keys) = self.document.section(LIMITS_SECTION) else { return Default::default() };
        let mut r = SectionReader::new(self.file, LIMITS_SECTION, keys, &mut self.errors);
        let limits = limits::read(&mut r);
        r.finish();
        limits
    }

    fn routes(&mut self, config: &mut Config) {
        for (name, spec) in self.each("route", route::read) {
            self.route(config, &name, spec);
        }
    }

    /// Adds a route that was read without a fault.
    pub(super) fn route(&mut self, config: &mut Config, name: &str, spec: Option<RouteSpec>) {
        let Some(spec) = spec else { return };
        let section = format!("route {name}");
        for target in &spec.targets {
            let known = config.services.contains_key(&target.service);
            self.reference(known, &section, "services", "service", &target.service);
        }
        if let Some(tier) = &spec.tier {
            self.reference(config.tiers.contains_key(tier), &section, "tier", "tier", tier);
        }
        if let Err(other) = config.routes.insert(name, spec) {
            let message = format!("[route {other}] has the same host and path_prefix");
            self.add_error(&section, "path_prefix", message);
        }
    }

    fn references(&mut self, config: &Config) {
        for (name, spec) in &config.workspaces {
            self.workspace(config, name, spec);
        }
        for (name, kind) in &config.models {
            let known = config.kinds.contains_key(kind);
            self.reference(known, &format!("model {name}"), "kind", "kind", kind);
        }
        for (service, spec) in &config.services {
            for (call, spec) in &spec.calls {
                let known = config.kinds.contains_key(&spec.kind);
                let section = format!("call {service}/{call}");
                self.reference(known, &section, "kind", "kind", &spec.kind);
            }
        }
        for (name, spec) in &config.endpoints {
            let section = format!("endpoint {name}");
            self.reference(
                config.halls.contains_key(&spec.hall),
                &section,
                "hall",
                "hall",
                &spec.hall,
            );
            let (known, family) = match &spec.target {
                EndpointTarget::Model(model) => (config.models.contains_key(model), "model"),
                EndpointTarget::Service(service) => {
                    (config.services.contains_key(service), "service")
                }
            };
            self.reference(known, &section, family, family, spec.target.name());
        }
    }

    fn reference(&mut self, known: bool, section: &str, key: &str, family: &str, name: &str) {
        if !known && !name.is_empty() {
            self.add_error(section, key, format!("there is no [{family} {name}]"));
        }
    }

    pub(super) fn workspace(&mut self, config: &Config, name: &str, spec: &WorkspaceSpec) {
        let known = config.tiers.contains_key(&spec.tier);
        self.reference(known, &format!("workspace {name}"), "tier", "tier", &spec.tier);
    }

    fn index_keys(&mut self, config: &mut Config) {
        let Config { workspaces, workspaces_by_key, .. } = config;
        for (name, spec) in workspaces {
            self.index_key(workspaces_by_key, name, spec);
        }
    }

    pub(super) fn index_key(
        &mut self,
        by_key: &mut BTreeMap<Arc<str>, Arc<str>>,
        name: &str,
        spec: &WorkspaceSpec,
    ) {
        for key in &spec.keys_sha256 {
            let other = by_key.insert(key.as_str().into(), name.into());
            if let Some(other) = other {
                let section = format!("workspace {name}");
                self.add_error(
                    &section,
                    "key_sha256",
                    format!("[workspace {other}] has the same key"),
                );
            }
        }
    }

    fn add_error(&mut self, section: &str, key: &str, message: impl Into<String>) {
        self.errors.push(ConfigError {
            file: self.file.to_owned(),
            section: section.to_owned(),
            key: key.to_owned(),
            message: message.into(),
        });
    }
}

fn kind(r: &mut SectionReader<'_>) -> KindSpec {
    KindSpec {
        weight: r.number("weight", Some(1), 1, MAX_WEIGHT),
        max_wait: r.duration("max_wait", Some(DEFAULT_MAX_WAIT)),
    }
}
