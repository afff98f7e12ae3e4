//! Tests of what may come into force on a daemon.

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

fn document(version: u64) -> Document {
    Document::parse("f", &format!("[deployment]\nname = d\nversion = {version}\n")).unwrap()
}

/// A document that this release does not take.
fn strange() -> Document {
    Document::parse("f", "[deployment]\nname = d\nversion = 2\n[novelty]\n").unwrap()
}

/// A daemon linked to one control VM.
struct Daemon {
    config_store: ConfigStore,
    sources: ConfigSources,
    out: Outbox,
}

impl Daemon {
    /// A daemon at which version 1 is in force.
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

    /// Hears of a version that was accepted, with what it changes.
    fn update(&mut self, change: ConfigChange) -> bool {
        let ConfigChange { version, base, hash, delta } = change;
        let change = ChangeId { version, base, hash };
        let update = Update { change, delta: Some(delta) };
        self.config_store.update(update, &self.sources, NOW, &mut self.out)
    }

    /// Gets a whole document in one piece.
    fn piece(&mut self, version: u64, document: &Document) -> bool {
        let delta = EncodedDelta::write(&Document::default().delta_to(document));
        let hash = document.content_hash().0.to_vec().into();
        let change = ChangeId { version, base: 0, hash };
        let piece = Piece { change, number: 0, last: true, delta };
        self.config_store.piece(piece, &self.sources, NOW, &mut self.out)
    }

    /// Looks whether something is missing.
    fn fetch(&mut self) {
        self.config_store.fetch_if_missing(&self.sources, NOW, &mut self.out);
    }

    fn version(&self) -> u64 {
        self.config_store.version_hash().version
    }

    /// What it has asked for since the last call.
    fn asked(&mut self) -> Vec<Fetch> {
        let fetch = |output| match output {
            Output::Send(_, Body::Fetch(fetch)) => Some(fetch),
            _ => None,
        };
        std::mem::take(&mut self.out.outputs).into_iter().filter_map(fetch).collect()
    }
}

#[gtest]
fn a_version_that_this_release_does_not_take_is_asked_for_once() {
    let mut daemon = Daemon::at_version_1();

    let taken = daemon.update(ConfigChange::new(2, 1, &document(1), &strange()));
    daemon.fetch();
    let asked_again = daemon.asked();
    daemon.update(ConfigChange::new(3, 2, &strange(), &document(3)));
    let asked = daemon.asked();

    expect_that!((taken, daemon.version()), eq((false, 1)));
    expect_that!(asked_again, is_empty());
    // No change leads on from a version that is not there: the whole document does.
    expect_that!(asked.iter().map(|fetch| fetch.after).collect::<Vec<_>>(), eq(&vec![0]));
    expect_that!(daemon.piece(3, &document(3)), eq(true));
    expect_that!(daemon.version(), eq(3));
}

#[gtest]
fn a_first_configuration_is_no_older_than_what_was_confirmed_first() {
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
fn nothing_comes_into_force_before_a_leader_has_confirmed_anything() {
    let mut daemon = Daemon::without_configuration();

    let taken = daemon.update(ConfigChange::new(1, 0, &Document::default(), &document(1)));

    expect_that!((taken, daemon.version()), eq((false, 0)));
    expect_that!(daemon.asked(), is_empty());
}

#[gtest]
fn content_that_does_not_fit_its_hash_is_not_taken() {
    let mut daemon = Daemon::at_version_1();
    let mut change = ConfigChange::new(2, 1, &document(1), &document(2));
    change.hash = document(3).content_hash().0.to_vec().into();

    let taken = daemon.update(change);

    expect_that!((taken, daemon.version()), eq((false, 1)));
    let asked = daemon.asked();
    expect_that!(asked.iter().map(|fetch| fetch.after).collect::<Vec<_>>(), eq(&vec![1]));
}
