//! The play of a small control plane.

use std::time::Duration;

use googletest::prelude::*;

use super::{ControlPlaneOptions, Phase, PhaseReport, Report, run};

fn options() -> ControlPlaneOptions {
    ControlPlaneOptions {
        entries: 12,
        control: 5,
        engines: 40,
        plain: 4,
        heartbeat: Duration::from_secs(1),
        start: Duration::from_secs(3),
        phase: Duration::from_secs(4),
        rate: 20.0,
        replaced: 0.2,
        workspaces: 8,
        seed: 7,
    }
}

fn phase(report: &Report, phase: Phase) -> &PhaseReport {
    report.phases.iter().find(|report| report.phase == phase).expect("all phases are played")
}

#[gtest]
fn every_daemon_gets_changes_notices_and_the_next_leader() {
    let report = run(&options());

    let daemons = 12 + 5;
    expect_that!(phase(&report, Phase::Changes).changes.count, eq(daemons * 3));
    expect_that!(phase(&report, Phase::Changes).changes.missing, eq(0));
    expect_that!(phase(&report, Phase::Replacement).notices.count, gt(0));
    expect_that!(phase(&report, Phase::Replacement).notices.missing, eq(0));
    expect_that!(phase(&report, Phase::LeaderLoss).leaders.missing, eq(0));
    expect_that!(phase(&report, Phase::Steady).grants.count, gt(0));
}

#[gtest]
fn equal_seeds_give_equal_plays() {
    let sent = |report: &Report| -> Vec<u64> {
        let phases = report.phases.iter().flat_map(|phase| &phase.roles);
        phases.map(|role| role.bytes_per_second as u64).collect()
    };

    expect_that!(sent(&run(&options())), eq(&sent(&run(&options()))));
}
