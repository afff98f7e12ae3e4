//! Observed orders and states of data halls, and the invariants on them.

use std::collections::BTreeMap;

use crate::{
    node::{CallId, VmName},
    state::{HallOrder, HallResult, HallsOut},
    units::Instant,
};

/// An order of an operator.
#[derive(Debug, Clone)]
struct HallOrderRecord {
    hall: String,
    out: bool,
    requested_at: Instant,
    acknowledged_at: Option<Instant>,
}

/// Orders about data halls and the states that daemons have published.
#[derive(Default)]
pub(crate) struct HallObservations {
    orders: BTreeMap<CallId, HallOrderRecord>,
    /// Halls out of service as of each order number.
    by_number: BTreeMap<u64, HallsOut>,
    /// State of each daemon since its start.
    known: BTreeMap<VmName, HallsOut>,
}

impl HallObservations {
    /// Records an order before it is sent.
    pub(super) fn record_order(&mut self, call: CallId, order: &HallOrder, now: Instant) {
        let given = HallOrderRecord {
            hall: order.hall.clone(),
            out: order.out,
            requested_at: now,
            acknowledged_at: None,
        };
        self.orders.insert(call, given);
    }

    /// Records the reply to an order.
    pub(super) fn record_reply(&mut self, call: CallId, result: HallResult, now: Instant) {
        if matches!(result, HallResult::Done | HallResult::Repeated) {
            self.orders.get_mut(&call).unwrap().acknowledged_at = Some(now);
        }
    }

    /// Forgets the state of a daemon that restarts.
    pub(super) fn started(&mut self, vm: &VmName) {
        self.known.remove(vm);
    }

    /// Checks a published state: never older than the one before, and the same on all daemons as of
    /// the same order.
    pub(super) fn check(&mut self, vm: &VmName, halls: &HallsOut) {
        let known = self.by_number.entry(halls.number).or_insert_with(|| halls.clone());
        assert_eq!(known, halls, "two states as of one order");
        let before = self.known.entry(vm.clone()).or_default();
        assert!(before.number <= halls.number, "{vm} went back to an older order");
        *before = halls.clone();
    }

    /// Checks that a state confirmed as of `at` contains every order that was acknowledged before
    /// and not reversed since.
    pub(super) fn check_confirmed(&self, vm: &VmName, at: Instant) {
        for order in self
            .unreversed()
            .filter(|order| order.acknowledged_at.is_some_and(|acknowledged| acknowledged < at))
        {
            let knows = self.known.get(vm).is_some_and(|halls| halls.contains(&order.hall));
            assert_eq!(knows, order.out, "{vm} confirmed as of {at:?} lacks {order:?}");
        }
    }

    /// Checks that a state contains every acknowledged order that was not reversed.
    pub(crate) fn check_all_applied(&self, halls: &HallsOut) {
        for order in self.unreversed() {
            assert_eq!(halls.contains(&order.hall), order.out, "{order:?} was lost");
        }
    }

    /// State of a daemon.
    pub(crate) fn known(&self, vm: &str) -> HallsOut {
        self.known.get(vm).cloned().unwrap_or_default()
    }

    /// Acknowledged orders that were not reversed after they were requested.
    fn unreversed(&self) -> impl Iterator<Item = &HallOrderRecord> {
        let is_reversed = |order: &HallOrderRecord| {
            let opposite = |o: &&HallOrderRecord| o.hall == order.hall && o.out != order.out;
            self.orders.values().filter(opposite).any(|o| order.requested_at <= o.requested_at)
        };
        let acknowledged = self.orders.values().filter(|order| order.acknowledged_at.is_some());
        acknowledged.filter(move |order| !is_reversed(order))
    }
}
