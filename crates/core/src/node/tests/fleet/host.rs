//! A VM with its daemon and a model of its CPU time.

use std::collections::VecDeque;

use super::network::message_bytes;
use crate::{
    node::{Clocks, Input, Node, Output},
    units::{Instant, UnixMillis},
};

/// CPU time per byte sent or received, in nanoseconds of a whole core. Copied bytes cost the same, so
/// that the tests do not depend on shared buffers.
const BYTE_NS: f64 = 19.0;
/// CPU time per input, in nanoseconds of a whole core.
const INPUT_NS: f64 = 20_000.0;
/// CPU cores of a control VM.
const CONTROL_CORES: f64 = 0.6;
/// CPU cores of an entry VM.
const ENTRY_CORES: f64 = 0.12;

/// A VM with a single-threaded daemon.
pub(super) struct Host {
    pub(super) node: Node,
    pub(super) is_control: bool,
    /// Queued inputs.
    pub(super) waiting: VecDeque<Input>,
    /// When the thread has processed the last input, in microseconds.
    pub(super) busy_until: u64,
    /// When its configuration was last confirmed to be current.
    pub(super) confirmed: Option<Instant>,
}

impl Host {
    pub(super) fn new(node: Node, is_control: bool) -> Host {
        Host { node, is_control, waiting: VecDeque::new(), busy_until: 0, confirmed: None }
    }

    /// Processes an input and charges CPU time for the bytes received and sent.
    pub(super) fn handle(&mut self, input: Input, now: u64) -> Vec<Output> {
        let mut bytes = match &input {
            Input::Message(_, body) => message_bytes(body),
            _ => 0,
        };
        let clocks = Clocks { now: Instant(now), wall: UnixMillis(now / 1_000) };
        let outputs = self.node.handle(input, clocks);
        for output in &outputs {
            if let Output::Send(_, body) = output {
                bytes += message_bytes(body);
            }
        }
        let cores = if self.is_control { CONTROL_CORES } else { ENTRY_CORES };
        let nanos = (INPUT_NS + bytes as f64 * BYTE_NS) / cores;
        self.busy_until = now + (nanos / 1_000.0) as u64;
        outputs
    }
}
