//! Endpoints that restart under the same name.

use std::time::Duration;

use googletest::prelude::*;
use proptest::prelude::*;

use super::{Registry, digest::BUCKETS};
use crate::{state::HallsOut, testing::fixed_seed, units::Instant, wire::EndpointRecord};

const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// A heartbeat of the run of `e` with this start time.
fn beat(born: u64, sequence: u64) -> EndpointRecord {
    EndpointRecord {
        id: "e".into(),
        service: "s".into(),
        address: "10.0.0.1:80".into(),
        hall: "h".into(),
        slots: 4,
        sequence,
        born,
        ..EndpointRecord::default()
    }
}

fn seconds(s: u64) -> Instant {
    Instant(s * 1_000_000)
}

/// Start times of the available runs of `e`.
fn available_runs(registry: &Registry) -> Vec<u64> {
    let endpoints = registry.endpoints(&HallsOut::default());
    endpoints
        .into_iter()
        .filter(|endpoint| endpoint.available)
        .map(|endpoint| endpoint.started_at)
        .collect()
}

#[gtest]
fn restarted_run_replaces_the_former_one_at_once() {
    let mut registry = Registry::new(HEARTBEAT);
    registry.apply(beat(100, 57), seconds(0));

    let update = registry.apply(beat(200, 1), seconds(2));

    expect_that!(update, some(anything()));
    expect_that!(available_runs(&registry), elements_are![eq(&200)]);
}

#[gtest]
fn new_run_does_not_inherit_state() {
    let mut registry = Registry::new(HEARTBEAT);
    registry.apply(EndpointRecord { cold_ms: 60_000, ..beat(100, 57) }, seconds(0));
    registry.mark_leaving("e", 0, seconds(1));

    registry.apply(beat(200, 1), seconds(2));

    expect_that!(available_runs(&registry), elements_are![eq(&200)]);
    expect_that!(registry.cold_endpoints().count(), eq(0));
}

#[gtest]
fn delayed_heartbeat_of_a_former_run_is_ignored() {
    let mut registry = Registry::new(HEARTBEAT);
    registry.apply(beat(100, 57), seconds(0));
    registry.apply(beat(200, 1), seconds(2));

    let leaving = EndpointRecord { leaving: true, ..beat(100, 58) };
    let update = [registry.apply(leaving, seconds(3)), registry.apply(beat(100, 59), seconds(3))];

    expect_that!(update, each(none()));
    expect_that!(available_runs(&registry), elements_are![eq(&200)]);
}

#[gtest]
fn departed_run_does_not_return_but_a_later_one_registers() {
    let mut registry = Registry::new(HEARTBEAT);
    registry.apply(beat(100, 57), seconds(0));
    registry.mark_leaving("e", 0, seconds(1));
    registry.expire(seconds(70));

    let late = registry.apply(beat(100, 58), seconds(71));
    let later = registry.apply(beat(200, 1), seconds(72));

    expect_that!(late, none());
    expect_that!(later, some(anything()));
    expect_that!(available_runs(&registry), elements_are![eq(&200)]);
}

#[gtest]
fn departure_of_a_former_run_does_not_affect_the_new_one() {
    let mut registry = Registry::new(HEARTBEAT);
    registry.apply(beat(200, 1), seconds(0));
    let name_only =
        EndpointRecord { id: "e".into(), leaving: true, born: 100, ..EndpointRecord::default() };

    let update = registry.apply(name_only, seconds(1));

    expect_that!(update, none());
    expect_that!(available_runs(&registry), elements_are![eq(&200)]);
}

#[gtest]
fn record_without_start_time_does_not_replace_a_run() {
    let mut registry = Registry::new(HEARTBEAT);
    registry.apply(beat(100, 3), seconds(0));

    let foreign = EndpointRecord { address: "10.9.9.9:1".into(), ..beat(0, 99) };
    let update = registry.apply(foreign, seconds(1));

    expect_that!(update, none());
    expect_that!(available_runs(&registry), elements_are![eq(&100)]);
}

#[gtest]
fn latest_started_run_takes_the_address_at_once() {
    let mut registry = Registry::new(HEARTBEAT);
    let other = |born, sequence| EndpointRecord { id: "other".into(), ..beat(born, sequence) };
    registry.apply(beat(100, 3), seconds(10));

    let later = registry.apply(other(200, 1), seconds(10));
    let earlier = registry.apply(beat(100, 4), seconds(10));

    expect_that!(later, some(anything()));
    expect_that!(earlier, none());
    expect_that!(available_runs(&registry), elements_are![eq(&200)]);
}

/// Events of the runs of one endpoint.
#[derive(Debug, Clone, Copy)]
enum Step {
    /// A heartbeat of this run reaches a control VM, however late.
    Heartbeat { run: u64, sequence: u64, at: usize },
    /// A heartbeat of this run that announces its leaving.
    Leaving { run: u64, sequence: u64, at: usize },
    /// The entry reconnects to a control VM and receives all its records.
    Link { at: usize },
    /// A control VM restarts from the records on its disk.
    Restart { at: usize },
}

/// Number of runs before the last one.
const FORMER: u64 = 3;

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = (0u8..6, 1..=FORMER, 1u64..30, 0usize..2);
    let step = step.prop_map(|(kind, run, sequence, at)| match kind {
        0..=2 => Step::Heartbeat { run, sequence, at },
        3 => Step::Leaving { run, sequence, at },
        4 => Step::Link { at },
        _ => Step::Restart { at },
    });
    proptest::collection::vec(step, 0..20)
}

/// Two control VMs that forward records, and an entry that hears both.
struct Daemons {
    vms: Vec<Registry>,
    now: Instant,
}

impl Daemons {
    fn hear(&mut self, at: usize, record: EndpointRecord) {
        if let Some(update) = self.vms[at].apply(record, self.now) {
            self.vms[1 - at].apply(update.clone(), self.now);
            self.vms[2].apply(update, self.now);
        }
    }

    fn run_step(&mut self, step: Step) {
        self.now = self.now.after(Duration::from_millis(100));
        match step {
            Step::Heartbeat { run, sequence, at } => self.hear(at, beat(run * 100, sequence)),
            Step::Leaving { run, sequence, at } => {
                self.hear(at, EndpointRecord { leaving: true, ..beat(run * 100, sequence) });
            }
            Step::Link { at } => {
                let known: Vec<_> =
                    (0..BUCKETS).flat_map(|n| self.vms[at].bucket(n).to_vec()).collect();
                for (record, heard) in known {
                    self.vms[2].apply_heard_at(record, heard, self.now);
                }
            }
            Step::Restart { at } => {
                let remembered = self.vms[at].records().cloned().collect();
                self.vms[at] = Registry::new(HEARTBEAT);
                self.vms[at].restore(remembered, self.now);
            }
        }
    }
}

proptest! {
    #![proptest_config(fixed_seed(1_000))]

    /// Once a heartbeat of the last run is heard all daemons know it, and no delayed record of
    /// former runs replaces it.
    #[test]
    fn last_run_is_known_and_former_runs_do_not_return(before in steps(), after in steps()) {
        let vms = (0..3).map(|_| Registry::new(HEARTBEAT)).collect();
        let mut daemons = Daemons { vms, now: seconds(10) };
        before.into_iter().for_each(|step| daemons.run_step(step));
        let last = (FORMER + 1) * 100;

        daemons.hear(0, beat(last, 1));
        for vm in &daemons.vms {
            prop_assert_eq!(available_runs(vm), vec![last]);
        }
        for step in after {
            daemons.run_step(step);
            for vm in &daemons.vms {
                prop_assert_eq!(available_runs(vm), vec![last]);
            }
        }
    }
}
