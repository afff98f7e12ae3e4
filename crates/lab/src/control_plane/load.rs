//! The configuration and the requests of a play.

use std::time::Duration;

use trayswitch_core::{
    config::{Document, EndpointTarget, key_digest},
    node::ActiveConfig,
    placement::{PrefixHash, Request, Ticket},
    software_version::VersionConstraint,
    state::ConfigChange,
    wire::Submit,
};

use super::{
    ControlPlaneOptions,
    endpoints::{ENGINE_SERVICE, HALLS, PLAIN_SERVICE},
};

/// Time to the first token, between two reports of tokens, and for a relocation, in microseconds.
pub(super) const FIRST_TOKEN_US: u64 = 400_000;
pub(super) const REPORT_US: u64 = 500_000;
pub(super) const MOVE_US: u64 = 100_000;
/// Tokens made between two reports.
pub(super) const TOKENS_PER_REPORT: u64 = 60;
/// Mean length of a generation, in microseconds.
const MEAN_LENGTH_US: f64 = 3_000_000.0;
/// Routes that no request uses.
const ROUTES: usize = 250;

/// A request that is placed or waits for a place.
#[derive(Debug)]
pub(super) struct Generation {
    pub(super) requested_at: u64,
    /// Its length until it is placed, then the time of its end.
    pub(super) ends_at: u64,
    pub(super) tokens: u64,
}

/// Draws a request.
pub(super) fn generation(rng: &mut fastrand::Rng, number: u64, now: u64) -> (Generation, Request) {
    let length = -(1.0 - rng.f64()).ln() * MEAN_LENGTH_US;
    let generation = Generation { requested_at: now, ends_at: length as u64, tokens: 0 };
    let request = Request {
        ticket: Ticket { entry: 0, number },
        workspace: "w0".into(),
        rank: 1,
        share: 1,
        max_running: 1_000_000,
        max_waiting: 1_000_000,
        kind: "chat".into(),
        target: EndpointTarget::Model(ENGINE_SERVICE.into()),
        prompt_tokens: 3_000,
        prefix: PrefixHash(number),
        max_tokens: 1_104,
        max_wait: Duration::from_secs(2),
        ttft_target: Duration::from_millis(1_800),
        avoid: Vec::new(),
        isolated: false,
        versions: VersionConstraint::Any,
        time_left: Duration::from_secs(60),
        longest_gap: Duration::ZERO,
        digest: None,
    };
    (generation, request)
}

/// A configuration of this version, as a change of `base`.
pub(super) fn configuration(
    options: &ControlPlaneOptions,
    version: u64,
    base: Option<&ActiveConfig>,
) -> Submit {
    let mut text = format!("[deployment]\nname = fleet\nversion = {version}\n");
    for hall in 0..HALLS {
        text += &format!("[hall hall-{hall}]\nregion = r\n");
    }
    text += "[tier gold]\nrank = 1\n[kind chat]\n";
    text += &format!("[model {ENGINE_SERVICE}]\nkind = chat\n");
    text += &format!("[service {ENGINE_SERVICE}]\nslots = 24\nkv_tokens = 33640\nmoves = yes\n");
    text += &format!("[service {PLAIN_SERVICE}]\n");
    for n in 0..ROUTES {
        // One route differs from version to version.
        let weight = if n as u64 == version % ROUTES as u64 { version } else { 1 };
        text += &format!(
            "[route r{n}]\nhost = h{n}.example\npath_prefix = /p{n}/\nservices = {PLAIN_SERVICE}:{weight}\nkind = single\n"
        );
    }
    for n in 0..options.workspaces {
        let digest = key_digest(&format!("key-{n}"));
        text += &format!("[workspace w{n}]\ntier = gold\nkey_sha256 = {digest}\n");
    }
    let document = Document::parse("fleet.ini", &text).expect("the text is valid");
    let nothing = Document::default();
    let (base_version, base) = base.map_or((0, &nothing), |base| (base.version, &base.document));
    let command = ConfigChange::new(version, base_version, base, &document);
    Submit { file: "fleet.ini".into(), command, or_newer: false }
}
