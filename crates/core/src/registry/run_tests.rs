//! Endpoints that start again under the name that they had.

use std::time::Duration;

use googletest::prelude::*;
use proptest::prelude::*;

use super::{BUCKETS, Registry};
use crate::{state::HallsOut, testing::fixed_seed, units::Instant, wire::EndpointRecord};

const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// A heartbeat of the run of `e` that was started then.
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

/// The runs of `e` that may get new work, by their starts.
fn open_runs(registry: &Registry) -> Vec<u64> {
    let endpoints = registry.endpoints(&HallsOut::default());
    endpoints
        .into_iter()
        .filter(|endpoint| endpoint.available)
        .map(|endpoint| endpoint.started_at)
        .collect()
}

#[gtest]
fn a_run_that_starts_anew_is_known_at_once_though_its_heartbeats_are_counted_anew() {
    let mut registry = Registry::new(HEARTBEAT);
    registry.apply(beat(100, 57), seconds(0));

    let news = registry.apply(beat(200, 1), seconds(2));

    expect_that!(news, some(anything()));
    expect_that!(open_runs(&registry), elements_are![eq(&200)]);
}

#[gtest]
fn nothing_that_a_former_run_has_said_holds_for_the_new_one() {
    let mut registry = Registry::new(HEARTBEAT);
    registry.apply(EndpointRecord { cold_ms: 60_000, ..beat(100, 57) }, seconds(0));
    registry.mark_leaving("e", 0, seconds(1));

    registry.apply(beat(200, 1), seconds(2));

    expect_that!(open_runs(&registry), elements_are![eq(&200)]);
    expect_that!(registry.cold_endpoints().count(), eq(0));
}

#[gtest]
fn a_heartbeat_of_a_former_run_that_a_cut_has_held_up_changes_nothing() {
    let mut registry = Registry::new(HEARTBEAT);
    registry.apply(beat(100, 57), seconds(0));
    registry.apply(beat(200, 1), seconds(2));

    let leaving = EndpointRecord { leaving: true, ..beat(100, 58) };
    let news = [registry.apply(leaving, seconds(3)), registry.apply(beat(100, 59), seconds(3))];

    expect_that!(news, each(none()));
    expect_that!(open_runs(&registry), elements_are![eq(&200)]);
}

#[gtest]
fn a_run_that_has_left_and_was_forgotten_does_not_come_back_but_a_later_one_does() {
    let mut registry = Registry::new(HEARTBEAT);
    registry.apply(beat(100, 57), seconds(0));
    registry.mark_leaving("e", 0, seconds(1));
    registry.expire(seconds(70));

    let late = registry.apply(beat(100, 58), seconds(71));
    let anew = registry.apply(beat(200, 1), seconds(72));

    expect_that!(late, none());
    expect_that!(anew, some(anything()));
    expect_that!(open_runs(&registry), elements_are![eq(&200)]);
}

#[gtest]
fn word_that_a_former_run_has_left_does_not_close_the_new_one() {
    let mut registry = Registry::new(HEARTBEAT);
    registry.apply(beat(200, 1), seconds(0));
    let name_only =
        EndpointRecord { id: "e".into(), leaving: true, born: 100, ..EndpointRecord::default() };

    let news = registry.apply(name_only, seconds(1));

    expect_that!(news, none());
    expect_that!(open_runs(&registry), elements_are![eq(&200)]);
}

#[gtest]
fn one_that_does_not_say_when_it_was_started_takes_no_place_of_one_that_does() {
    let mut registry = Registry::new(HEARTBEAT);
    registry.apply(beat(100, 3), seconds(0));

    let foreign = EndpointRecord { address: "10.9.9.9:1".into(), ..beat(0, 99) };
    let news = registry.apply(foreign, seconds(1));

    expect_that!(news, none());
    expect_that!(open_runs(&registry), elements_are![eq(&100)]);
}

#[gtest]
fn an_address_goes_to_the_run_that_was_started_last_at_once() {
    let mut registry = Registry::new(HEARTBEAT);
    let other = |born, sequence| EndpointRecord { id: "other".into(), ..beat(born, sequence) };
    registry.apply(beat(100, 3), seconds(10));

    let later = registry.apply(other(200, 1), seconds(10));
    let earlier = registry.apply(beat(100, 4), seconds(10));

    expect_that!(later, some(anything()));
    expect_that!(earlier, none());
    expect_that!(open_runs(&registry), elements_are![eq(&200)]);
}

/// What happens to the runs of one endpoint and to those who hear of them.
#[derive(Debug, Clone, Copy)]
enum Step {
    /// A heartbeat that this run has sent reaches a control VM, however late.
    Heartbeat { run: u64, sequence: u64, at: usize },
    /// The same, and the run is leaving.
    Leaving { run: u64, sequence: u64, at: usize },
    /// All that a control VM knows comes to the entry, as when it is linked anew.
    Link { at: usize },
    /// A control VM starts anew, from what it had on disk.
    Restart { at: usize },
}

/// Runs before the last one.
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

/// Two control VMs that pass news on, and an entry that hears both.
struct Daemons {
    vms: Vec<Registry>,
    now: Instant,
}

impl Daemons {
    fn hear(&mut self, at: usize, record: EndpointRecord) {
        if let Some(news) = self.vms[at].apply(record, self.now) {
            self.vms[1 - at].apply(news.clone(), self.now);
            self.vms[2].apply(news, self.now);
        }
    }

    fn carry_out(&mut self, step: Step) {
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

    /// Whatever former runs have said comes late and in any order, also before the last run's first
    /// heartbeat: once one of its heartbeats is heard it is known everywhere, and it stays so.
    #[test]
    fn the_last_run_is_known_and_no_former_one_comes_back(before in steps(), after in steps()) {
        let vms = (0..3).map(|_| Registry::new(HEARTBEAT)).collect();
        let mut daemons = Daemons { vms, now: seconds(10) };
        before.into_iter().for_each(|step| daemons.carry_out(step));
        let last = (FORMER + 1) * 100;

        daemons.hear(0, beat(last, 1));
        for vm in &daemons.vms {
            prop_assert_eq!(open_runs(vm), vec![last]);
        }
        for step in after {
            daemons.carry_out(step);
            for vm in &daemons.vms {
                prop_assert_eq!(open_runs(vm), vec![last]);
            }
        }
    }
}
