//! Validation of a document: typed sections, references between sections, unique keys and routes.

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

/// Builds a [`Config`] from a document and collects all errors on the way.
pub(super) struct Validator<'a> {
    pub(super) file: &'a str,
    pub(super) document: &'a Document,
    pub(super) errors: Vec<ConfigError>,
}

impl<'a> Validator<'a> {
    pub(super) fn new(file: &'a str, document: &'a Document) -> Validator<'a> {
        Validator { file, document, errors: Vec::new() }
    }

    /// Returns `config`, or the collected errors if there are any.
    pub(super) fn finish(self, config: Config) -> Result<Config, ConfigErrors> {
        if self.errors.is_empty() { Ok(config) } else { Err(ConfigErrors(self.errors)) }
    }

    /// Reads and checks all sections. The result is valid only if no errors were collected.
    pub(super) fn validate(&mut self) -> Config {
        self.check_section_names();
        let mut config = Config {
            deployment: self.read_deployment(),
            halls: self.read_family("hall", |r| r.text("region")),
            tiers: self.read_family("tier", |r| TierSpec { rank: r.number("rank", None, 1, 100) }),
            kinds: self.read_family("kind", read_kind),
            workspaces: self
                .read_family("workspace", workspace::read)
                .into_iter()
                .map(|(name, spec)| (name.into(), Arc::new(spec)))
                .collect(),
            models: self.read_family("model", |r| r.text("kind")),
            services: BTreeMap::new(),
            endpoints: BTreeMap::new(),
            routes: RouteTable::default(),
            limits: self.read_limits(),
            workspaces_by_key: BTreeMap::new(),
        };
        self.read_services(&mut config);
        self.read_routes(&mut config);
        let endpoints = self.read_family("endpoint", endpoint::read);
        config.endpoints =
            endpoints.into_iter().filter_map(|(name, spec)| Some((name, spec?))).collect();
        self.check_references(&config);
        self.index_keys(&mut config);
        config
    }

    fn check_section_names(&mut self) {
        const FAMILIES: [&str; 9] =
            ["hall", "tier", "kind", "workspace", "model", "service", "call", "route", "endpoint"];
        // Written by adapters, not by operators, so error messages do not list it.
        const INTERNAL_FAMILY: &str = LAYOUT_SECTION;
        const SINGLE_SECTIONS: [&str; 3] = [DEPLOYMENT_SECTION, LIMITS_SECTION, LAYOUT_SECTION];
        for name in self.document.sections().keys() {
            let known = match name.split_once(' ') {
                Some((family, _)) => FAMILIES.contains(&family) || family == INTERNAL_FAMILY,
                None => SINGLE_SECTIONS.contains(&&**name),
            };
            if !known {
                let families = FAMILIES.join(" NAME], [");
                self.add_error(
                    name,
                    "",
                    format!(
                        "unknown section; expected [{DEPLOYMENT_SECTION}], [{LIMITS_SECTION}], \
                         [{families} NAME]"
                    ),
                );
            }
        }
    }

    pub(super) fn read_deployment(&mut self) -> Deployment {
        let Some(keys) = self.document.section(DEPLOYMENT_SECTION) else {
            self.add_error(DEPLOYMENT_SECTION, "", "this section is required");
            return Deployment {
                name: String::new(),
                version: 0,
                stall_weight: 1,
                gap_weight: 1,
                keys_required: true,
            };
        };
        let mut r = SectionReader::new(self.file, DEPLOYMENT_SECTION, keys, &mut self.errors);
        let deployment = Deployment {
            name: r.text("name"),
            version: r.number("version", None, 1, u64::MAX),
            stall_weight: r.number("stall_weight", Some(1), 1, MAX_WEIGHT),
            gap_weight: r.number("gap_weight", Some(1), 1, MAX_WEIGHT),
            keys_required: r.flag("keys_required", Some(true)),
        };
        r.finish();
        deployment
    }

    /// Reads all sections `[FAMILY NAME]` and returns their specs by name.
    fn read_family<T>(
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

    fn read_services(&mut self, config: &mut Config) {
        config.services = self.read_family("service", service::read);
        for (name, spec) in self.read_family("call", service::read_call) {
            let section = format!("call {name}");
            let Some((service, call)) = name.split_once('/') else {
                self.add_error(&section, "", "expected [call SERVICE/CALL]");
                continue;
            };
            let Some(service) = config.services.get_mut(service) else {
                self.add_error(&section, "", format!("[service {service}] does not exist"));
                continue;
            };
            service.calls.insert(call.to_owned(), spec);
        }
    }

    fn read_limits(&mut self) -> CallerLimits {
        let Some(keys) = self.document.section(LIMITS_SECTION) else { return Default::default() };
        let mut r = SectionReader::new(self.file, LIMITS_SECTION, keys, &mut self.errors);
        let limits = limits::read(&mut r);
        r.finish();
        limits
    }

    fn read_routes(&mut self, config: &mut Config) {
        for (name, spec) in self.read_family("route", route::read) {
            self.add_route(config, &name, spec);
        }
    }

    /// Checks the references of a route and adds it; `None` is a route that failed to parse.
    pub(super) fn add_route(&mut self, config: &mut Config, name: &str, spec: Option<RouteSpec>) {
        let Some(spec) = spec else { return };
        let section = format!("route {name}");
        for target in &spec.targets {
            let exists = config.services.contains_key(&target.service);
            self.check_reference(exists, &section, "services", "service", &target.service);
        }
        if let Some(tier) = &spec.tier {
            self.check_reference(config.tiers.contains_key(tier), &section, "tier", "tier", tier);
        }
        if let Err(other) = config.routes.insert(name, spec) {
            let message = format!("[route {other}] has the same host and path_prefix");
            self.add_error(&section, "path_prefix", message);
        }
    }

    fn check_references(&mut self, config: &Config) {
        for (name, spec) in &config.workspaces {
            self.check_workspace(config, name, spec);
        }
        for (name, kind) in &config.models {
            let exists = config.kinds.contains_key(kind);
            self.check_reference(exists, &format!("model {name}"), "kind", "kind", kind);
        }
        for (service, spec) in &config.services {
            for (call, spec) in &spec.calls {
                let exists = config.kinds.contains_key(&spec.kind);
                let section = format!("call {service}/{call}");
                self.check_reference(exists, &section, "kind", "kind", &spec.kind);
            }
        }
        for (name, spec) in &config.endpoints {
            let section = format!("endpoint {name}");
            self.check_reference(
                config.halls.contains_key(&spec.hall),
                &section,
                "hall",
                "hall",
                &spec.hall,
            );
            let (exists, family) = match &spec.target {
                EndpointTarget::Model(model) => (config.models.contains_key(model), "model"),
                EndpointTarget::Service(service) => {
                    (config.services.contains_key(service), "service")
                }
            };
            self.check_reference(exists, &section, family, family, spec.target.name());
        }
    }

    /// Adds an error if a section that a key refers to does not exist. An empty name is skipped,
    /// since it was already reported as missing.
    fn check_reference(
        &mut self,
        exists: bool,
        section: &str,
        key: &str,
        family: &str,
        name: &str,
    ) {
        if !exists && !name.is_empty() {
            self.add_error(section, key, format!("[{family} {name}] does not exist"));
        }
    }

    pub(super) fn check_workspace(&mut self, config: &Config, name: &str, spec: &WorkspaceSpec) {
        let exists = config.tiers.contains_key(&spec.tier);
        self.check_reference(exists, &format!("workspace {name}"), "tier", "tier", &spec.tier);
    }

    fn index_keys(&mut self, config: &mut Config) {
        let Config { workspaces, workspaces_by_key, .. } = config;
        for (name, spec) in workspaces {
            self.index_key(workspaces_by_key, name, spec);
        }
    }

    /// Indexes a workspace by its key digests, which must be unique among workspaces.
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

fn read_kind(r: &mut SectionReader<'_>) -> KindSpec {
    KindSpec {
        weight: r.number("weight", Some(1), 1, MAX_WEIGHT),
        max_wait: r.duration("max_wait", Some(DEFAULT_MAX_WAIT)),
    }
}
