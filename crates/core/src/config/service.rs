//! Services: plain services with named calls, and groups of model engines.

use std::{collections::BTreeMap, time::Duration};

use super::reader::{MAX_COUNT, MAX_TOKENS, SectionReader};

/// Timeout of one attempt, where a file does not say.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);
const DEFAULT_MAX_CONNECTIONS: u64 = 256;
/// KV cache size of one token for a model of 32 billion parameters in 8 bits.
const DEFAULT_TOKEN_BYTES: u64 = 131_072;

/// Settings of a call of a plain service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallSpec {
    /// Kind of the requests.
    pub kind: String,
    /// Whether the call is idempotent and may be retried.
    pub repeatable: bool,
    /// Timeout of one attempt.
    pub timeout: Duration,
}

/// Request pacing of endpoints that are cold after a start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ColdStart {
    /// Time that an endpoint stays cold after a start.
    pub duration: Duration,
    /// Minimum mean time between two requests to a cold endpoint, over all callers.
    pub min_interval: Duration,
}

/// Settings of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceSpec {
    /// Calls by name.
    pub calls: BTreeMap<String, CallSpec>,
    /// Maximum number of connections to one endpoint, over all callers.
    pub max_connections: u64,
    /// Path of the health check of its endpoints.
    pub health_path: Option<String>,
    /// Request pacing of cold endpoints; `None` if endpoints need no warm-up.
    pub cold_start: Option<ColdStart>,
    /// Capacity and capabilities of its engines; `None` for plain services.
    pub engine: Option<EngineSpec>,
}

/// Capacity and capabilities of each engine of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineSpec {
    /// Maximum number of concurrent requests.
    pub slots: u64,
    /// KV cache capacity in tokens.
    pub kv_tokens: u64,
    /// KV cache size of one token, in bytes; determines how long a copy takes.
    pub token_bytes: u64,
    /// Bandwidth for copies between engines, in Mbit/s.
    pub link_mbps: u64,
    /// Whether a running generation can be relocated to another engine.
    pub supports_relocation: bool,
    /// Whether an engine can hold a backup copy of a generation that runs on another engine.
    pub supports_backups: bool,
    /// Maximum lifetime of a slot reservation; `None` if engines do not support reservations.
    pub longest_reservation: Option<Duration>,
}

/// Reads a `[service NAME]` section.
pub(super) fn read(r: &mut SectionReader<'_>) -> ServiceSpec {
    let max_connections = r.number("max_connections", Some(DEFAULT_MAX_CONNECTIONS), 1, MAX_COUNT);
    let health_path = r.raw("health_path").map(str::to_owned);
    let engine = r.raw("kv_tokens").is_some().then(|| EngineSpec {
        slots: r.number("slots", None, 1, MAX_COUNT),
        kv_tokens: r.number("kv_tokens", None, 1, MAX_TOKENS),
        token_bytes: r.number("token_bytes", Some(DEFAULT_TOKEN_BYTES), 1, 1 << 32),
        link_mbps: r.number("link_mbps", Some(10_000), 1, 1 << 32),
        supports_relocation: r.flag("moves", Some(false)),
        supports_backups: r.flag("backups", Some(false)),
        longest_reservation: r
            .raw("longest_reservation")
            .is_some()
            .then(|| r.duration("longest_reservation", None)),
    });
    let cold_start = r.raw("cold_start").is_some().then(|| ColdStart {
        duration: r.duration("cold_start", None),
        min_interval: r.duration("cold_interval", None),
    });
    ServiceSpec { calls: BTreeMap::new(), max_connections, health_path, cold_start, engine }
}

/// Reads a `[call SERVICE/CALL]` section.
pub(super) fn read_call(r: &mut SectionReader<'_>) -> CallSpec {
    CallSpec {
        kind: r.text("kind"),
        repeatable: r.flag("repeatable", None),
        timeout: r.duration("timeout", Some(DEFAULT_TIMEOUT)),
    }
}
