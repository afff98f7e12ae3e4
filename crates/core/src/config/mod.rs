//! The operators' declarative file: parsing, checking, hashing and deltas.

mod document;
mod reader;
mod schema;
#[cfg(test)]
mod tests;

pub use self::{
    document::{ContentHash, Delta, Document, Fault, Faults, HashedSection, Section, SectionName},
    reader::SectionReader,
    schema::{
        CallSpec, Config, DEPLOYMENT, Deployment, EndpointSpec, EndpointTarget, Endpoints,
        KindSpec, ServiceSpec, TierSpec, WorkspaceSpec, key_digest,
    },
};
