//! The network: a link for each VM, on which messages go one after the other.

use std::{collections::BTreeMap, time::Duration};

use prost::Message;

use crate::{
    node::VmName,
    wire::{Body, Envelope},
};

/// One way between two VMs, in microseconds.
const DELAY_US: u64 = 1_400;
/// Bytes that the link of an entry VM carries in a microsecond: 10 Mbit/s.
const ENTRY_RATE: f64 = 1.25;
/// Bytes that the link of a control VM carries in a microsecond: 1,000 Mbit/s.
const CONTROL_RATE: f64 = 125.0;
/// A message of fewer bytes is a small one: polls, confirmations, grants, heartbeats.
const SMALL: usize = 1_024;

/// Bytes of a message on a link.
pub(super) fn message_bytes(body: &Body) -> usize {
    const LENGTH: usize = 4;
    LENGTH + Envelope { body: Some(body.clone()) }.encoded_len()
}

/// A VM's own link to the network.
struct AccessLink {
    /// Bytes in a microsecond.
    rate: f64,
    /// When each direction is free, in microseconds.
    out_free: u64,
    in_free: u64,
    received: usize,
    is_entry: bool,
}

/// All VMs' links.
#[derive(Default)]
pub(super) struct Network {
    links: BTreeMap<VmName, AccessLink>,
    /// The longest time in which a small message reached an entry VM.
    pub(super) slowest_small: Duration,
}

impl Network {
    pub(super) fn add(&mut self, vm: &VmName, is_control: bool) {
        let rate = if is_control { CONTROL_RATE } else { ENTRY_RATE };
        let access =
            AccessLink { rate, out_free: 0, in_free: 0, received: 0, is_entry: !is_control };
        self.links.insert(vm.clone(), access);
    }

    /// When a message that is sent now has arrived whole.
    pub(super) fn carry(&mut self, from: &VmName, to: &VmName, bytes: usize, now: u64) -> u64 {
        let out = self.links.get_mut(from).unwrap();
        let left = now.max(out.out_free) + (bytes as f64 / out.rate) as u64;
        out.out_free = left;
        let into = self.links.get_mut(to).unwrap();
        let arrives = (left + DELAY_US).max(into.in_free) + (bytes as f64 / into.rate) as u64;
        into.in_free = arrives;
        into.received += bytes;
        if bytes < SMALL && into.is_entry {
            self.slowest_small = self.slowest_small.max(Duration::from_micros(arrives - now));
        }
        arrives
    }

    pub(super) fn received(&self, vm: &VmName) -> usize {
        self.links[vm].received
    }
}
