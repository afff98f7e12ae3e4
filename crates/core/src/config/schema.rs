//! The typed configuration.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use super::{
    check::Check,
    document::{ConfigErrors, Delta, Document},
    endpoint::Endpoints,
    limits::CallerLimits,
    reader::SectionReader,
    route::{self, ROUTE},
    route_table::RouteTable,
    service::ServiceSpec,
    workspace::{self, WorkspaceSpec, key_digest},
};

/// Name of the section that every file must have.
pub const DEPLOYMENT_SECTION: &str = "deployment";

/// Name of the section that bounds what callers may send.
pub const LIMITS_SECTION: &str = "limits";

/// Name of the section in which an adapter keeps the layout of a file of another form, and of the
/// family of further ones.
pub const LAYOUT_SECTION: &str = "layout";

/// Start of the names of sections of workspaces.
pub(super) const WORKSPACE: &str = "workspace ";

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
    pub(super) workspaces_by_key: BTreeMap<Arc<str>, Arc<str>>,
}

/// A document without errors, cheap to clone.
#[derive(Debug, Clone)]
pub struct CheckedDocument {
    version: u64,
    document: Arc<Document>,
}

impl CheckedDocument {
    /// Checks a document; on failure reports every fault.
    pub fn new(file: &str, document: Document) -> Result<CheckedDocument, ConfigErrors> {
        let version = Config::check(file, &document)?.deployment.version;
        Ok(CheckedDocument { version, document: Arc::new(document) })
    }

    /// The version that it makes.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The document.
    pub fn document(&self) -> &Document {
        &self.document
    }
}

impl Config {
    /// Checks a whole document; on failure reports every fault.
    pub fn check(file: &str, document: &Document) -> Result<Config, ConfigErrors> {
        let mut check = Check::new(file, document);
        let config = check.run();
        check.end(config)
    }

    /// The configuration after a delta that turned its document into `document`. Checks only
    /// what the delta touches where that is enough, and gives what [`Config::check`] gives. With
    /// 4,250 routes in force, a daemon takes one more in within 2.6 ms, and 40.9 ms if all are
    /// checked anew (`trayswitch-lab configurations`); a VM of 0.12 cores answers nobody for eight
    /// times as long.
    pub fn updated(
        &self,
        file: &str,
        document: &Document,
        delta: &Delta,
    ) -> Result<Config, ConfigErrors> {
        if !delta.section_names().all(|name| is_read_alone(name)) {
            return Config::check(file, document);
        }
        let mut check = Check::new(file, document);
        let mut config = self.clone();
        config.deployment = check.deployment();
        // All that go are gone before any comes: a route may have the prefix of a former one.
        for name in delta.section_names() {
            config.forget(name);
        }
        for (full_name, section) in &delta.changed {
            let mut r = SectionReader::new(file, full_name, section.keys(), &mut check.errors);
            if let Some(name) = full_name.strip_prefix(WORKSPACE) {
                let spec = Arc::new(workspace::read(&mut r));
                r.finish();
                check.workspace(&config, name, &spec);
                check.index_key(&mut config.workspaces_by_key, name, &spec);
                config.workspaces.insert(name.into(), spec);
            } else if let Some(name) = full_name.strip_prefix(ROUTE) {
                let spec = route::read(&mut r);
                r.finish();
                check.route(&mut config, name, spec);
            }
        }
        check.end(config)
    }

    /// Forgets what a section has set, if it is read alone.
    fn forget(&mut self, full_name: &str) {
        if let Some(name) = full_name.strip_prefix(WORKSPACE) {
            let Some(old) = self.workspaces.remove(name) else { return };
            for key in &old.keys_sha256 {
                self.workspaces_by_key.remove(key.as_str());
            }
        } else if let Some(name) = full_name.strip_prefix(ROUTE) {
            self.routes.remove(name);
        }
    }

    /// Parses and checks the text of a file.
    pub fn parse(file: &str, text: &str) -> Result<Config, ConfigErrors> {
        Config::check(file, &Document::parse(file, text)?)
    }

    /// The workspace that a caller's key belongs to.
    pub fn workspace_of_key(&self, key: &str) -> Option<&str> {
        self.workspaces_by_key.get(key_digest(key).as_str()).map(|name| &**name)
    }
}

/// Whether a section can be read anew without reading others: nothing refers to a workspace or a
/// route, and a layout sets nothing.
fn is_read_alone(full_name: &str) -> bool {
    let family = full_name.split(' ').next();
    full_name.starts_with(WORKSPACE)
        || full_name.starts_with(ROUTE)
        || full_name == DEPLOYMENT_SECTION
        || family == Some(LAYOUT_SECTION)
}
