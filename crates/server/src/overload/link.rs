//! Measures the VM's network link.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use trayswitch_clock::Instant;
use trayswitch_core::{
    link::{Direction, LinkLoad, LinkReport},
    units,
};

use crate::telemetry::{EventId, Metrics};

/// Interval of reports to the operator.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Part of the capacity from which a report is logged.
const REPORTED_LOAD: f64 = 0.5;

/// The load of the VM's network link.
pub struct LinkMonitor {
    load: RefCell<LinkLoad>,
    /// For how long new connections were refused since the last report.
    refused_for: Cell<Duration>,
    is_shedding: Cell<bool>,
    start: Instant,
    metrics: Rc<Metrics>,
}

impl LinkMonitor {
    /// Starts to measure a link that carries `capacity` bytes a second in each direction, if that is
    /// known. Ends when the monitor is dropped.
    pub fn spawn(capacity: Option<f64>, metrics: Rc<Metrics>) -> Rc<LinkMonitor> {
        let monitor = LinkMonitor::new(capacity, metrics);
        let weak = Rc::downgrade(&monitor);
        tokio::task::spawn_local(async move {
            loop {
                tokio::time::sleep(REPORT_INTERVAL).await;
                let Some(monitor) = weak.upgrade() else { return };
                monitor.tell();
            }
        });
        monitor
    }

    pub(crate) fn new(capacity: Option<f64>, metrics: Rc<Metrics>) -> Rc<LinkMonitor> {
        let load = RefCell::new(LinkLoad::new(capacity));
        Rc::new(LinkMonitor {
            load,
            refused_for: Cell::default(),
            is_shedding: Cell::default(),
            start: Instant::now(),
            metrics,
        })
    }

    /// Records bytes that a socket has taken or given.
    pub(crate) fn on_transfer(&self, direction: Direction, bytes: usize) {
        self.load.borrow_mut().on_transfer(direction, bytes, self.now());
    }

    /// Records a connection to a peer that came up, or was given up, after `took`.
    pub(crate) fn on_connect(&self, peer: &Arc<str>, took: Duration, came_up: bool) {
        self.metrics.connected(if came_up { "up" } else { "failed" }, took);
        self.load.borrow_mut().on_connect(peer, took, came_up, self.now());
    }

    /// Whether the link delays connections to all peers.
    pub(crate) fn is_late(&self) -> bool {
        self.load.borrow_mut().is_late(self.now())
    }

    /// Whether new connections are taken until the next call, an `interval` later.
    pub(crate) fn accept_connections(&self, interval: Duration) -> bool {
        let is_accepted = self.load.borrow_mut().accept_connections(self.now());
        if !is_accepted {
            self.metrics.listener_closed(interval);
            self.refused_for.set(self.refused_for.get() + interval);
            self.set_shedding(true);
        }
        is_accepted
    }

    /// Whether one more request is taken on a connection that is open.
    pub(crate) fn accept_request(&self) -> bool {
        self.load.borrow_mut().accept_request(self.now())
    }

    /// Counts a stream until the guard is dropped.
    pub(crate) fn accept_stream(self: &Rc<Self>) -> StreamGuard {
        self.load.borrow_mut().on_stream_accepted();
        StreamGuard { link: self.clone(), has_begun: false }
    }

    /// Bytes a second in the fuller direction.
    #[cfg(test)]
    pub(crate) fn rate(&self) -> f64 {
        self.load.borrow_mut().report(self.now()).rate()
    }

    fn set_shedding(&self, is_shedding: bool) {
        if self.is_shedding.replace(is_shedding) == is_shedding {
            return;
        }
        let report = self.load.borrow_mut().report(self.now());
        log::warn!(
            event = EventId::LoadShedding.number(), cause = "link",
            end = if is_shedding { "begun" } else { "over" }, streams = report.streams,
            sent = report.sent as u64, received = report.received as u64;
            "new connections are refused for a part of the time from now on, or are taken again"
        );
    }

    fn now(&self) -> units::Instant {
        units::Instant(self.start.elapsed().as_micros() as u64)
    }

    fn tell(&self) {
        let report = self.load.borrow_mut().report(self.now());
        self.metrics.link(&report);
        let refused_for = self.refused_for.take();
        if refused_for.is_zero() {
            self.set_shedding(false);
        }
        if is_notable(&report) {
            log::info!(
                event = EventId::LinkLoad.number(), sent = report.sent as u64,
                received = report.received as u64,
                streams = report.streams, refused_ms = refused_for.as_millis() as u64,
                capacity = report.capacity.unwrap_or_default() as u64,
                delay_ms = report.delay.as_millis() as u64;
                "the load of the VM's network link"
            );
        }
    }
}

/// Counts a stream as load of the link until dropped.
pub(crate) struct StreamGuard {
    link: Rc<LinkMonitor>,
    has_begun: bool,
}

impl StreamGuard {
    /// The stream brings events from now on.
    pub(crate) fn begin(&mut self) {
        if !std::mem::replace(&mut self.has_begun, true) {
            self.link.load.borrow_mut().on_stream_begun();
        }
    }
}

impl Drop for StreamGuard {
    fn drop(&mut self) {
        self.link.load.borrow_mut().on_stream_ended(self.has_begun);
    }
}

fn is_notable(report: &LinkReport) -> bool {
    report.capacity.is_some_and(|capacity| REPORTED_LOAD * capacity <= report.rate())
        || !report.delay.is_zero()
}
