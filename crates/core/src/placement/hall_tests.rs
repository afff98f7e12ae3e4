//! Placement while data halls are out of service.

use googletest::prelude::*;
use proptest::prelude::*;

use super::{
    Action, Scheduler, Ticket,
    fixture::{ms, request, scheduler},
};
use crate::{error::ErrorKind, mechanism::Disabled, state::HallsOut, testing::fixed_seed};

fn halls_out(number: u64, names: &[&str]) -> HallsOut {
    HallsOut { number, names: names.iter().map(|name| (*name).to_owned()).collect() }
}

/// Decides and returns the number and endpoint of each started request.
fn placed(scheduler: &mut Scheduler, at: u64) -> Vec<(u64, String)> {
    let start = |action| match action {
        Action::Start { ticket, endpoint, .. } => Some((ticket.number, endpoint.to_string())),
        Action::GiveUp { .. } => None,
    };
    scheduler.decide(ms(at)).into_iter().filter_map(start).collect()
}

#[gtest]
fn no_placement_in_a_hall_out_of_service() {
    let mut scheduler = scheduler(&["a", "b"], 34_000);
    scheduler.set_halls_out(&halls_out(1, &["a"]));

    for number in 0..6 {
        scheduler.enqueue(request(number, 500, 100), ms(1)).unwrap();
    }
    let placed = placed(&mut scheduler, 1);

    expect_that!(placed.len(), eq(6));
    expect_that!(placed.iter().all(|(_, endpoint)| endpoint == "e1"), eq(true));
}

#[gtest]
fn restored_hall_gets_requests() {
    let mut scheduler = scheduler(&["a"], 34_000);
    scheduler.set_halls_out(&halls_out(1, &["a"]));
    let while_out = scheduler.enqueue(request(1, 500, 100), ms(1));

    scheduler.set_halls_out(&halls_out(2, &[]));
    scheduler.enqueue(request(2, 500, 100), ms(2)).unwrap();

    expect_that!(while_out.unwrap_err().kind, eq(ErrorKind::OutOfService));
    expect_that!(placed(&mut scheduler, 2), elements_are![eq(&(2, "e0".to_owned()))]);
}

#[gtest]
fn queued_requests_are_rejected_without_a_hall_in_service() {
    let mut scheduler = scheduler(&["a", "b"], 3_000);
    for number in 0..5 {
        scheduler.enqueue(request(number, 2_000, 500), ms(1)).unwrap();
    }
    let running = placed(&mut scheduler, 1).len();
    scheduler.set_halls_out(&halls_out(1, &["a"]));
    let with_one_left = scheduler.decide(ms(2)).len();

    scheduler.set_halls_out(&halls_out(2, &["a", "b"]));
    let given_up = scheduler.decide(ms(3));

    expect_that!(running, eq(2));
    expect_that!(with_one_left, eq(0));
    expect_that!(given_up.len(), eq(3));
    for action in given_up {
        let Action::GiveUp { error, .. } = action else { panic!("{action:?}") };
        expect_that!(error.kind, eq(ErrorKind::OutOfService));
    }
}

#[gtest]
fn leaving_endpoint_is_evacuated_to_another_hall() {
    let mut scheduler = scheduler(&["a", "a", "b"], 34_000);
    scheduler.adopt(request(1, 1_000, 2_000), "e0", 8, ms(1));
    scheduler.set_halls_out(&halls_out(1, &["a"]));
    scheduler.endpoint_leaving("e0", true);

    let moves = scheduler.plan_relocations(ms(2));

    expect_that!(moves.len(), eq(1));
    expect_that!(&*moves[0].to, eq("e2"));
}

#[gtest]
fn new_engines_in_a_hall_out_of_service_get_no_requests() {
    let mut scheduler = scheduler(&["a"], 34_000);
    scheduler.set_halls_out(&halls_out(1, &["b"]));

    scheduler.configure(&super::fixture::engines(&["a", "b"], 34_000));
    scheduler.set_halls_out(&halls_out(1, &["b"]));
    for number in 0..4 {
        scheduler.enqueue(request(number, 500, 100), ms(1)).unwrap();
    }
    let placed = placed(&mut scheduler, 1);

    expect_that!(placed.iter().all(|(_, endpoint)| endpoint == "e0"), eq(true));
}

#[gtest]
fn local_scheduler_samples_only_halls_in_service() {
    let mut scheduler = Scheduler::local(Disabled::default(), 3);
    scheduler.configure(&super::fixture::engines(&["a", "b", "a"], 34_000));
    scheduler.set_halls_out(&halls_out(1, &["a"]));

    scheduler.enqueue(request(1, 500, 100), ms(1)).unwrap();
    scheduler.decide(ms(1));
    let sampled = scheduler.sampled_endpoints(Ticket { entry: 1, number: 1 }, ms(1));

    let names: Vec<&str> = sampled.iter().map(|sampled| &*sampled.endpoint).collect();
    expect_that!(names, elements_are![eq(&"e1")]);
}

proptest! {
    #![proptest_config(fixed_seed(100))]

    /// No request or move targets a hall that is out of service, under random input.
    #[test]
    fn no_request_or_move_enters_a_hall_out_of_service(
        steps in proptest::collection::vec((0u8..5, 0usize..6, 1u64..3_000), 1..80),
    ) {
        let halls = ["a", "a", "b", "b", "c", "c"];
        let hall_of = |endpoint: &str| halls[endpoint[1..].parse::<usize>().unwrap()];
        let mut scheduler = scheduler(&halls, 12_000);
        let mut out: Vec<&str> = Vec::new();
        for (at, (step, n, size)) in (0u64..).zip(steps) {
            let now = ms(at * 50);
            match step {
                0 | 1 => drop(scheduler.enqueue(request(at, size, 2_000), now)),
                2 if out.contains(&halls[n]) => out.retain(|hall| *hall != halls[n]),
                2 => out.push(halls[n]),
                3 => scheduler.endpoint_leaving(&format!("e{n}"), size % 2 == 0),
                _ => scheduler.progress(Ticket { entry: 1, number: at / 2 }, 1, now),
            }
            scheduler.set_halls_out(&halls_out(at, &out));
            for relocation in scheduler.plan_relocations(now) {
                prop_assert!(!out.contains(&hall_of(&relocation.to)));
                scheduler.on_relocated(relocation.ticket, &relocation.to, true, now);
            }
            for (_, endpoint) in placed(&mut scheduler, at * 50) {
                prop_assert!(!out.contains(&hall_of(&endpoint)));
            }
        }
    }
}
