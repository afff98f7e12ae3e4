//! Notices when this daemon is late itself, and sheds requests unread while its thread is saturated or
//! the VM's network link has no room for them.
//!
//! A saturated daemon is late with all that it has read. A caller whose connection is closed unread can
//! try another daemon at once, whatever its request is.

mod link;
mod memory;
mod meter;
#[cfg(test)]
mod tests;

use std::{cell::Cell, rc::Rc, time::Duration};

use eyre::{Result, bail};
use tokio::{net::TcpStream, sync::watch};
use trayswitch_clock::Instant;

pub use self::link::LinkMonitor;

pub(crate) use self::{
    memory::{BudgetExhausted, MemoryBudget, Reservation},
    meter::MeteredSocket,
};
use crate::{
    edge::{Gate, LocalFuture},
    telemetry::{EventId, Metrics},
};

/// Interval of measurements.
const INTERVAL: Duration = Duration::from_millis(25);
/// Delay of a timer beyond which the thread is saturated. Streams stand still as long at each event;
/// a processor quota delays timers by up to half of it.
pub(crate) const MAX_DELAY: Duration = Duration::from_millis(200);
/// For how long every timer must be that late: a suspension or a long task delays only one.
pub(crate) const WINDOW: Duration = Duration::from_millis(500);

/// Measures by how much timers are late, and sheds new connections while all of them are.
pub struct OverloadMonitor {
    delay: Cell<Duration>,
    late_since: Cell<Option<Instant>>,
    overloaded: Cell<bool>,
    takes_connections: watch::Sender<bool>,
    late: watch::Sender<bool>,
    link: Rc<LinkMonitor>,
    metrics: Rc<Metrics>,
}

impl OverloadMonitor {
    /// Starts to measure; ends when the monitor is dropped.
    pub fn spawn(link: Rc<LinkMonitor>, metrics: Rc<Metrics>) -> Rc<OverloadMonitor> {
        let monitor = Rc::new(OverloadMonitor::new(link, metrics));
        let weak = Rc::downgrade(&monitor);
        tokio::task::spawn_local(async move {
            loop {
                let due = Instant::now() + INTERVAL;
                tokio::time::sleep(INTERVAL).await;
                let Some(monitor) = weak.upgrade() else { return };
                let now = Instant::now();
                monitor.record(now.saturating_duration_since(due), now);
                monitor.gate_connections();
                publish(&monitor.late, monitor.is_late());
            }
        });
        monitor
    }

    pub(crate) fn new(link: Rc<LinkMonitor>, metrics: Rc<Metrics>) -> OverloadMonitor {
        OverloadMonitor {
            delay: Cell::default(),
            late_since: Cell::default(),
            overloaded: Cell::default(),
            takes_connections: watch::Sender::new(true),
            late: watch::Sender::new(false),
            link,
            metrics,
        }
    }

    /// Decides whether new connections are taken in the next interval. A connection that is refused costs
    /// the link least: its caller has sent nothing yet.
    fn gate_connections(&self) {
        publish(&self.takes_connections, self.link.accept_connections(INTERVAL));
    }

    /// Whether this daemon is late itself, so that what it waits for may be late without a fault of
    /// whoever sends it.
    pub(crate) fn is_late(&self) -> bool {
        MAX_DELAY < self.delay.get() || self.link.is_late()
    }

    /// Changes of [`OverloadMonitor::is_late`].
    pub(crate) fn watch_late(&self) -> watch::Receiver<bool> {
        self.late.subscribe()
    }

    /// The VM's network link.
    pub(crate) fn link(&self) -> &Rc<LinkMonitor> {
        &self.link
    }

    /// Whether the thread is saturated, and callers should not be sent here. A full link is no reason: as
    /// much as it carries is still taken, and the next daemon would get the rest.
    pub fn is_overloaded(&self) -> bool {
        self.overloaded.get()
    }

    /// Records by how much a timer was late.
    pub(crate) fn record(&self, late: Duration, now: Instant) {
        self.delay.set(late);
        let since = (MAX_DELAY < late).then(|| self.late_since.get().unwrap_or(now));
        self.late_since.set(since);
        let overloaded = since.is_some_and(|since| WINDOW <= now.saturating_duration_since(since));
        if self.overloaded.replace(overloaded) != overloaded {
            log::warn!(
                event = EventId::LoadShedding.number(), cause = "thread",
                end = if overloaded { "begun" } else { "over" },
                took_ms = late.as_millis() as u64;
                "new connections are closed unread from now on, or are taken again"
            );
        }
    }
}

/// Sends a value if it has changed.
fn publish(tx: &watch::Sender<bool>, value: bool) {
    tx.send_if_modified(|before| std::mem::replace(before, value) != value);
}

impl Gate for OverloadMonitor {
    fn admit(&self, socket: TcpStream) -> LocalFuture<'static, Result<TcpStream>> {
        let is_shed = self.overloaded.get();
        if is_shed {
            self.metrics.connection_shed("thread");
        }
        Box::pin(async move {
            if is_shed {
                bail!("the daemon is overloaded");
            }
            Ok(socket)
        })
    }

    fn takes_connections(&self) -> watch::Receiver<bool> {
        self.takes_connections.subscribe()
    }

    fn may_read(&self) -> bool {
        let cause = match self.overloaded.get() {
            true => "thread",
            false if self.link.accept_request() => return true,
            false => "link",
        };
        self.metrics.connection_shed(cause);
        false
    }

    fn link(&self) -> Option<Rc<LinkMonitor>> {
        Some(self.link.clone())
    }
}
