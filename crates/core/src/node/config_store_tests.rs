//! Tests of which configurations a daemon activates.

use googletest::prelude::*;

use super::{
    Outbox, Output, VmName,
    config_store::{ConfigSources, ConfigStore},
};
use crate::{
    config::Document,
    state::{ChangeId, ConfigChange, EncodedDelta},
    units::Instant,
    wire::{Body, Fetch, Piece, Update},
};

const NOW: Instant = Instant(1_000_000);

pub(super) fn document(version: u64) -> Document {
    Document::parse("f", &format!("[deployment]\nname = d\nversion = {version}\n")).unwrap()
}

/// A document that this release rejects.
fn unsupported() -> Document {
    Document::parse("f", "[deployment]\nname = d\nversion = 2\n[novelty]\n").unwrap()
}

/// A daemon linked to one control VM.
struct Daemon {
    config_store: ConfigStore,
    sources: ConfigSources,
    out: Outbox,
}

impl Daemon {
    /// A daemon with version 1 active.
    fn at_version_1() -> Daemon {
        let mut daemon = Daemon::without_configuration();
        daemon.config_store.on_version_confirmed(0);
        assert!(daemon.update(ConfigChange::new(1, 0, &Document::default(), &document(1))));
        daemon
    }

    fn without_configuration() -> Daemon {
        let control: VmName = "control".into();
        let mut sources = ConfigSources::new(&"daemon".into(), std::slice::from_ref(&control));
        sources.links.insert(control);
        Daemon { config_store: ConfigStore::new(NOW), sources, out: Outbox::default() }
    }

    /// Receives the announcement of an accepted version with its delta.
    fn update(&mut self, change: ConfigChange) -> bool {
        let ConfigChange { version, base, hash, delta } = change;
        let change = ChangeId { version, base, hash };
        let update = Update { change, delta: Some(delta) };
        self.config_store.on_update(update, &self.sources, NOW, &mut self.out)
    }

    /// Receives a whole document in one piece.
    fn piece(&mut self, version: u64, document: &Document) -> bool {
        let delta = EncodedDelta::write(&Document::default().delta_to(document));
        let hash = document.content_hash().0.to_vec().into();
        let change = ChangeId { version, base: 0, hash };
        let piece = Piece { change, number: 0, last: true, delta };
        self.config_store.on_piece(&"control".into(), piece, &self.sources, NOW, &mut self.out)
    }

    /// Fetches what is missing.
    fn fetch(&mut self) {
        self.config_store.fetch_if_missing(&self.sources, NOW, &mut self.out);
    }

    fn version(&self) -> u64 {
        self.config_store.version_hash().version
    }

    /// Takes the fetches that the daemon has sent.
    fn take_fetches(&mut self) -> Vec<Fetch> {
        let fetch = |output| match output {
            Output::Send(_, Body::Fetch(fetch)) => Some(fetch),
            _ => None,
        };
        std::mem::take(&mut self.out.outputs).into_iter().filter_map(fetch).collect()
    }
}

#[gtest]
fn rejected_version_is_not_fetched_again() {
    let mut daemon = Daemon::at_version_1();

    let activated = daemon.update(ConfigChange::new(2, 1, &document(1), &unsupported()));
    daemon.fetch();
    let fetches_after_rejection = daemon.take_fetches();
    daemon.update(ConfigChange::new(3, 2, &unsupported(), &document(3)));
    let fetches = daemon.take_fetches();

    expect_that!((activated, daemon.version()), eq((false, 1)));
    expect_that!(fetches_after_rejection, is_empty());
    // A delta on a rejected version does not apply, so the whole document is fetched.
    expect_that!(fetches.iter().map(|fetch| fetch.after).collect::<Vec<_>>(), eq(&vec![0]));
    expect_that!(daemon.piece(3, &document(3)), eq(true));
    expect_that!(daemon.version(), eq(3));
}

#[gtest]
fn first_fetch_asks_for_no_version_older_than_the_first_confirmation() {
    let mut daemon = Daemon::without_configuration();

    daemon.config_store.on_version_confirmed(5);
    daemon.fetch();

    let fetches = daemon.take_fetches();
    expect_that!(
        fetches.iter().map(|f| (f.after, f.at_least)).collect::<Vec<_>>(),
        eq(&vec![(0, 5)])
    );
}

#[gtest]
fn first_config_is_not_older_than_first_confirmation() {
    let mut daemon = Daemon::without_configuration();
    daemon.config_store.on_version_confirmed(5);
    daemon.fetch();

    let older = daemon.piece(4, &document(4));
    let mut later = Daemon::without_configuration();
    later.config_store.on_version_confirmed(5);
    later.config_store.on_version_confirmed(6);
    later.fetch();
    let newer = later.piece(5, &document(5));

    expect_that!((older, daemon.version()), eq((false, 0)));
    expect_that!((newer, later.version()), eq((true, 5)));
}

#[gtest]
fn nothing_is_activated_before_first_confirmation() {
    let mut daemon = Daemon::without_configuration();

    let activated = daemon.update(ConfigChange::new(1, 0, &Document::default(), &document(1)));

    expect_that!((activated, daemon.version()), eq((false, 0)));
    expect_that!(daemon.take_fetches(), is_empty());
}

#[gtest]
fn content_with_wrong_hash_is_rejected() {
    let mut daemon = Daemon::at_version_1();
    let mut change = ConfigChange::new(2, 1, &document(1), &document(2));
    change.hash = document(3).content_hash().0.to_vec().into();

    let activated = daemon.update(change);

    expect_that!((activated, daemon.version()), eq((false, 1)));
    let fetches = daemon.take_fetches();
    expect_that!(fetches.iter().map(|fetch| fetch.after).collect::<Vec<_>>(), eq(&vec![1]));
}
