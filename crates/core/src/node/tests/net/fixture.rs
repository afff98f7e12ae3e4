//! Configuration file and request of the tests.

use std::time::Duration;

use crate::{
    config::{EndpointTarget, key_digest},
    node::config_changes::PIECE_BYTES,
    placement::{PrefixHash, Request, Ticket},
    software_version::VersionConstraint,
};

/// Versions that are a multiple of this are large enough to be sent in several pieces.
const LARGE_VERSIONS: u64 = 3;
/// Number of filler sections in a large file, and bytes of each.
const FILLERS: usize = 6;
const FILLER_BYTES: usize = PIECE_BYTES / 2;

/// Text of a configuration file; `content` distinguishes files of the same version.
pub(super) fn file(version: u64, content: &str) -> String {
    let digest = key_digest("k");
    let mut text = format!(
        "[deployment]\nname = {content}\nversion = {version}\n[hall h]\nregion = r\n\
         [tier gold]\nrank = 1\n[kind chat]\n[model m]\nkind = chat\n\
         [workspace w]\ntier = gold\nkey_sha256 = {digest}\n\
         [endpoint e0]\nhall = h\naddress = 127.0.0.1:9000\nmodel = m\nslots = 4\nkv_tokens = 100000\n\
         [service s]\nmax_connections = 100\n"
    );
    if version.is_multiple_of(LARGE_VERSIONS) {
        for n in 0..FILLERS {
            let source = format!("{content}{version:0FILLER_BYTES$}");
            text += &format!("[kind filler-{n}]\nsource = {source}\n");
        }
    }
    text
}

/// A request that any endpoint of [`file`] can run.
pub(crate) fn request() -> Request {
    Request {
        ticket: Ticket { entry: 0, number: 0 },
        workspace: "w".into(),
        rank: 1,
        share: 1,
        max_running: 1_000_000,
        max_waiting: 1_000_000,
        kind: "chat".into(),
        target: EndpointTarget::Model("m".into()),
        prompt_tokens: 10,
        prefix: PrefixHash(1),
        max_tokens: 100,
        max_wait: Duration::from_secs(2),
        ttft_target: Duration::from_secs(2),
        avoid: Vec::new(),
        isolated: false,
        versions: VersionConstraint::Any,
        time_left: Duration::from_secs(60),
        longest_gap: Duration::ZERO,
        digest: None,
    }
}
