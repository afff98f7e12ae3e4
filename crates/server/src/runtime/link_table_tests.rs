//! Tests of the links to one VM, of which some are silent.

use std::rc::Rc;

use googletest::prelude::*;
use tokio::sync::mpsc;
use trayswitch_core::wire::{Body, NotLeader};

use super::link_table::{Heard, Links, PeerPort, Waiting};

const NEITHER: Heard = Heard { before: false, after: false };
const BOTH: Heard = Heard { before: true, after: true };
const UP: Heard = Heard { before: false, after: true };
const DOWN: Heard = Heard { before: true, after: false };

/// Adds a link to the VM `b`.
fn add(links: &Links) -> (u64, Heard, mpsc::Receiver<Waiting>) {
    let (tx, rx) = mpsc::channel(4);
    let (id, heard) = links.add(&"b".into(), tx, Rc::default());
    (id, heard, rx)
}

/// Sends a message to the VM `b` and returns whether it was queued on each of the links.
fn send<const N: usize>(links: &Links, rxs: [&mut mpsc::Receiver<Waiting>; N]) -> [bool; N] {
    links.send(&"b".into(), Body::NotLeader(NotLeader::default()));
    rxs.map(|rx| rx.try_recv().is_ok())
}

// Guards against a peer that counts as gone while it waits for its processor, and whose messages are lost.
#[gtest]
fn silent_link_carries_messages_until_another_one_is_up() {
    let links = Links::new("a".into(), Vec::new(), PeerPort(1));
    let vm = "b".into();
    let (first, added, mut rx) = add(&links);
    expect_that!(added, eq(UP));

    expect_that!(links.set_silent(&vm, first, true), eq(DOWN));
    expect_that!(send(&links, [&mut rx]), eq([true]));
    expect_that!(links.set_silent(&vm, first, false), eq(UP));
    expect_that!(links.set_silent(&vm, first, true), eq(DOWN));
    let (second, added, mut other) = add(&links);

    expect_that!(added, eq(UP));
    expect_that!(send(&links, [&mut rx, &mut other]), eq([false, true]));
    expect_that!(links.set_silent(&vm, first, false), eq(BOTH));
    expect_that!(links.set_silent(&vm, second, true), eq(BOTH));
    expect_that!(send(&links, [&mut rx, &mut other]), eq([true, false]));
    expect_that!(links.remove(&vm, first), eq(DOWN));
    expect_that!(links.remove(&vm, second), eq(NEITHER));
    expect_that!(send(&links, [&mut rx, &mut other]), eq([false, false]));
}
