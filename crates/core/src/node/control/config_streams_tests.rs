//! Tests of sending configuration changes to the daemons that fetch them.

use googletest::prelude::*;

use super::config_streams::ConfigStreams;
use crate::{
    agreement::Entry,
    config::{Document, Section},
    node::{Outbox, Output, VmName, config_changes::ConfigChanges},
    state::{ChangeId, Command, ConfigChange, State, command},
    units::Instant,
    wire::{Body, Fetch},
};

const NOW: Instant = Instant(1_000_000);
/// Sections of the accepted document, each as large as a piece.
const SECTIONS: usize = 6;

/// A control VM that sends the accepted document to one daemon.
struct Sender {
    state: State,
    changes: ConfigChanges,
    streams: ConfigStreams,
    vm: VmName,
}

impl Sender {
    fn new() -> Sender {
        let mut document = Document::default();
        for n in 0..SECTIONS {
            let text = "x".repeat(20_000);
            document.insert(&format!("kind k-{n}"), Section::from([("source".to_owned(), text)]));
        }
        let change = ConfigChange::new(1, 0, &Document::default(), &document);
        let payload = Some(Command::payload(command::Kind::Config(change)));
        let mut state = State::default();
        state.apply(&Entry { term: 1, index: 1, at_ms: 1, payload });
        let (changes, streams) = (ConfigChanges::default(), ConfigStreams::default());
        Sender { state, changes, streams, vm: "daemon".into() }
    }

    fn fetch(&mut self, fetch: Fetch) -> Vec<(u64, ChangeId)> {
        self.streams.start(&self.vm, fetch);
        self.send()
    }

    fn write(&mut self) -> Vec<(u64, ChangeId)> {
        self.streams.on_written(&self.vm);
        self.send()
    }

    /// Numbers of the pieces that are sent now.
    fn send(&mut self) -> Vec<(u64, ChangeId)> {
        let mut out = Outbox::default();
        self.streams.send(&self.vm, &mut self.changes, &self.state, NOW, &mut out);
        let piece = |output| match output {
            Output::Send(_, Body::Piece(piece)) => Some((piece.number, piece.change)),
            _ => None,
        };
        out.outputs.into_iter().filter_map(piece).collect()
    }
}

fn numbers(pieces: &[(u64, ChangeId)]) -> Vec<u64> {
    pieces.iter().map(|(number, _)| *number).collect()
}

#[gtest]
fn pieces_wait_for_the_link() {
    let mut sender = Sender::new();

    let first = sender.fetch(Fetch { count: u64::MAX, ..Fetch::default() });
    let next: Vec<u64> = (0..SECTIONS).flat_map(|_| numbers(&sender.write())).collect();

    expect_that!(numbers(&first), eq(&vec![0, 1]));
    expect_that!(next, eq(&vec![2, 3, 4, 5]));
}

// Daemons of earlier releases ask for one more piece with each that comes.
#[gtest]
fn daemon_that_asks_piece_by_piece_gets_each_once() {
    let mut sender = Sender::new();
    let first = sender.fetch(Fetch { count: 3, ..Fetch::default() });
    let begun = Some(first[0].1.clone());

    let mut sent = numbers(&first);
    for piece in 3..SECTIONS as u64 {
        sent.extend(numbers(&sender.write()));
        sent.extend(numbers(&sender.fetch(Fetch {
            begun: begun.clone(),
            first: piece,
            count: 1,
            ..Fetch::default()
        })));
    }
    sent.extend(numbers(&sender.write()));

    expect_that!(sent, eq(&(0..SECTIONS as u64).collect::<Vec<_>>()));
}

#[gtest]
fn fetch_of_no_pieces_ends_what_is_sent() {
    let mut sender = Sender::new();
    sender.fetch(Fetch { count: u64::MAX, ..Fetch::default() });

    sender.fetch(Fetch::default());

    expect_that!(sender.write(), is_empty());
}
