//! Tests of changes in pieces, from a control VM to a daemon that fetches them.

use std::time::Duration;

use bytes::Bytes;
use googletest::prelude::*;
use proptest::prelude::*;

use super::{
    Outbox, Output, VmName,
    config_changes::{ConfigChanges, PIECE_BYTES},
    config_fetch::{ConfigFetch, PieceOutcome},
};
use crate::{
    agreement::Entry,
    config::{Document, Section},
    state::{AcceptedChange, Applied, ChangeId, Command, ConfigChange, State, command},
    testing::{Choices, fixed_seed},
    units::Instant,
    wire::{Body, Fetch, Piece},
};

const NOW: Instant = Instant(1_000_000);

/// A document whose sections `0..count` have this many bytes each, which tell the version.
fn document(version: u64, count: usize, bytes: usize) -> Document {
    let mut document = Document::default();
    for n in 0..count {
        let text = format!("{version:0bytes$}");
        document.insert(&format!("kind k-{n}"), Section::from([("source".to_owned(), text)]));
    }
    document
}

/// A control VM that has accepted some versions.
#[derive(Default)]
struct Source {
    state: State,
    changes: ConfigChanges,
}

impl Source {
    /// Accepts a version whose sections `0..count` have this many bytes each.
    fn accept(&mut self, version: u64, count: usize, bytes: usize) {
        let document = document(version, count, bytes);
        let (base, before) = (self.state.version(), self.state.document());
        let change = ConfigChange::new(version, base, before, &document);
        let size = change.delta.len();
        let payload = Some(Command::payload(command::Kind::Config(change)));
        let entry = Entry { term: 1, index: version, at_ms: 1, payload };
        let Applied::Accepted(change) = self.state.apply(&entry) else { panic!("not accepted") };
        self.changes.push(*change, size);
    }

    fn answer(&mut self, fetch: &Fetch) -> Option<Vec<Piece>> {
        self.changes.answer(fetch, &self.state, NOW)
    }

    /// All pieces for a daemon at this version.
    fn all(&mut self, after: u64) -> Vec<Piece> {
        self.answer(&Fetch { after, count: u64::MAX, ..Fetch::default() }).unwrap()
    }
}

/// What a daemon has asked for since the last call.
fn asked(out: &mut Outbox) -> Vec<(VmName, Fetch)> {
    let fetch = |output| match output {
        Output::Send(to, Body::Fetch(fetch)) => Some((to, fetch)),
        _ => None,
    };
    std::mem::take(&mut out.outputs).into_iter().filter_map(fetch).collect()
}

/// Feeds a fetch from sources until the change is whole. Of what a source answers some is lost
/// while another is asked, and some comes twice.
fn fetch_all(sources: &mut [Source], in_force: u64, seed: u64) -> AcceptedChange {
    let mut choices = Choices::new(seed);
    let names: Vec<VmName> = (0..sources.len()).map(|n| format!("{n}").into()).collect();
    let mut out = Outbox::default();
    let mut config_fetch = ConfigFetch::start(names[0].clone(), in_force, NOW, &mut out);
    for _ in 0..10_000 {
        let mut asked = asked(&mut out);
        if asked.is_empty() || choices.below(8) == 0 {
            let other = choices.below(names.len() as u64) as usize;
            config_fetch.switch_source(names[other].clone(), NOW, &mut out);
            // What was asked before is lost on the way, or comes late.
            if choices.below(2) == 0 {
                asked.clear();
            }
        }
        for (to, fetch) in asked {
            let source = &mut sources[to.parse::<usize>().unwrap()];
            for piece in source.answer(&fetch).unwrap_or_default() {
                if let PieceOutcome::Complete(change) = config_fetch.on_piece(piece, NOW, &mut out)
                {
                    return change;
                }
            }
        }
    }
    panic!("the change never became whole");
}

#[gtest]
fn a_large_change_is_cut_at_sections_into_small_pieces() {
    let mut source = Source::default();
    source.accept(1, 1, 10);
    source.accept(2, 400, 1_000);

    let pieces = source.all(1);

    expect_that!(pieces.len(), ge(400 * 1_000 / PIECE_BYTES));
    for piece in &pieces {
        expect_that!(piece.delta.len(), lt(PIECE_BYTES + 1_100));
    }
    let last: Vec<bool> = pieces.iter().map(|piece| piece.last).collect();
    expect_that!(last.iter().filter(|last| **last).count(), eq(1));
    expect_that!(last.last(), some(eq(&true)));
}

#[gtest]
fn a_piece_is_made_once_for_all_daemons() {
    let mut source = Source::default();
    source.accept(1, 1, 10);
    source.accept(2, 100, 1_000);

    let (first, second) = (source.all(1), source.all(1));

    let places = |pieces: &[Piece]| -> Vec<*const u8> {
        pieces.iter().map(|piece| piece.delta.as_ptr()).collect()
    };
    expect_that!(places(&first), eq(&places(&second)));
}

#[gtest]
fn a_daemon_with_the_newest_version_is_answered_once_there_is_a_newer_one() {
    let mut source = Source::default();
    source.accept(1, 1, 10);
    let fetch = Fetch { after: 1, count: 3, ..Fetch::default() };

    let before = source.answer(&fetch);
    source.accept(2, 2, 10);
    let after = source.answer(&fetch);

    expect_that!(before, none());
    expect_that!(after.unwrap()[0].change.version, eq(2));
}

#[gtest]
fn a_daemon_that_lacks_several_changes_gets_what_they_come_to_together() {
    let mut source = Source::default();
    source.accept(1, 1, 10);
    for version in 2..=6 {
        source.accept(version, 100, 1_000);
    }

    let pieces = source.all(2);

    let change = &pieces[0].change;
    expect_that!((change.base, change.version), eq((2, 6)));
    let bytes: usize = pieces.iter().map(|piece| piece.delta.len()).sum();
    // As much as one of them, not as all four.
    expect_that!(bytes, lt(2 * 100 * 1_000));
}

#[gtest]
fn a_daemon_that_lacks_more_than_is_kept_gets_the_whole_document() {
    let mut source = Source::default();
    // Each is a change of a megabyte.
    for version in 1..10 {
        source.accept(version, 20, 50_000);
    }

    let behind = source.all(1);
    let nearly = source.all(8);

    expect_that!((behind[0].change.base, behind[0].change.version), eq((0, 9)));
    expect_that!((nearly[0].change.base, nearly[0].change.version), eq((8, 9)));
}

#[gtest]
fn a_daemon_that_began_with_a_whole_document_gets_the_rest_of_that_one() {
    let mut source = Source::default();
    source.accept(1, 100, 1_000);
    let first = source.answer(&Fetch { count: 1, ..Fetch::default() }).unwrap().remove(0);
    source.accept(2, 200, 1_000);

    let rest = Fetch { begun: Some(first.change), first: 1, count: 1, after: 0 };
    let second = source.answer(&rest).unwrap().remove(0);

    expect_that!((second.change.version, second.number), eq((1, 1)));
}

#[gtest]
fn a_daemon_whose_change_is_not_kept_is_sent_the_begin_of_another() {
    let mut source = Source::default();
    source.accept(1, 200, 1_000);
    let gone = ChangeId { version: 7, ..ChangeId::default() };

    let one_more = Fetch { begun: Some(gone), first: 9, count: 1, after: 0 };
    let pieces = source.answer(&one_more).unwrap();

    let numbers: Vec<u64> = pieces.iter().map(|piece| piece.number).collect();
    expect_that!(numbers, eq(&vec![0, 1, 2]));
}

#[gtest]
fn a_change_of_another_source_begins_anew() {
    let mut out = Outbox::default();
    let mut config_fetch = ConfigFetch::start("a".into(), 1, NOW, &mut out);
    let piece = |version, number, last| {
        let change = ChangeId { version, ..ChangeId::default() };
        Piece { change, number, last, delta: Bytes::new() }
    };
    config_fetch.on_piece(piece(2, 0, false), NOW, &mut out);

    let crossed = config_fetch.on_piece(piece(3, 1, true), NOW, &mut out);
    let anew = config_fetch.on_piece(piece(3, 0, false), NOW, &mut out);
    let whole = config_fetch.on_piece(piece(3, 1, true), NOW, &mut out);

    expect_that!((crossed, anew), eq(&(PieceOutcome::Partial, PieceOutcome::Partial)));
    let PieceOutcome::Complete(change) = whole else { panic!("{whole:?}") };
    expect_that!(change.id.version, eq(3));
}

#[gtest]
fn a_source_without_a_first_piece_is_given_up_soon_and_one_that_has_sent_some_later() {
    let mut out = Outbox::default();
    let mut source = Source::default();
    source.accept(1, 1, 10);
    source.accept(2, 100, 1_000);
    let mut config_fetch = ConfigFetch::start("a".into(), 1, NOW, &mut out);

    let first = config_fetch.timeout_at().since(NOW);
    config_fetch.switch_source("b".into(), NOW, &mut out);
    let second = config_fetch.timeout_at().since(NOW);
    config_fetch.on_piece(source.all(1).remove(0), NOW, &mut out);
    let later = config_fetch.timeout_at().since(NOW);

    expect_that!(first, lt(Duration::from_millis(200)));
    expect_that!(second, gt(first));
    expect_that!(later, gt(second));
}

proptest! {
    #![proptest_config(fixed_seed(200))]

    #[test]
    fn a_fetch_ends_with_the_change_whatever_is_lost_and_whoever_answers(
        seed in any::<u64>(),
        before in 0usize..40,
        after in 1usize..40,
        bytes in 1usize..9_000,
        starts_anew in any::<bool>(),
    ) {
        let mut sources = [Source::default(), Source::default(), Source::default()];
        for source in &mut sources {
            source.accept(1, before, bytes);
            source.accept(2, after, bytes);
        }
        // One has lost what it kept of earlier changes and has only the document.
        sources[1].changes = ConfigChanges::default();

        let in_force = if starts_anew { 0 } else { 1 };
        let change = fetch_all(&mut sources, in_force, seed);

        let mut document = match change.id.base {
            0 => Document::default(),
            _ => document(1, before, bytes),
        };
        document.apply(&change.delta);
        prop_assert_eq!(document.content_hash(), sources[0].state.hash());
        prop_assert_eq!(&change.id.hash[..], &document.content_hash().0[..]);
    }

    #[test]
    fn a_daemon_behind_by_any_number_of_versions_ends_at_the_newest(
        seed in any::<u64>(),
        counts in proptest::collection::vec(0usize..40, 2..8),
        bytes in 1usize..9_000,
        behind in any::<prop::sample::Index>(),
    ) {
        let mut sources = [Source::default(), Source::default(), Source::default()];
        for source in &mut sources {
            for (n, count) in counts.iter().enumerate() {
                source.accept(n as u64 + 1, *count, bytes);
            }
        }
        let at = behind.index(counts.len() - 1);
        let mut document = document(at as u64 + 1, counts[at], bytes);

        let change = fetch_all(&mut sources, at as u64 + 1, seed);
        document.apply(&change.delta);

        prop_assert_eq!(change.id.version, counts.len() as u64);
        prop_assert_eq!(document.content_hash(), sources[0].state.hash());
    }
}
