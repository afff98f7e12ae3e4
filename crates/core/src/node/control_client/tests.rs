//! Tests of when a daemon's configuration counts as confirmed.

use std::time::Duration;

use bytes::Bytes;
use googletest::prelude::*;

use super::{ControlClient, confirmations::Confirmations};
use crate::{
    config::Document,
    node::{
        Outbox, Output, VersionHash, VmName, config_store_tests::document,
        endpoint_sync_tests::options,
    },
    state::{ChangeId, EncodedDelta},
    units::Instant,
    wire::{Body, Piece, PollReply},
};

/// A daemon linked to the leader.
struct Daemon {
    client: ControlClient,
    leader: VmName,
    now: Instant,
    out: Outbox,
}

impl Daemon {
    fn linked() -> Daemon {
        let (leader, options) = ("10.0.0.1".into(), options("10.0.0.9"));
        let now = Instant(0);
        let (client, out) = (ControlClient::new(&options, now), Outbox::default());
        let mut daemon = Daemon { client, leader, now, out };
        daemon.client.link_up(&daemon.leader, now, &mut daemon.out);
        daemon
    }

    fn wait(&mut self, time: Duration) {
        self.now = self.now.after(time);
        self.client.tick(self.now, &mut self.out);
    }

    /// Receives the answer to the last poll.
    fn poll_reply(&mut self, version: u64) {
        let nonce = self.out.outputs.iter().rev().find_map(|output| match output {
            Output::Send(_, Body::Poll(poll)) => Some(poll.nonce),
            _ => None,
        });
        let hash = Bytes::copy_from_slice(&document(version).content_hash().0);
        let nonce = nonce.expect("a poll was sent");
        let reply = PollReply { nonce, version, hash, term: 1, daemons: 2, ..Default::default() };
        self.client.on_poll_reply(&self.leader, reply, self.now, &mut self.out);
    }

    /// Receives a whole document.
    fn fetched(&mut self, version: u64) {
        let document = document(version);
        let hash = document.content_hash().0.to_vec().into();
        let change = ChangeId { version, base: 0, hash };
        let delta = EncodedDelta::write(&Document::default().delta_to(&document));
        let piece = Piece { change, number: 0, last: true, delta };
        self.client.on_piece(&self.leader, piece, self.now, &mut self.out);
    }

    fn active_version(&self) -> u64 {
        self.client.active_config().map_or(0, |active| active.version)
    }
}

/// Whether a daemon is fresh that has been behind by so many versions, of which one is accepted each 0.5 s.
fn is_fresh_behind_by(versions: u64) -> bool {
    let mut daemon = Daemon::linked();
    daemon.poll_reply(1);
    for newest in 2..=30 {
        daemon.wait(Duration::from_millis(500));
        daemon.poll_reply(newest);
        if versions < newest {
            daemon.fetched(newest - versions);
        }
    }
    assert_that!(daemon.active_version(), eq(30 - versions));
    daemon.client.is_fresh()
}

#[gtest]
fn slow_daemon_stays_confirmed_while_versions_follow_in_quick_succession() {
    expect_that!([0, 1, 3].map(is_fresh_behind_by), eq([true; 3]));
    expect_that!([6, 10].map(is_fresh_behind_by), eq([false; 2]));
}

#[gtest]
fn configuration_is_as_current_as_the_versions_up_to_it() {
    let confirmed =
        |version, content: u64| VersionHash { version, hash: document(content).content_hash() };
    // Versions that the leader has named, one each 10 s, the active one, and as of which second it is current.
    let cases = [
        ("nothing is active", vec![confirmed(0, 0)], confirmed(0, 0), None),
        ("the newest", vec![confirmed(1, 1), confirmed(2, 2)], confirmed(2, 2), Some(20)),
        ("a former one", vec![confirmed(1, 1), confirmed(2, 2)], confirmed(1, 1), Some(8)),
        ("between two", vec![confirmed(1, 1), confirmed(3, 3)], confirmed(2, 2), Some(8)),
        ("older than all", vec![confirmed(2, 2), confirmed(3, 3)], confirmed(1, 1), None),
        ("newer than the newest", vec![confirmed(1, 1)], confirmed(2, 2), None),
        ("another content", vec![confirmed(1, 1), confirmed(2, 2)], confirmed(2, 3), None),
        ("named again", vec![confirmed(1, 1), confirmed(1, 1)], confirmed(1, 1), Some(20)),
    ];
    for (name, replies, active, expected) in cases {
        let mut confirmations = Confirmations::new(Duration::from_secs(4));
        let second = |n| Instant(0).after(Duration::from_secs(n));

        for (n, current) in (1..).zip(replies) {
            confirmations.on_reply(current, second(10 * n));
        }
        confirmations.update(active);

        expect_that!(confirmations.as_of(), eq(expected.map(second)), "{name}");
    }
}

#[gtest]
fn confirmation_never_goes_back() {
    let mut confirmations = Confirmations::new(Duration::from_secs(4));
    let version = |version| VersionHash { version, hash: document(version).content_hash() };

    confirmations.on_reply(version(1), Instant(1));
    confirmations.update(version(1));
    // A group that has lost its versions.
    confirmations.on_reply(VersionHash::default(), Instant(2));
    confirmations.update(version(1));

    expect_that!(confirmations.as_of(), eq(Some(Instant(1))));
}
