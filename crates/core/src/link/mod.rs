//! The load of this VM's network link.
//!
//! A full link delays all that crosses it, in any direction. New connections then take longer to all
//! peers at once, and what this daemon waits for is late without a fault of whoever sends it.

mod admission;
mod delay;
mod rate;
#[cfg(test)]
mod tests;

use std::{sync::Arc, time::Duration};

use self::{
    admission::{Credit, StreamForecast, shed_part},
    delay::DelayTracker,
    rate::RateMeter,
};
use crate::units::Instant;

/// Largest payload of a packet on Ethernet, in bytes.
const MAX_SEGMENT: usize = 1_448;
/// Bytes that each packet has beside its payload: Ethernet, IPv4, and TCP with time stamps.
const SEGMENT_OVERHEAD: usize = 66;
/// Packets of a connection's opening and end, in each direction.
const HANDSHAKE_SEGMENTS: usize = 3;

/// Part of the capacity below which the link is not what delays connections.
const MIN_LOAD_WHEN_LATE: f64 = 0.5;
/// The same as a part of the highest rate so far, where the capacity is not known.
const MIN_PEAK_WHEN_LATE: f64 = 0.9;

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
    /// Streams that were accepted and have not ended.
    pub streams: usize,
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
    streams: StreamForecast,
    connections: Credit,
    requests: Credit,
    /// The highest rate so far.
    peak: f64,
}

impl LinkLoad {
    /// A link that carries `capacity` bytes a second in each direction, if that is known.
    pub fn new(capacity: Option<f64>) -> LinkLoad {
        LinkLoad {
            capacity,
            sent: RateMeter::default(),
            received: RateMeter::default(),
            delay: DelayTracker::default(),
            streams: StreamForecast::new(),
            connections: Credit::default(),
            requests: Credit::default(),
            peak: 0.0,
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
        let rate = self.rate(now);
        let full = match self.capacity {
            Some(capacity) => MIN_LOAD_WHEN_LATE * capacity,
            None => MIN_PEAK_WHEN_LATE * self.peak,
        };
        full <= rate && 0.0 < rate
    }

    /// Bytes a second in the fuller direction.
    fn rate(&mut self, now: Instant) -> f64 {
        let rate = self.sent.per_second(now).max(self.received.per_second(now));
        self.peak = self.peak.max(rate);
        rate
    }

    /// Whether new connections are taken in the next interval.
    pub fn accept_connections(&mut self, now: Instant) -> bool {
        let shed_part = self.shed_part(now);
        self.connections.accept(shed_part)
    }

    /// Whether one more request is taken on a connection that is open.
    pub fn accept_request(&mut self, now: Instant) -> bool {
        let shed_part = self.shed_part(now);
        self.requests.accept(shed_part)
    }

    /// The part of new work that the link has no room for. Streams go on for an unknown time, so room is
    /// kept for those that were accepted and bring no events yet.
    fn shed_part(&mut self, now: Instant) -> f64 {
        let rate = self.rate(now);
        let forecast = self.streams.forecast(rate, now);
        let is_full = self.is_late(now) && self.is_busy(now);
        let load = match self.capacity {
            _ if is_full => 1.0,
            Some(capacity) => forecast / capacity,
            None => 0.0,
        };
        shed_part(load)
    }

    /// Counts a stream that was accepted.
    pub fn on_stream_accepted(&mut self) {
        self.streams.on_stream_accepted();
    }

    /// Counts an accepted stream as one that brings events.
    pub fn on_stream_begun(&mut self) {
        self.streams.on_stream_begun();
    }

    /// Counts a stream no longer; `has_begun` if it has brought events.
    pub fn on_stream_ended(&mut self, has_begun: bool) {
        self.streams.on_stream_ended(has_begun);
    }

    /// The link as it is now.
    pub fn report(&mut self, now: Instant) -> LinkReport {
        LinkReport {
            sent: self.sent.per_second(now),
            received: self.received.per_second(now),
            capacity: self.capacity,
            streams: self.streams.count(),
            delay: self.delay.recent(now).map_or(Duration::ZERO, |delay| delay.least_excess),
        }
    }
}
