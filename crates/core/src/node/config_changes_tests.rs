//! Tests of fetching configuration changes from control VMs in pieces.

use std::time::Duration;

use bytes::Bytes;
use googletest::prelude::*;
use proptest::prelude::*;

use super::{
    Outbox, Output, VmName,
    config_changes::{ConfigChanges, PIECE_BYTES},
    config_fetch::{ConfigFetch, PieceOutcome},
    config_streams::ConfigStreams,
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

/// A document with `count` sections of this many bytes each, whose content depends on the version.
fn document(version: u64, count: usize, bytes: usize) -> Document {
    let mut document = Document::default();
    for n in 0..count {
        let text = format!("{version:0bytes$}");
        document.insert(&format!("kind k-{n}"), Section::from([("source".to_owned(), text)]));
    }
    document
}

/// A control VM with accepted versions.
#[derive(Default)]
struct Source {
    state: State,
    changes: ConfigChanges,
}

impl Source {
    /// Accepts a version with `count` sections of this many bytes each.
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
        if fetch.count == 0 {
            return None;
        }
        let mut range = self.changes.find_pieces(fetch, &self.state, NOW)?;
        let mut pieces = Vec::new();
        while !range.is_empty() {
            pieces.push(self.changes.next_piece(&mut range, NOW)?);
        }
        Some(pieces)
    }

    /// All pieces for a daemon at this version.
    fn all_pieces(&mut self, after: u64) -> Vec<Piece> {
        self.answer(&Fetch { after, count: u64::MAX, ..Fetch::default() }).unwrap()
    }
}

/// Takes the fetches that the daemon has sent.
fn take_fetches(out: &mut Outbox) -> Vec<(VmName, Fetch)> {
    let fetch = |output| match output {
        Output::Send(to, Body::Fetch(fetch)) => Some((to, fetch)),
        _ => None,
    };
    std::mem::take(&mut out.outputs).into_iter().filter_map(fetch).collect()
}

/// Runs a fetch until the change is complete. The source is changed at random; some requests to the
/// previous one are lost, and some of its pieces arrive late.
fn fetch_all(sources: &mut [Source], active_version: u64, seed: u64) -> AcceptedChange {
    let mut choices = Choices::new(seed);
    let names: Vec<VmName> = (0..sources.len()).map(|n| format!("{n}").into()).collect();
    let mut out = Outbox::default();
    let mut config_fetch = ConfigFetch::start(names[0].clone(), active_version, 0, NOW, &mut out);
    for _ in 0..10_000 {
        let mut fetches = take_fetches(&mut out);
        if fetches.is_empty() || choices.below(8) == 0 {
            let other = choices.below(names.len() as u64) as usize;
            config_fetch.try_source(names[other].clone(), NOW, &mut out);
            // Earlier requests are lost or answered late.
            if choices.below(2) == 0 {
                fetches.clear();
            }
        }
        for (to, fetch) in fetches {
            let source = &mut sources[to.parse::<usize>().unwrap()];
            for piece in source.answer(&fetch).unwrap_or_default() {
                if let PieceOutcome::Complete(change) =
                    config_fetch.on_piece(&to, piece, NOW, &mut out)
                {
                    return change;
                }
            }
        }
    }
    panic!("the fetch did not complete");
}

#[gtest]
fn large_change_is_split_at_sections() {
    let mut source = Source::default();
    source.accept(1, 1, 10);
    source.accept(2, 400, 1_000);

    let pieces = source.all_pieces(1);

    expect_that!(pieces.len(), ge(400 * 1_000 / PIECE_BYTES));
    for piece in &pieces {
        expect_that!(piece.delta.len(), lt(PIECE_BYTES + 1_100));
    }
    let last: Vec<bool> = pieces.iter().map(|piece| piece.last).collect();
    expect_that!(last.iter().filter(|last| **last).count(), eq(1));
    expect_that!(last.last(), some(eq(&true)));
}

#[gtest]
fn daemons_share_encoded_pieces() {
    let mut source = Source::default();
    source.accept(1, 1, 10);
    source.accept(2, 100, 1_000);

    let (first, second) = (source.all_pieces(1), source.all_pieces(1));

    let addresses = |pieces: &[Piece]| -> Vec<*const u8> {
        pieces.iter().map(|piece| piece.delta.as_ptr()).collect()
    };
    expect_that!(addresses(&first), eq(&addresses(&second)));
}

#[gtest]
fn fetch_of_newest_version_waits_for_next() {
    let mut source = Source::default();
    source.accept(1, 1, 10);
    let fetch = Fetch { after: 1, count: 3, ..Fetch::default() };

    let before = source.answer(&fetch);
    source.accept(2, 2, 10);
    let after = source.answer(&fetch);

    expect_that!(before, none());
    expect_that!(after.unwrap()[0].change.version, eq(2));
}

/// Numbers of the pieces that are sent to the daemon `d` now, and their change.
fn sent(source: &mut Source, streams: &mut ConfigStreams) -> (Vec<u64>, Option<ChangeId>) {
    let mut out = Outbox::default();
    streams.send(&"d".into(), &mut source.changes, &source.state, NOW, &mut out);
    let piece = |output| match output {
        Output::Send(_, Body::Piece(piece)) => Some((piece.number, piece.change)),
        _ => None,
    };
    let (numbers, changes): (Vec<u64>, Vec<ChangeId>) =
        out.outputs.into_iter().filter_map(piece).unzip();
    (numbers, changes.into_iter().next())
}

// Daemons of earlier releases ask for one more piece with each that comes.
#[gtest]
fn pieces_wait_for_the_link_and_are_sent_once() {
    const PIECES: u64 = 6;
    let daemon: VmName = "d".into();
    let (mut source, all) = (Source::default(), u64::MAX);
    source.accept(1, PIECES as usize, PIECE_BYTES);
    for (first_count, more) in [(all, 0), (3, 1)] {
        let mut streams = ConfigStreams::default();
        streams.start(&daemon, Fetch { count: first_count, ..Fetch::default() });
        let (mut numbers, begun) = sent(&mut source, &mut streams);
        expect_that!(numbers, eq(&vec![0, 1]));
        for first in 3..=PIECES + 1 {
            streams.on_written(&daemon);
            numbers.extend(sent(&mut source, &mut streams).0);
            if 0 < more && first < PIECES {
                let begun = begun.clone();
                streams.start(&daemon, Fetch { begun, first, count: more, ..Fetch::default() });
                numbers.extend(sent(&mut source, &mut streams).0);
            }
        }

        expect_that!(numbers, eq(&(0..PIECES).collect::<Vec<_>>()));
    }
}

#[gtest]
fn fetch_of_no_pieces_ends_what_is_sent() {
    let (daemon, mut source, mut streams) =
        ("d".into(), Source::default(), ConfigStreams::default());
    source.accept(1, 6, PIECE_BYTES);
    streams.start(&daemon, Fetch { count: u64::MAX, ..Fetch::default() });
    sent(&mut source, &mut streams);

    streams.start(&daemon, Fetch::default());
    streams.on_written(&daemon);

    expect_that!(sent(&mut source, &mut streams).0, is_empty());
}

#[gtest]
fn missed_changes_are_merged() {
    let mut source = Source::default();
    source.accept(1, 1, 10);
    for version in 2..=6 {
        source.accept(version, 100, 1_000);
    }

    let pieces = source.all_pieces(2);

    let change = &pieces[0].change;
    expect_that!((change.base, change.version), eq((2, 6)));
    let bytes: usize = pieces.iter().map(|piece| piece.delta.len()).sum();
    // About the size of one change, not of all four.
    expect_that!(bytes, lt(2 * 100 * 1_000));
}

#[gtest]
fn daemon_too_far_behind_gets_whole_document() {
    let mut source = Source::default();
    // Each change has one megabyte.
    for version in 1..10 {
        source.accept(version, 20, 50_000);
    }

    let far_behind = source.all_pieces(1);
    let one_behind = source.all_pieces(8);

    expect_that!((far_behind[0].change.base, far_behind[0].change.version), eq((0, 9)));
    expect_that!((one_behind[0].change.base, one_behind[0].change.version), eq((8, 9)));
}

#[gtest]
fn begun_document_is_continued_after_new_version() {
    let mut source = Source::default();
    source.accept(1, 100, 1_000);
    let first = source.answer(&Fetch { count: 1, ..Fetch::default() }).unwrap().remove(0);
    source.accept(2, 200, 1_000);

    let rest = Fetch { begun: Some(first.change), first: 1, count: 1, ..Fetch::default() };
    let second = source.answer(&rest).unwrap().remove(0);

    expect_that!((second.change.version, second.number), eq((1, 1)));
}

#[gtest]
fn fetch_of_unknown_change_restarts_with_another() {
    let mut source = Source::default();
    source.accept(1, 200, 1_000);
    let unknown = ChangeId { version: 7, ..ChangeId::default() };

    let next_piece = Fetch { begun: Some(unknown), first: 9, count: 1, ..Fetch::default() };
    let pieces = source.answer(&next_piece).unwrap();

    let numbers: Vec<u64> = pieces.iter().map(|piece| piece.number).collect();
    expect_that!(numbers, eq(&vec![0, 1, 2]));
}

// Guards against a whole document that a daemon may not activate, sent by a control VM that is behind.
#[gtest]
fn version_that_is_of_no_use_is_not_sent() {
    let mut source = Source::default();
    source.accept(1, 1, 10);
    let fetch = Fetch { count: 3, at_least: 2, ..Fetch::default() };

    let behind = source.answer(&fetch);
    source.accept(2, 1, 10);
    let caught_up = source.answer(&fetch);

    expect_that!(behind, none());
    expect_that!(caught_up, some(not(is_empty())));
}

#[gtest]
fn change_of_other_source_restarts_fetch() {
    let mut out = Outbox::default();
    let mut config_fetch = ConfigFetch::start("a".into(), 1, 0, NOW, &mut out);
    let piece = |version, number, last| {
        let change = ChangeId { version, ..ChangeId::default() };
        Piece { change, number, last, delta: Bytes::new() }
    };
    config_fetch.on_piece(&"a".into(), piece(2, 0, false), NOW, &mut out);

    let stray = config_fetch.on_piece(&"a".into(), piece(3, 1, true), NOW, &mut out);
    let restarted = config_fetch.on_piece(&"a".into(), piece(3, 0, false), NOW, &mut out);
    let last = config_fetch.on_piece(&"a".into(), piece(3, 1, true), NOW, &mut out);

    expect_that!((stray, restarted), eq(&(PieceOutcome::Partial, PieceOutcome::Partial)));
    let PieceOutcome::Complete(change) = last else { panic!("{last:?}") };
    expect_that!(change.id.version, eq(3));
}

#[gtest]
fn timeout_is_shorter_before_first_piece() {
    let mut out = Outbox::default();
    let mut source = Source::default();
    source.accept(1, 1, 10);
    source.accept(2, 100, 1_000);
    let mut config_fetch = ConfigFetch::start("a".into(), 1, 0, NOW, &mut out);

    let first = config_fetch.timeout_at().since(NOW);
    config_fetch.try_source("b".into(), NOW, &mut out);
    let second = config_fetch.timeout_at().since(NOW);
    config_fetch.on_piece(&"b".into(), source.all_pieces(1).remove(0), NOW, &mut out);
    let later = config_fetch.timeout_at().since(NOW);

    expect_that!(first, lt(Duration::from_millis(200)));
    expect_that!(second, gt(first));
    expect_that!(later, gt(second));
}

proptest! {
    #![proptest_config(fixed_seed(200))]

    #[test]
    fn fetch_survives_losses_and_source_changes(
        seed in any::<u64>(),
        before in 0usize..40,
        after in 1usize..40,
        bytes in 1usize..9_000,
        whole_document in any::<bool>(),
    ) {
        let mut sources = [Source::default(), Source::default(), Source::default()];
        for source in &mut sources {
            source.accept(1, before, bytes);
            source.accept(2, after, bytes);
        }
        // One source has no recent changes, only the document.
        sources[1].changes = ConfigChanges::default();

        let active_version = if whole_document { 0 } else { 1 };
        let change = fetch_all(&mut sources, active_version, seed);

        let mut document = match change.id.base {
            0 => Document::default(),
            _ => document(1, before, bytes),
        };
        document.apply(&change.delta);
        prop_assert_eq!(document.content_hash(), sources[0].state.hash());
        prop_assert_eq!(&change.id.hash[..], &document.content_hash().0[..]);
    }

    #[test]
    fn fetch_from_any_version_reaches_newest(
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
