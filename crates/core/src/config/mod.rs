//! The configuration file of a deployment: parsing, validation, content hashes and deltas.

mod document;
mod endpoint;
mod limits;
mod reader;
mod route;
mod route_table;
mod schema;
mod service;
#[cfg(test)]
mod tests;
mod validator;
mod workspace;

pub use self::{
    document::{
        ConfigError, ConfigErrors, ContentHash, Delta, Document, HashedSection, Section,
        SectionName,
    },
    endpoint::{EndpointSpec, EndpointTarget, Endpoints},
    limits::CallerLimits,
    reader::{SOURCE_KEY, SectionReader},
    route::{NamedRoute, RouteKind, RouteSpec, RouteTarget},
    route_table::RouteTable,
    schema::{
        CheckedDocument, Config, DEPLOYMENT_SECTION, Deployment, KindSpec, LAYOUT_SECTION,
        LIMITS_SECTION, TierSpec,
    },
    service::{CallSpec, ColdStart, EngineSpec, ServiceSpec},
    workspace::{WorkspaceSpec, key_digest},
};
