//! Workspaces: customers with their keys, fair shares and concurrency limits.

use sha2::{Digest, Sha256};

use super::reader::{MAX_COUNT, MAX_WEIGHT, SectionReader};
use crate::units::Hex;

/// Length of a SHA-256 in hexadecimal digits.
const KEY_HEX_DIGITS: usize = 64;
const DEFAULT_MAX_RUNNING: u64 = 64;
const DEFAULT_MAX_WAITING: u64 = 256;

/// Settings of a workspace.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkspaceSpec {
    /// Name of its tier.
    pub tier: String,
    /// SHA-256 of each key, in lower-case hexadecimal.
    pub keys_sha256: Vec<String>,
    /// Fair share, relative to the other workspaces of the tier.
    pub share: u64,
    /// Maximum number of running requests.
    pub max_running: u64,
    /// Maximum number of waiting requests.
    pub max_waiting: u64,
}

/// SHA-256 of a workspace key in the format of the configuration file.
pub fn key_digest(key: &str) -> String {
    Hex(&Sha256::digest(key.as_bytes())).to_string()
}

/// Reads a `[workspace NAME]` section.
pub(super) fn read(r: &mut SectionReader<'_>) -> WorkspaceSpec {
    let tier = r.text("tier");
    // The list may be empty: all keys of a workspace can be revoked.
    let keys = r.raw("key_sha256").unwrap_or_else(|| {
        r.add_error("key_sha256", "this key is required");
        ""
    });
    let keys_sha256: Vec<String> =
        keys.split(',').map(str::trim).filter(|key| !key.is_empty()).map(str::to_owned).collect();
    let is_digest = |key: &String| {
        key.len() == KEY_HEX_DIGITS && key.bytes().all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f'))
    };
    if !keys_sha256.iter().all(is_digest) {
        let expected = "expected 64 lower-case hexadecimal digits for each key, separated by \
                        commas; create them with `trayswitch config key`";
        r.add_error("key_sha256", expected);
    }
    WorkspaceSpec {
        tier,
        keys_sha256,
        share: r.number("share", Some(1), 1, MAX_WEIGHT),
        max_running: r.number("max_running", Some(DEFAULT_MAX_RUNNING), 1, MAX_COUNT),
        max_waiting: r.number("max_waiting", Some(DEFAULT_MAX_WAITING), 0, MAX_COUNT),
    }
}
