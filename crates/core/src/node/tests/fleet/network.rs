//! Model of the network: each VM has an access link that carries one message at a time.

use std::{collections::BTreeMap, time::Duration};

use prost::Message;

use crate::{
    node::VmName,
    wire::{Body, Envelope},
};

/// One-way latency between two VMs, in microseconds.
const DELAY_US: u64 = 1_400;
/// Bandwidth of an entry VM in bytes per microsecond: 10 Mbit/s.
const ENTRY_RATE: f64 = 1.25;
/// Bandwidth of a control VM in bytes per microsecond: 1,000 Mbit/s.
const CONTROL_RATE: f64 = 125.0;
/// Messages below this size count as small: polls, confirmations, grants, heartbeats.
const SMALL_MESSAGE_BYTES: usize = 1_024;

/// Encoded size of a message with its length prefix.
pub(super) fn message_bytes(body: &Body) -> usize {
    const LENGTH_PREFIX: usize = 4;
    LENGTH_PREFIX + Envelope { body: Some(body.clone()) }.encoded_len()
}

/// Link of a VM to the network.
struct AccessLink {
    /// Bandwidth, in bytes per microsecond.
    rate: f64,
    /// When each direction is idle, in microseconds.
    out_free: u64,
    in_free: u64,
    received: usize,
    is_entry: bool,
}

/// The links of all VMs.
#[derive(Default)]
pub(super) struct Network {
    links: BTreeMap<VmName, AccessLink>,
    /// Longest delivery time of a small message to an entry VM.
    pub(super) slowest_small: Duration,
}

impl Network {
    pub(super) fn add(&mut self, vm: &VmName, is_control: bool) {
        let rate = if is_control { CONTROL_RATE } else { ENTRY_RATE };
        let access =
            AccessLink { rate, out_free: 0, in_free: 0, received: 0, is_entry: !is_control };
        self.links.insert(vm.clone(), access);
    }

    /// Sends a message and returns when it has arrived completely.
    pub(super) fn send(&mut self, from: &VmName, to: &VmName, bytes: usize, now: u64) -> u64 {
        let out = self.links.get_mut(from).unwrap();
        let left = now.max(out.out_free) + (bytes as f64 / out.rate) as u64;
        out.out_free = left;
        let into = self.links.get_mut(to).unwrap();
        let arrives = (left + DELAY_US).max(into.in_free) + (bytes as f64 / into.rate) as u64;
        into.in_free = arrives;
        into.received += bytes;
        if bytes < SMALL_MESSAGE_BYTES && into.is_entry {
            self.slowest_small = self.slowest_small.max(Duration::from_micros(arrives - now));
        }
        arrives
    }

    pub(super) fn received(&self, vm: &VmName) -> usize {
        self.links[vm].received
    }
}
