//! A VM with its daemon and the time that its processor takes.

use std::collections::VecDeque;

use super::network::message_bytes;
use crate::{
    node::{Clocks, Input, Node, Output},
    units::{Instant, UnixMillis},
};

/// Processor time for a byte that is made or taken in, in nanoseconds of a whole core: a change of
/// 645 kB was measured to take 12 ms to decode, merge and encode. Every byte of a message is
/// charged so, also one that is only copied: what stands this does not depend on sharing.
const BYTE_NS: f64 = 19.0;
/// Processor time for any input, in nanoseconds of a whole core.
const INPUT_NS: f64 = 20_000.0;
/// Cores of a control VM.
const CONTROL_CORES: f64 = 0.6;
/// Cores of an entry VM.
const ENTRY_CORES: f64 = 0.12;

/// One VM.
pub(super) struct Host {
    pub(super) node: Node,
    pub(super) is_control: bool,
    /// Inputs that wait for the daemon's only thread.
    pub(super) waiting: VecDeque<Input>,
    /// When the thread is done with the last input, in microseconds.
    pub(super) busy_until: u64,
    /// When its configuration was last known to be current.
    pub(super) confirmed: Option<Instant>,
}

impl Host {
    pub(super) fn new(node: Node, is_control: bool) -> Host {
        Host { node, is_control, waiting: VecDeque::new(), busy_until: 0, confirmed: None }
    }

    /// Takes an input; the thread is busy for what came in and what goes out.
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
