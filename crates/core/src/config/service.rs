//! Services: plain ones with named calls, and groups of model engines.

use std::{collections::BTreeMap, time::Duration};

use super::reader::{MAX_COUNT, MAX_TOKENS, SectionReader};

/// Time of one attempt, where a file does not say.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);
const DEFAULT_MAX_CONNECTIONS: u64 = 256;
/// Bytes of a token in an engine's memory, where a file does not say: a 32 B model in 8 bits.
const DEFAULT_TOKEN_BYTES: u64 = 131_072;

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

/// What endpoints bear while they are cold, as after a start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ColdStart {
    /// How long they are cold after a start.
    pub duration: Duration,
    /// Least mean time between two requests, from all callers together.
    pub min_interval: Duration,
}

/// A service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceSpec {
    /// Its calls by name.
    pub calls: BTreeMap<String, CallSpec>,
    /// Most connections that one of its endpoints takes from all callers together.
    pub max_connections: u64,
    /// Path at which its endpoints tell whether they are well.
    pub health_path: Option<String>,
    /// What its endpoints bear while they are cold; nothing where a start makes no difference.
    pub cold_start: Option<ColdStart>,
    /// What its endpoints can do if they are model engines.
    pub engine: Option<EngineSpec>,
}

/// The engines of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineSpec {
    /// Most requests that run at once.
    pub slots: u64,
    /// Memory for streams, in tokens.
    pub kv_tokens: u64,
    /// Bytes of one token in memory, for the time that a copy takes.
    pub token_bytes: u64,
    /// Bandwidth for copies between engines, in Mbit/s.
    pub link_mbps: u64,
    /// Whether a running generation can be moved to another engine.
    pub supports_relocation: bool,
    /// Whether an engine can keep a copy of a generation that runs at another.
    pub supports_backups: bool,
    /// The longest time for which an engine keeps a place; none where engines keep no places.
    pub longest_reservation: Option<Duration>,
}

/// Reads a service.
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

/// Reads a call.
pub(super) fn read_call(r: &mut SectionReader<'_>) -> CallSpec {
    CallSpec {
        kind: r.text("kind"),
        repeatable: r.flag("repeatable", None),
        timeout: r.duration("timeout", Some(DEFAULT_TIMEOUT)),
    }
}
