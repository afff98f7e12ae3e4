//! What it costs a daemon to look whether a request is a suspect.

use std::{hint::black_box, time::Instant as Clock};

use serde::Serialize;
use trayswitch_core::{
    mechanism::Disabled,
    node::{Clocks, Input, Node, NodeOptions, NodeTiming},
    quarantine::{ContentDigest, DigestKey, PromptPart, RequestIdentity},
    units::{Instant, UnixMillis},
    wire::{Body, SuspectChange, SuspectNews},
};

/// Requests that are looked at.
const LOOKS: u64 = 20_000;
/// Records that a daemon knows: none, one, and as many as are kept.
const RECORDS: [u64; 3] = [0, 1, 4_096];
/// Bytes of a body: a call, a prompt, a long prompt.
const BODIES: [usize; 3] = [200, 10_000, 400_000];

/// Parts of a prompt: none, as of a call, and as many as of a long conversation.
const PARTS: [u128; 2] = [0, 6];

/// Cost at one size.
#[derive(Debug, Serialize)]
pub(crate) struct Cost {
    /// Suspects that the daemon knows.
    pub(crate) records: u64,
    /// Bytes of the body.
    pub(crate) body: usize,
    /// Parts of the prompt.
    pub(crate) parts: u128,
    /// Nanoseconds for one request.
    pub(crate) nanos: f64,
}

/// Times the look at several sizes.
pub(crate) fn costs() -> Vec<Cost> {
    let at = |records| BODIES.map(|body| PARTS.map(|parts| cost(records, body, parts)));
    RECORDS.into_iter().flat_map(at).flatten().collect()
}

fn cost(records: u64, body: usize, parts: u128) -> Cost {
    let node = daemon(records);
    let key = DigestKey::new(b"key of the daemons");
    let bytes = vec![b'x'; body];
    let req = RequestIdentity { method: "POST", path: "/a/b", workspace: Some("w"), body: &bytes };
    let looks = if body < 100_000 { LOOKS } else { LOOKS / 100 };
    let began = Clock::now();
    for _ in 0..looks {
        let req = black_box(&req);
        if black_box(node.has_suspects()) {
            let parts = (0..parts).map(|part| key.part_digest(PromptPart(part)));
            let contents: Vec<ContentDigest> =
                std::iter::once(key.digest(req)).chain(parts).collect();
            black_box(node.verdict(&contents));
        }
    }
    Cost { records, body, parts, nanos: began.elapsed().as_secs_f64() * 1e9 / looks as f64 }
}

/// A daemon that was told of so many suspects.
fn daemon(records: u64) -> Node {
    let options = NodeOptions {
        vm: "entry".into(),
        hall: String::new(),
        seeds: vec!["control".into()],
        founders: Vec::new(),
        max_voters: 1,
        takes_callers: true,
        polls_loads: false,
        endpoint_heartbeat: std::time::Duration::from_secs(1),
        timing: NodeTiming::default(),
        seed: 1,
        disabled: Disabled::default(),
    };
    let mut node = Node::entry(&options, Instant(0));
    let change = |number: u64| {
        let digest = [number.to_be_bytes(), number.to_be_bytes()].concat();
        SuspectChange { request: digest.into(), ended: 1, ..SuspectChange::default() }
    };
    let changes: Vec<SuspectChange> = (1..=records).map(change).collect();
    let news = SuspectNews { after: 0, up_to: records, reset: false, more: false, changes };
    let clocks = Clocks { now: Instant(1), wall: UnixMillis(1) };
    node.handle(Input::Message("control".into(), Body::Suspects(news)), clocks);
    assert_eq!(node.crash_counts(&ContentDigest::default()).total, 0);
    node
}
