//! Measures the VM's network link.

use std::{cell::RefCell, rc::Rc, sync::Arc, time::Duration};

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
        Rc::new(LinkMonitor { load, start: Instant::now(), metrics })
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

    fn now(&self) -> units::Instant {
        units::Instant(self.start.elapsed().as_micros() as u64)
    }

    fn tell(&self) {
        let report = self.load.borrow_mut().report(self.now());
        self.metrics.link(&report);
        if is_notable(&report) {
            log::info!(
                event = EventId::LinkLoad.number(), sent = report.sent as u64,
                received = report.received as u64,
                capacity = report.capacity.unwrap_or_default() as u64,
                delay_ms = report.delay.as_millis() as u64;
                "the load of the VM's network link"
            );
        }
    }
}

fn is_notable(report: &LinkReport) -> bool {
    report.capacity.is_some_and(|capacity| REPORTED_LOAD * capacity <= report.rate())
        || !report.delay.is_zero()
}
