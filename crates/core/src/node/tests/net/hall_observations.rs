//! What operators and daemons have seen of the data halls that are out of service.

use std::collections::BTreeMap;

use crate::{
    node::{CallId, VmName},
    state::{HallOrder, HallResult, HallsOut},
    units::Instant,
};

/// An order that an operator gave.
#[derive(Debug, Clone)]
struct HallOrderRecord {
    hall: String,
    out: bool,
    asked: Instant,
    /// When the operator was told that it is in force.
    told: Option<Instant>,
}

/// Orders about data halls, and what is in force where.
#[derive(Default)]
pub(crate) struct HallObservations {
    orders: BTreeMap<CallId, HallOrderRecord>,
    /// What is out of service as of each order, wherever it was seen.
    by_number: BTreeMap<u64, HallsOut>,
    /// What each daemon knows since its start.
    known: BTreeMap<VmName, HallsOut>,
}

impl HallObservations {
    /// Notes an order before it is asked.
    pub(super) fn record_order(&mut self, call: CallId, order: &HallOrder, now: Instant) {
        let given =
            HallOrderRecord { hall: order.hall.clone(), out: order.out, asked: now, told: None };
        self.orders.insert(call, given);
    }

    /// Takes the answer to an order.
    pub(super) fn record_reply(&mut self, call: CallId, result: HallResult, now: Instant) {
        if matches!(result, HallResult::Done | HallResult::Repeated) {
            self.orders.get_mut(&call).unwrap().told = Some(now);
        }
    }

    /// A daemon has started.
    pub(super) fn started(&mut self, vm: &VmName) {
        self.known.remove(vm);
    }

    /// Checks what a daemon takes to be out of service: never older than before, and the same
    /// wherever it is of the same order.
    pub(super) fn check(&mut self, vm: &VmName, halls: &HallsOut) {
        let known = self.by_number.entry(halls.number).or_insert_with(|| halls.clone());
        assert_eq!(known, halls, "two states as of one order");
        let before = self.known.entry(vm.clone()).or_default();
        assert!(before.number <= halls.number, "{vm} went back to an older order");
        *before = halls.clone();
    }

    /// Checks that a daemon which takes its state for confirmed as of `at` obeys every order that
    /// was acknowledged before and that nobody has given the opposite of since.
    pub(super) fn check_confirmed(&self, vm: &VmName, at: Instant) {
        for order in self.unopposed().filter(|order| order.told.is_some_and(|told| told < at)) {
            let knows = self.known.get(vm).is_some_and(|halls| halls.contains(&order.hall));
            assert_eq!(knows, order.out, "{vm} confirmed as of {at:?} does not obey {order:?}");
        }
    }

    /// Checks that this state obeys every acknowledged order that was not countermanded.
    pub(crate) fn check_all_obeyed(&self, halls: &HallsOut) {
        for order in self.unopposed() {
            assert_eq!(halls.contains(&order.hall), order.out, "{order:?} was lost");
        }
    }

    /// What a daemon knows.
    pub(crate) fn known(&self, vm: &str) -> HallsOut {
        self.known.get(vm).cloned().unwrap_or_default()
    }

    /// Acknowledged orders of which nobody has given the opposite after they were asked.
    fn unopposed(&self) -> impl Iterator<Item = &HallOrderRecord> {
        let is_opposed = |order: &HallOrderRecord| {
            let opposite = |o: &&HallOrderRecord| o.hall == order.hall && o.out != order.out;
            self.orders.values().filter(opposite).any(|o| order.asked <= o.asked)
        };
        let acknowledged = self.orders.values().filter(|order| order.told.is_some());
        acknowledged.filter(move |order| !is_opposed(order))
    }
}
