//! The typed configuration and its checks.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use sha2::{Digest, Sha256};

use super::{
    document::{Delta, Document, Fault, Faults},
    reader::SectionReader,
    route::{self, RouteTable},
    service::{self, ServiceSpec},
};
use crate::units::Hex;

/// Name of the section that every file must have.
pub const DEPLOYMENT: &str = "deployment";

/// Name of the section that bounds what callers may send.
pub const LIMITS: &str = "limits";

/// Name of the section in which an adapter keeps the layout of a file of another form.
pub const LAYOUT: &str = "layout";

const WORKSPACE: &str = "workspace ";
const MAX_WEIGHT: u64 = 1_000;
const MAX_COUNT: u64 = 1_000_000;
const MAX_TOKENS: u64 = 1_000_000_000;
const KEY_HEX_DIGITS: usize = 64;
const DEFAULT_MAX_HEADER: u64 = 16 * 1024;
const DEFAULT_MAX_BODY: u64 = 1024 * 1024;
const DEFAULT_HEADER_TIMEOUT: Duration = Duration::from_secs(5);
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);
const DEFAULT_MAX_RUNNING: u64 = 64;
const DEFAULT_MAX_WAITING: u64 = 256;
const DEFAULT_SLOTS: u64 = 64;
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);
const DEFAULT_MAX_WAIT: Duration = Duration::from_secs(10);

/// What the deployment as a whole asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Deployment {
    /// Name of the deployment.
    pub name: String,
    /// The version that this file makes.
    pub version: u64,
    /// Weight of stall time in decisions.
    pub stall_weight: u64,
    /// Weight of tail time between tokens in decisions.
    pub gap_weight: u64,
}

/// A priority tier; a lower rank is served first.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TierSpec {
    /// Rank; 1 is served first.
    pub rank: u64,
}

/// A kind of request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KindSpec {
    /// Weight in the service measure.
    pub weight: u64,
    /// Longest time in the queue before the request is given up.
    pub max_wait: Duration,
}

/// A customer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkspaceSpec {
    /// Name of its tier.
    pub tier: String,
    /// SHA-256 of each of its keys, in hexadecimal.
    pub keys_sha256: Vec<String>,
    /// Fair share relative to others in the tier.
    pub share: u64,
    /// Most requests running at once.
    pub max_running: u64,
    /// Most requests waiting at once.
    pub max_waiting: u64,
}

/// One call of a plain service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallSpec {
    /// Kind of request it counts as.
    pub kind: String,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// Time allowed for one attempt.
    pub timeout: Duration,
}

/// What an endpoint serves.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum EndpointTarget {
    /// A model engine.
    Model(String),
    /// A plain service.
    Service(String),
}

impl EndpointTarget {
    /// Name of the model or service.
    pub fn name(&self) -> &str {
        match self {
            EndpointTarget::Model(name) | EndpointTarget::Service(name) => name,
        }
    }
}

/// A back end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndpointSpec {
    /// Data hall it stands in.
    pub hall: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// What it serves.
    pub target: EndpointTarget,
    /// Most requests it runs at once.
    pub slots: u64,
    /// Memory for streams, in tokens; zero for plain services.
    pub kv_tokens: u64,
    /// Whether it refuses orders that carry an old fence.
    pub checks_fence: bool,
    /// Whether a generation that runs here can be moved to another endpoint.
    pub moves: bool,
}

/// What callers may send, and how long they may take.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerLimits {
    /// Largest head of a request, in bytes.
    pub max_header: u64,
    /// Largest body of a request, in bytes.
    pub max_body: u64,
    /// Longest time from the first byte of a head to its last.
    pub header_timeout: Duration,
    /// Longest rest of a connection between two requests.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    fn default() -> CallerLimits {
        CallerLimits {
            max_header: DEFAULT_MAX_HEADER,
            max_body: DEFAULT_MAX_BODY,
            header_timeout: DEFAULT_HEADER_TIMEOUT,
            idle_timeout: DEFAULT_IDLE_TIMEOUT,
        }
    }
}

/// Endpoints by name.
pub type Endpoints = BTreeMap<String, EndpointSpec>;

/// The whole configuration, checked.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Config {
    /// Deployment-wide settings.
    pub deployment: Deployment,
    /// Region of each data hall.
    pub halls: BTreeMap<String, String>,
    /// Tiers by name.
    pub tiers: BTreeMap<String, TierSpec>,
    /// Kinds of request by name.
    pub kinds: BTreeMap<String, KindSpec>,
    /// Workspaces by name.
    pub workspaces: BTreeMap<Arc<str>, Arc<WorkspaceSpec>>,
    /// Default kind of each model.
    pub models: BTreeMap<String, String>,
    /// Plain services by name.
    pub services: BTreeMap<String, ServiceSpec>,
    /// Endpoints by name.
    pub endpoints: Endpoints,
    /// Routes by host and path.
    pub routes: RouteTable,
    /// What callers may send.
    pub limits: CallerLimits,
    workspaces_by_key: BTreeMap<Arc<str>, Arc<str>>,
}

/// SHA-256 of a workspace key in the form that files carry it.
pub fn key_digest(key: &str) -> String {
    Hex(&Sha256::digest(key.as_bytes())).to_string()
}

impl Config {
    /// Checks a whole document; on failure reports every fault.
    pub fn check(file: &str, document: &Document) -> Result<Config, Faults> {
        let mut check = Check { file, document, faults: Vec::new() };
        let config = check.run();
        if check.faults.is_empty() { Ok(config) } else { Err(Faults(check.faults)) }
    }

    /// The configuration after a delta that turned its document into `document`. Checks only
    /// what the delta touches where that is enough, and gives what [`Config::check`] gives.
    pub fn updated(
        &self,
        file: &str,
        document: &Document,
        delta: &Delta,
    ) -> Result<Config, Faults> {
        let names = || delta.changed.keys().chain(&delta.removed);
        let is_workspace = |name: &str| name.strip_prefix(WORKSPACE).is_some();
        if !names().all(|name| &**name == DEPLOYMENT || is_workspace(name)) {
            return Config::check(file, document);
        }
        let mut check = Check { file, document, faults: Vec::new() };
        let mut config = self.clone();
        config.deployment = check.deployment();
        for name in names().filter_map(|name| name.strip_prefix(WORKSPACE)) {
            if let Some(old) = config.workspaces.remove(name) {
                for key in &old.keys_sha256 {
                    config.workspaces_by_key.remove(key.as_str());
                }
            }
        }
        for (full_name, section) in &delta.changed {
            let Some(name) = full_name.strip_prefix(WORKSPACE) else { continue };
            let mut r = SectionReader::new(file, full_name, section.keys(), &mut check.faults);
            let spec = Arc::new(workspace(&mut r));
            r.finish();
            check.workspace(&config, name, &spec);
            check.index_key(&mut config.workspaces_by_key, name, &spec);
            config.workspaces.insert(name.into(), spec);
        }
        if check.faults.is_empty() { Ok(config) } else { Err(Faults(check.faults)) }
    }

    /// Parses and checks the text of a file.
    pub fn parse(file: &str, text: &str) -> Result<Config, Faults> {
        Config::check(file, &Document::parse(file, text)?)
    }

    /// The workspace that a caller's key belongs to.
    pub fn workspace_of_key(&self, key: &str) -> Option<&str> {
        self.workspaces_by_key.get(key_digest(key).as_str()).map(|name| &**name)
    }
}

struct Check<'a> {
    file: &'a str,
    document: &'a Document,
    faults: Vec<Fault>,
}

impl Check<'_> {
    fn run(&mut self) -> Config {
        self.unknown_sections();
        let mut config = Config {
            deployment: self.deployment(),
            halls: self.each("hall", |r| r.text("region")),
            tiers: self.each("tier", |r| TierSpec { rank: r.number("rank", None, 1, 100) }),
            kinds: self.each("kind", kind),
            workspaces: self
                .each("workspace", workspace)
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
        let endpoints = self.each("endpoint", endpoint);
        config.endpoints =
            endpoints.into_iter().filter_map(|(name, spec)| Some((name, spec?))).collect();
        self.references(&config);
        self.index_keys(&mut config);
        config
    }

    fn unknown_sections(&mut self) {
        const KNOWN: [&str; 9] =
            ["hall", "tier", "kind", "workspace", "model", "service", "call", "route", "endpoint"];
        const SINGLE: [&str; 3] = [DEPLOYMENT, LIMITS, LAYOUT];
        for name in self.document.sections().keys() {
            let known = match name.split_once(' ') {
                Some((family, _)) => KNOWN.contains(&family),
                None => SINGLE.contains(&&**name),
            };
            if !known {
                let families = KNOWN.join(" NAME], [");
                self.fault(
                    name,
                    "",
                    format!(
                        "unknown section; expected [{DEPLOYMENT}], [{LIMITS}], [{families} NAME]"
                    ),
                );
            }
        }
    }

    fn deployment(&mut self) -> Deployment {
        let Some(section) = self.document.section(DEPLOYMENT) else {
            self.fault(DEPLOYMENT, "", "this section is required");
            return Deployment { name: String::new(), version: 0, stall_weight: 1, gap_weight: 1 };
        };
        let mut r = SectionReader::new(self.file, DEPLOYMENT, section, &mut self.faults);
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
        let from = std::ops::Bound::Included(prefix.as_str());
        let range = self.document.sections().range::<str, _>((from, std::ops::Bound::Unbounded));
        for (full_name, section) in range {
            let Some(name) = full_name.strip_prefix(&prefix) else { break };
            let mut r = SectionReader::new(self.file, full_name, section.keys(), &mut self.faults);
            let spec = read(&mut r);
            r.finish();
            specs.insert(name.to_owned(), spec);
        }
        specs
    }

    fn services(&mut self, config: &mut Config) {
        config.services = self.each("service", service::read);
        for (name, spec) in self.each("call", call) {
            let section = format!("call {name}");
            let Some((service, call)) = name.split_once('/') else {
                self.fault(&section, "", "expected [call SERVICE/CALL]");
                continue;
            };
            let Some(service) = config.services.get_mut(service) else {
                self.fault(&section, "", format!("there is no [service {service}]"));
                continue;
            };
            service.calls.insert(call.to_owned(), spec);
        }
    }

    fn limits(&mut self) -> CallerLimits {
        let Some(section) = self.document.section(LIMITS) else { return CallerLimits::default() };
        let mut r = SectionReader::new(self.file, LIMITS, section, &mut self.faults);
        let limits = CallerLimits {
            max_header: r.number("max_header", Some(DEFAULT_MAX_HEADER), 256, 1 << 24),
            max_body: r.number("max_body", Some(DEFAULT_MAX_BODY), 0, 1 << 32),
            header_timeout: r.duration("header_timeout", Some(DEFAULT_HEADER_TIMEOUT)),
            idle_timeout: r.duration("idle_timeout", Some(DEFAULT_IDLE_TIMEOUT)),
        };
        r.finish();
        limits
    }

    fn routes(&mut self, config: &mut Config) {
        for (name, spec) in self.each("route", route::read) {
            let section = format!("route {name}");
            let Some(spec) = spec else { continue };
            for target in &spec.targets {
                let known = config.services.contains_key(&target.service);
                self.reference(known, &section, "services", "service", &target.service);
            }
            if let Some(tier) = &spec.tier {
                self.reference(config.tiers.contains_key(tier), &section, "tier", "tier", tier);
            }
            if let Err(other) = config.routes.insert(&name, spec) {
                let problem = format!("[route {other}] has the same host and path_prefix");
                self.fault(&section, "path_prefix", problem);
            }
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
            self.fault(section, key, format!("there is no [{family} {name}]"));
        }
    }

    fn workspace(&mut self, config: &Config, name: &str, spec: &WorkspaceSpec) {
        let known = config.tiers.contains_key(&spec.tier);
        self.reference(known, &format!("workspace {name}"), "tier", "tier", &spec.tier);
    }

    fn index_keys(&mut self, config: &mut Config) {
        let Config { workspaces, workspaces_by_key, .. } = config;
        for (name, spec) in workspaces {
            self.index_key(workspaces_by_key, name, spec);
        }
    }

    fn index_key(
        &mut self,
        by_key: &mut BTreeMap<Arc<str>, Arc<str>>,
        name: &str,
        spec: &WorkspaceSpec,
    ) {
        for key in &spec.keys_sha256 {
            let other = by_key.insert(key.as_str().into(), name.into());
            if let Some(other) = other {
                let section = format!("workspace {name}");
                self.fault(&section, "key_sha256", format!("[workspace {other}] has the same key"));
            }
        }
    }

    fn fault(&mut self, section: &str, key: &str, problem: impl Into<String>) {
        self.faults.push(Fault {
            file: self.file.to_owned(),
            section: section.to_owned(),
            key: key.to_owned(),
            problem: problem.into(),
        });
    }
}

fn kind(r: &mut SectionReader<'_>) -> KindSpec {
    KindSpec {
        weight: r.number("weight", Some(1), 1, MAX_WEIGHT),
        max_wait: r.duration("max_wait", Some(DEFAULT_MAX_WAIT)),
    }
}

fn workspace(r: &mut SectionReader<'_>) -> WorkspaceSpec {
    let tier = r.text("tier");
    // A workspace may have lost all of its keys.
    let keys = r.raw("key_sha256").unwrap_or_else(|| {
        r.fault("key_sha256", "this key is required");
        ""
    });
    let keys_sha256: Vec<String> =
        keys.split(',').map(str::trim).filter(|key| !key.is_empty()).map(str::to_owned).collect();
    let is_digest = |key: &String| {
        key.len() == KEY_HEX_DIGITS && key.bytes().all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f'))
    };
    if !keys_sha256.iter().all(is_digest) {
        let expected = "expected 64 lower-case hexadecimal digits for each key, separated by \
                        commas; `trayswitch config key` makes them";
        r.fault("key_sha256", expected);
    }
    WorkspaceSpec {
        tier,
        keys_sha256,
        share: r.number("share", Some(1), 1, MAX_WEIGHT),
        max_running: r.number("max_running", Some(DEFAULT_MAX_RUNNING), 1, MAX_COUNT),
        max_waiting: r.number("max_waiting", Some(DEFAULT_MAX_WAITING), 0, MAX_COUNT),
    }
}

fn call(r: &mut SectionReader<'_>) -> CallSpec {
    CallSpec {
        kind: r.text("kind"),
        repeatable: r.flag("repeatable", None),
        timeout: r.duration("timeout", Some(DEFAULT_TIMEOUT)),
    }
}

fn endpoint(r: &mut SectionReader<'_>) -> Option<EndpointSpec> {
    let hall = r.text("hall");
    let address = r.address("address");
    let model = r.raw("model").map(str::to_owned);
    let service = r.raw("service").map(str::to_owned);
    let slots = r.number("slots", Some(DEFAULT_SLOTS), 1, MAX_COUNT);
    let checks_fence = r.flag("checks_fence", Some(false));
    let (target, kv_tokens) = match (model, service) {
        (Some(model), None) => {
            (EndpointTarget::Model(model), r.number("kv_tokens", None, 1, MAX_TOKENS))
        }
        (None, Some(service)) => (EndpointTarget::Service(service), 0),
        _ => {
            r.fault("model", "give either model or service");
            return None;
        }
    };
    Some(EndpointSpec {
        hall,
        address: address?,
        target,
        slots,
        kv_tokens,
        checks_fence,
        moves: false,
    })
}
