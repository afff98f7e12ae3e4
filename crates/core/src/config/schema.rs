//! The validated configuration and its incremental update.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use super::{
    document::{ConfigErrors, Delta, Document},
    endpoint::Endpoints,
    limits::CallerLimits,
    reader::SectionReader,
    route::{self, ROUTE_PREFIX},
    route_table::RouteTable,
    service::ServiceSpec,
    validator::Validator,
    workspace::{self, WorkspaceSpec, key_digest},
};

/// Name of the required section with the settings of the whole deployment.
pub const DEPLOYMENT_SECTION: &str = "deployment";

/// Name of the section with the limits on requests from callers.
pub const LIMITS_SECTION: &str = "limits";

/// Name of the section, and of the section family, in which an adapter stores the layout of a file
/// that it translated from another format. It has no effect on the configuration.
pub const LAYOUT_SECTION: &str = "layout";

/// Prefix of the section names of workspaces.
pub(super) const WORKSPACE_PREFIX: &str = "workspace ";

/// Settings of the whole deployment.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Deployment {
    /// Name of the deployment.
    pub name: String,
    /// Version of the configuration.
    pub version: u64,
    /// Weight of stall time in scheduling decisions.
    pub stall_weight: u64,
    /// Weight of tail inter-token latency in scheduling decisions.
    pub gap_weight: u64,
    /// Whether requests need the key of a workspace, except on public routes.
    pub keys_required: bool,
}

/// Settings of a priority tier.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TierSpec {
    /// Priority; lower ranks are served first, starting at 1.
    pub rank: u64,
}

/// Settings of a kind of request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KindSpec {
    /// Priority within a tier; kinds with a higher weight are served first.
    pub weight: u64,
    /// Maximum time in the queue before the request is rejected.
    pub max_wait: Duration,
}

/// A validated configuration.
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
    /// Services by name.
    pub services: BTreeMap<String, ServiceSpec>,
    /// Endpoints by name.
    pub endpoints: Endpoints,
    /// Routes by host and path.
    pub routes: RouteTable,
    /// Limits on requests from callers.
    pub limits: CallerLimits,
    pub(super) workspaces_by_key: BTreeMap<Arc<str>, Arc<str>>,
}

/// A validated document; cheap to clone.
#[derive(Debug, Clone)]
pub struct CheckedDocument {
    version: u64,
    document: Arc<Document>,
}

impl CheckedDocument {
    /// Validates a document; on failure returns all errors.
    pub fn new(file: &str, document: Document) -> Result<CheckedDocument, ConfigErrors> {
        let version = Config::check(file, &document)?.deployment.version;
        Ok(CheckedDocument { version, document: Arc::new(document) })
    }

    /// Version of the configuration.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The validated document.
    pub fn document(&self) -> &Document {
        &self.document
    }
}

impl Config {
    /// Validates a document; on failure returns all errors.
    pub fn check(file: &str, document: &Document) -> Result<Config, ConfigErrors> {
        let mut validator = Validator::new(file, document);
        let config = validator.validate();
        validator.finish(config)
    }

    /// The configuration of `document`, which results from applying `delta` to the document of this
    /// configuration. Returns the same as [`Config::check`], but validates only the sections in the
    /// delta if no other section can depend on them.
    pub fn updated(
        &self,
        file: &str,
        document: &Document,
        delta: &Delta,
    ) -> Result<Config, ConfigErrors> {
        if !delta.section_names().all(|name| is_independent(name)) {
            return Config::check(file, document);
        }
        let mut validator = Validator::new(file, document);
        let mut config = self.clone();
        config.deployment = validator.read_deployment();
        // Remove before adding: a new route may have the prefix of a removed one.
        for name in delta.section_names() {
            config.remove_section(name);
        }
        for (full_name, section) in &delta.changed {
            let mut r = SectionReader::new(file, full_name, section.keys(), &mut validator.errors);
            if let Some(name) = full_name.strip_prefix(WORKSPACE_PREFIX) {
                let spec = Arc::new(workspace::read(&mut r));
                r.finish();
                validator.check_workspace(&config, name, &spec);
                validator.index_key(&mut config.workspaces_by_key, name, &spec);
                config.workspaces.insert(name.into(), spec);
            } else if let Some(name) = full_name.strip_prefix(ROUTE_PREFIX) {
                let spec = route::read(&mut r);
                r.finish();
                validator.add_route(&mut config, name, spec);
            }
        }
        validator.finish(config)
    }

    /// Removes the settings of a workspace or route section; ignores other sections.
    fn remove_section(&mut self, full_name: &str) {
        if let Some(name) = full_name.strip_prefix(WORKSPACE_PREFIX) {
            let Some(old) = self.workspaces.remove(name) else { return };
            for key in &old.keys_sha256 {
                self.workspaces_by_key.remove(key.as_str());
            }
        } else if let Some(name) = full_name.strip_prefix(ROUTE_PREFIX) {
            self.routes.remove(name);
        }
    }

    /// Parses and validates the text of a file.
    pub fn parse(file: &str, text: &str) -> Result<Config, ConfigErrors> {
        Config::check(file, &Document::parse(file, text)?)
    }

    /// The workspace that a caller's key belongs to.
    pub fn workspace_of_key(&self, key: &str) -> Option<&str> {
        self.workspaces_by_key.get(key_digest(key).as_str()).map(|name| &**name)
    }
}

/// Whether a section can change without validating other sections: none refers to a workspace, a
/// route or the deployment, and a layout has no effect.
fn is_independent(full_name: &str) -> bool {
    let family = full_name.split(' ').next();
    full_name.starts_with(WORKSPACE_PREFIX)
        || full_name.starts_with(ROUTE_PREFIX)
        || full_name == DEPLOYMENT_SECTION
        || family == Some(LAYOUT_SECTION)
}
