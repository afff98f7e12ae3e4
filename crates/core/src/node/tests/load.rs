//! The operators' view of the load, in whole nodes.

use googletest::prelude::*;

use super::{
    net::{Site, request},
    quarantine::configured_net,
};
use crate::{
    config::EndpointTarget,
    node::{Input, NodeCall},
    placement::{LoadSnapshot, Request},
};

/// Steps of 20 ms in which a new leader is found and reports its load.
const STEPS_TO_REPORT: usize = 400;

/// Guards against rejections that only the entry logs, without the state behind them.
#[gtest]
fn the_leader_logs_a_rejection_of_any_entry() {
    let mut net = configured_net(&Site::new(3, 2), 41);
    let leader = net.leader().unwrap();
    let unserved = Request { target: EndpointTarget::Model("unserved".into()), ..request() };

    let call = net.call(&"vm-4".into(), NodeCall::Place(unserved));
    net.wait_for_answer(call);

    let refused = &net.observed.refused;
    assert_that!(refused.len(), eq(1));
    let (at, entry, refusal) = &refused[0];
    expect_that!((at, &**entry), eq((&leader, "vm-4")));
    expect_that!((&*refusal.row.service, &*refusal.row.workspace), eq(("unserved", "w")));
}

/// Guards against a former leader whose metrics go on showing its last load.
#[gtest]
fn a_leader_reports_its_load_and_takes_it_back_when_it_ceases_to_lead() {
    let mut net = configured_net(&Site::new(3, 2), 42);
    let before = net.leader().unwrap();
    net.run(STEPS_TO_REPORT);
    let reported = net.observed.loads[&before].clone();

    net.handle(&before, Input::Stop);
    net.run(STEPS_TO_REPORT);

    let after = net.leader().unwrap();
    expect_that!(after, not(eq(&before)));
    expect_that!(reported.services[0].endpoints, eq(1));
    expect_that!(net.observed.loads[&before], eq(&LoadSnapshot::default()));
    expect_that!(net.observed.loads[&after].services.len(), eq(1));
}
