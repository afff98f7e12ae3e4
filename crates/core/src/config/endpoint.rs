//! Endpoints: servers of models and plain services.

use std::{collections::BTreeMap, net::SocketAddr};

use super::{
    reader::{MAX_COUNT, MAX_TOKENS, SectionReader},
    service::ColdStart,
};
use crate::software_version::SoftwareVersion;

const DEFAULT_SLOTS: u64 = 64;

/// The model or service that an endpoint serves.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum EndpointTarget {
    /// A model, served by an engine.
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

/// Settings of an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndpointSpec {
    /// Whether it registered itself instead of being listed in the configuration.
    pub is_registered: bool,
    /// Start time of the current run as the endpoint reported it; 0 if unknown. A different value
    /// means that the endpoint restarted and lost its state.
    pub started_at: u64,
    /// Data hall that it is located in.
    pub hall: String,
    /// Address that it listens on.
    pub address: SocketAddr,
    /// The model or service that it serves.
    pub target: EndpointTarget,
    /// Maximum number of concurrent requests.
    pub slots: u64,
    /// KV cache capacity in tokens; 0 for plain services.
    pub kv_tokens: u64,
    /// Whether it rejects commands with a stale fencing token.
    pub checks_fence: bool,
    /// Whether a running generation can be relocated to another endpoint.
    pub supports_relocation: bool,
    /// Request pacing while it is cold; `None` if it needs no warm-up.
    pub cold_start: Option<ColdStart>,
    /// Version of its software, if known.
    pub software_version: Option<SoftwareVersion>,
}

/// Endpoints by name.
pub type Endpoints = BTreeMap<String, EndpointSpec>;

/// Reads an `[endpoint NAME]` section; `None` if the address or the target is invalid.
pub(super) fn read(r: &mut SectionReader<'_>) -> Option<EndpointSpec> {
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
            r.add_error("model", "expected exactly one of model and service");
            return None;
        }
    };
    Some(EndpointSpec {
        is_registered: false,
        started_at: 0,
        hall,
        address: address?,
        target,
        slots,
        kv_tokens,
        checks_fence,
        supports_relocation: false,
        cold_start: None,
        software_version: None,
    })
}
