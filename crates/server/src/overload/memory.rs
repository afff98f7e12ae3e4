//! Bounds what is buffered for callers and endpoints in sum.
//!
//! Each body has a bound of its own, but hundreds of them at a time would still exceed the VM's memory.

use std::{
    fmt,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering::Relaxed},
    },
};

use bytes::Bytes;

use crate::telemetry::BufferMetrics;

/// A buffer of more bytes than this may only take from the first half of the budget, so that a few
/// large ones leave room for the small ones of all others.
const MAX_SMALL: usize = 64 * 1024;

/// The same for the head of a response.
const MAX_SMALL_HEAD: usize = 8 * 1024;

/// Memory for bodies and events on their way.
pub(crate) struct MemoryBudget {
    limit: usize,
    /// Atomic only since [`Bytes`] may be sent between threads.
    used: AtomicUsize,
    metrics: BufferMetrics,
}

/// The budget has no room.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct BudgetExhausted;

impl std::error::Error for BudgetExhausted {}

impl fmt::Display for BudgetExhausted {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("this daemon's memory for bodies is used up")
    }
}

impl MemoryBudget {
    /// A budget of `limit` bytes.
    pub(crate) fn new(limit: usize, metrics: BufferMetrics) -> Arc<MemoryBudget> {
        Arc::new(MemoryBudget { limit, used: AtomicUsize::default(), metrics })
    }

    /// A buffer that is empty so far.
    pub(crate) fn reservation(self: &Arc<Self>) -> Reservation {
        self.reservation_of(MAX_SMALL)
    }

    /// The same for the head of a response. A long one takes from the first half of the budget only, so that many
    /// endpoints that send heads without end leave the other half.
    pub(crate) fn intake(self: &Arc<Self>) -> Reservation {
        self.reservation_of(MAX_SMALL_HEAD)
    }

    fn reservation_of(self: &Arc<Self>, max_small: usize) -> Reservation {
        Reservation { budget: self.clone(), bytes: 0, max_small }
    }

    /// Counts bytes for as long as they are kept.
    pub(crate) fn hold(self: &Arc<Self>, bytes: Bytes) -> Result<Bytes, BudgetExhausted> {
        let mut reservation = self.reservation();
        reservation.resize(bytes.len())?;
        Ok(reservation.hold(bytes))
    }
}

/// Room for one buffer; given back when dropped.
pub(crate) struct Reservation {
    budget: Arc<MemoryBudget>,
    bytes: usize,
    max_small: usize,
}

impl Reservation {
    /// Makes room for `bytes` in all.
    pub(crate) fn resize(&mut self, bytes: usize) -> Result<(), BudgetExhausted> {
        let MemoryBudget { limit, used, metrics } = &*self.budget;
        let others = used.load(Relaxed) - self.bytes;
        let limit = if bytes <= self.max_small { *limit } else { *limit / 2 };
        if self.bytes < bytes && limit < others + bytes {
            metrics.on_refused();
            return Err(BudgetExhausted);
        }
        self.resize_unchecked(bytes);
        Ok(())
    }

    /// Counts `bytes` in all, whether or not there is room: they are there already.
    pub(crate) fn resize_unchecked(&mut self, bytes: usize) {
        let MemoryBudget { used, metrics, .. } = &*self.budget;
        let sum = used.load(Relaxed) - self.bytes + bytes;
        used.store(sum, Relaxed);
        metrics.set(sum);
        self.bytes = bytes;
    }

    /// Bytes for which there is room, counted for as long as they are kept.
    pub(crate) fn hold(self, bytes: Bytes) -> Bytes {
        Bytes::from_owner(Held { bytes, _reservation: self })
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let before = self.budget.used.fetch_sub(self.bytes, Relaxed);
        self.budget.metrics.set(before - self.bytes);
    }
}

struct Held {
    bytes: Bytes,
    _reservation: Reservation,
}

impl AsRef<[u8]> for Held {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
