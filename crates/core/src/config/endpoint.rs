//! Endpoints: the back ends of models and plain services.

use std::{collections::BTreeMap, net::SocketAddr};

use super::{
    reader::{MAX_COUNT, MAX_TOKENS, SectionReader},
    service::ColdStart,
};

const DEFAULT_SLOTS: u64 = 64;

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
    /// When its run was started, if it has told; another run has nothing of what was known of it.
    pub started_at: u64,
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
    pub supports_relocation: bool,
    /// What it bears while it is cold; nothing where a start makes no difference.
    pub cold_start: Option<ColdStart>,
}

/// Endpoints by name.
pub type Endpoints = BTreeMap<String, EndpointSpec>;

/// Reads an endpoint.
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
            r.add_error("model", "give either model or service");
            return None;
        }
    };
    Some(EndpointSpec {
        started_at: 0,
        hall,
        address: address?,
        target,
        slots,
        kv_tokens,
        checks_fence,
        supports_relocation: false,
        cold_start: None,
    })
}
