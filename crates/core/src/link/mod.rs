//! The load of this VM's network link.
//!
//! A full link delays all that crosses it, in any direction. New connections then take longer to all
//! peers at once, and what this daemon waits for is late without a fault of whoever sends it.

mod delay;
mod rate;
#[cfg(test)]
mod tests;

use std::{sync::Arc, time::Duration};

use self::{delay::DelayTracker, rate::RateMeter};
use crate::units::Instant;

/// Largest payload of a packet on Ethernet, in bytes.
const MAX_SEGMENT: usize = 1_448;
/// Bytes that each packet has beside its payload: Ethernet, IPv4, and TCP with time stamps.
const SEGMENT_OVERHEAD: usize = 66;
/// Packets of a connection's opening and end, in each direction.
const HANDSHAKE_SEGMENTS: usize = 3;

/// Part of the capacity below which a full link cannot be why connections never come up.
const MIN_LOAD_WHEN_LATE: f64 = 0.5;

/// A direction of the link.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Direction {
    /// From this VM.
    Sent,
    /// To this VM.
    Received,
}

/// What is known of the link.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LinkReport {
    /// Bytes a second from this VM, packet headers included.
    pub sent: f64,
    /// The same to this VM.
    pub received: f64,
    /// Bytes a second that the link carries in each direction, if that is known.
    pub capacity: Option<f64>,
    /// By how much recent connections to all peers took longer than they can; zero if one was in time.
    pub delay: Duration,
}

impl LinkReport {
    /// The rate of the fuller direction.
    pub fn rate(&self) -> f64 {
        self.sent.max(self.received)
    }
}

/// Measures the link.
#[derive(Debug)]
pub struct LinkLoad {
    capacity: Option<f64>,
    sent: RateMeter,
    received: RateMeter,
    delay: DelayTracker,
}

impl LinkLoad {
    /// A link that carries `capacity` bytes a second in each direction, if that is known.
    pub fn new(capacity: Option<f64>) -> LinkLoad {
        LinkLoad {
            capacity,
            sent: RateMeter::default(),
            received: RateMeter::default(),
            delay: DelayTracker::default(),
        }
    }

    /// Records bytes that a socket has taken or given.
    pub fn on_transfer(&mut self, direction: Direction, bytes: usize, now: Instant) {
        let overhead = bytes.div_ceil(MAX_SEGMENT) * SEGMENT_OVERHEAD;
        let (there, back) = match direction {
            Direction::Sent => (&mut self.sent, &mut self.received),
            Direction::Received => (&mut self.received, &mut self.sent),
        };
        there.record((bytes + overhead) as u64, now);
        // The acknowledgement.
        back.record(SEGMENT_OVERHEAD as u64, now);
    }

    /// Records a connection to a peer that came up, or was given up, after `took`.
    pub fn on_connect(&mut self, peer: &Arc<str>, took: Duration, came_up: bool, now: Instant) {
        let handshake = (HANDSHAKE_SEGMENTS * SEGMENT_OVERHEAD) as u64;
        self.sent.record(handshake, now);
        self.received.record(handshake, now);
        self.delay.record(peer, took, came_up, now);
    }

    /// Whether this link delays connections to all peers. Connections that never come up show that only
    /// if the link carries much: a VM that is cut off sees the same.
    pub fn is_late(&mut self, now: Instant) -> bool {
        let Some(delay) = self.delay.recent(now) else { return false };
        delay.any_came_up || self.is_busy(now)
    }

    fn is_busy(&mut self, now: Instant) -> bool {
        let rate = self.sent.per_second(now).max(self.received.per_second(now));
        self.capacity.is_some_and(|capacity| MIN_LOAD_WHEN_LATE * capacity <= rate)
    }

    /// The link as it is now.
    pub fn report(&mut self, now: Instant) -> LinkReport {
        LinkReport {
            sent: self.sent.per_second(now),
            received: self.received.per_second(now),
            capacity: self.capacity,
            delay: self.delay.recent(now).map_or(Duration::ZERO, |delay| delay.least_excess),
        }
    }
}
