//! The operators' declarative file: parsing, checking, hashing and deltas.

mod document;
mod reader;
mod route;
mod schema;
mod service;
#[cfg(test)]
mod tests;

pub use self::{
    document::{ContentHash, Delta, Document, Fault, Faults, HashedSection, Section, SectionName},
    reader::{SOURCE, SectionReader},
    route::{NamedRoute, RouteKind, RouteSpec, RouteTable, RouteTarget},
    schema::{
        CallSpec, CallerLimits, Config, DEPLOYMENT, Deployment, EndpointSpec, EndpointTarget,
        Endpoints, KindSpec, LAYOUT, LIMITS, TierSpec, WorkspaceSpec, key_digest,
    },
    service::{EngineSpec, ServiceSpec},
};
