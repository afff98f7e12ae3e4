//! One daemon with a model of its processor.

use std::{
    collections::{BTreeSet, VecDeque},
    time::{Duration, Instant as WallInstant},
};

use trayswitch_core::{
    node::{Clocks, Input, Node, Output},
    units::{Instant, UnixMillis},
    wire::Body,
};

use super::costs::Counters;

/// Processor time for each input, in nanoseconds of a whole core.
const INPUT_NS: f64 = 20_000.0;
/// Processor time for each byte received or sent, in nanoseconds of a whole core.
const BYTE_NS: f64 = 19.0;
/// Cores of a control VM and of an entry VM.
const CONTROL_CORES: f64 = 0.6;
const ENTRY_CORES: f64 = 0.12;

/// Encoded size of a message with its length prefix.
pub(super) fn message_bytes(body: &Body) -> usize {
    const LENGTH_PREFIX: usize = 4;
    LENGTH_PREFIX + body.encoded_len()
}

/// A daemon.
pub(super) struct Host {
    pub(super) node: Option<Node>,
    pub(super) is_control: bool,
    pub(super) hall: usize,
    /// Queued inputs.
    pub(super) waiting: VecDeque<Input>,
    /// When the daemon's thread is free again, in microseconds.
    pub(super) busy_until: u64,
    /// Earliest scheduled run, so that each host has one pending event.
    pub(super) scheduled: Option<u64>,
    /// Control VMs that the daemon keeps links to.
    pub(super) dialed: BTreeSet<usize>,
    pub(super) counters: Counters,
}

impl Host {
    pub(super) fn new(node: Node, is_control: bool, hall: usize) -> Host {
        Host {
            node: Some(node),
            is_control,
            hall,
            waiting: VecDeque::new(),
            busy_until: 0,
            scheduled: None,
            dialed: BTreeSet::new(),
            counters: Counters::default(),
        }
    }

    /// Processes one input and accounts for its costs.
    pub(super) fn handle(&mut self, input: Input, now: u64) -> Vec<Output> {
        let Some(node) = &mut self.node else { return Vec::new() };
        let kind = input.kind();
        let mut bytes = match &input {
            Input::Message(_, body) => message_bytes(body),
            _ => 0,
        };
        let clocks = Clocks { now: Instant(now), wall: UnixMillis(now / 1_000) };
        let began = WallInstant::now();
        let outputs = node.handle(input, clocks);
        self.counters.on_processed(kind, began.elapsed());
        for output in &outputs {
            if let Output::Send(_, body) = output {
                let size = message_bytes(body);
                self.counters.on_sent(body.kind(), size);
                bytes += size;
            }
        }
        let cores = if self.is_control { CONTROL_CORES } else { ENTRY_CORES };
        let busy = Duration::from_nanos(((INPUT_NS + bytes as f64 * BYTE_NS) / cores) as u64);
        self.busy_until = now + busy.as_micros() as u64;
        outputs
    }
}
