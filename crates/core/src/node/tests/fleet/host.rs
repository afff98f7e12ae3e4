//! A VM with its daemon and a model of its CPU time.

use std::{collections::VecDeque, time::Duration};

use super::network::message_bytes;
use crate::{
    node::{Clocks, Input, Node, Output},
    testing::Choices,
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

/// A daemon that waits for its processor runs for at most this part of its longest wait at a time.
const RUN_FOR_WAIT: u64 = 4;

/// Waits for the processor, in microseconds.
pub(super) struct HoldUps {
    choices: Choices,
    longest: u64,
    next: u64,
}

impl HoldUps {
    /// Waits of up to `longest` from now on.
    pub(super) fn new(longest: Duration, now: u64, seed: u64) -> HoldUps {
        HoldUps { choices: Choices::new(seed), longest: longest.as_micros() as u64, next: now }
    }

    /// When the wait that goes on now ends, if one does.
    fn end(&mut self, now: u64) -> Option<u64> {
        loop {
            if now < self.next {
                return None;
            }
            let end = self.next + self.choices.below(self.longest);
            self.next = end + self.choices.below(self.longest / RUN_FOR_WAIT);
            if now < end {
                return Some(end);
            }
        }
    }
}

/// A VM with a single-threaded daemon.
pub(super) struct Host {
    pub(super) node: Node,
    pub(super) is_control: bool,
    /// Queued inputs.
    pub(super) waiting: VecDeque<Input>,
    /// When the thread has processed the last input, in microseconds.
    pub(super) busy_until: u64,
    pub(super) hold_ups: Option<HoldUps>,
    /// When its configuration was last confirmed to be current.
    pub(super) confirmed: Option<Instant>,
}

impl Host {
    pub(super) fn new(node: Node, is_control: bool) -> Host {
        Host {
            node,
            is_control,
            waiting: VecDeque::new(),
            busy_until: 0,
            hold_ups: None,
            confirmed: None,
        }
    }

    /// When the wait for the processor ends that has begun by now, if there is one.
    pub(super) fn wait_for_processor(&mut self, now: u64) -> Option<u64> {
        let end = self.hold_ups.as_mut()?.end(now)?;
        self.busy_until = self.busy_until.max(end);
        Some(self.busy_until)
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
