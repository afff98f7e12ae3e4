//! Generations while no scheduler answers.

use googletest::prelude::*;
use tokio::join;

use super::{
    fake_endpoint::{events_to, next_arrival_at},
    protocol::ENGINE_MEMORY,
    response::text,
    test_daemon::{TestDaemon, run_test},
};

/// Tokens in memory that leave room for a prompt and not much more.
const TIGHT: u64 = ENGINE_MEMORY / 4 * 3;

#[gtest]
fn an_engine_with_much_room_is_asked_for_no_place() {
    run_test(async {
        let daemon = TestDaemon::without_scheduler().await;
        let mut engine = daemon.register("engines", "e1").await;
        engine.set_capacity(ENGINE_MEMORY / 4, true);

        let (answer, reservation) = join!(daemon.send("/chat/", "r1"), async {
            let arrival = engine.arrival().await;
            let reservation = arrival.reservation.clone();
            arrival.stream().end();
            reservation
        });

        expect_that!(text(answer).await, ok(eq("")));
        expect_that!(reservation, none());
        expect_that!(engine.reserved_tokens(), is_empty());
    });
}

#[gtest]
fn the_engine_with_more_room_keeps_a_place_and_gets_the_generation() {
    run_test(async {
        let daemon = TestDaemon::without_scheduler().await;
        let mut roomy = daemon.register("engines", "e1").await;
        let crowded = daemon.register("engines", "e2").await;
        roomy.set_capacity(TIGHT, true);
        crowded.set_capacity(TIGHT + 4_000, true);

        let (answer, reservation) = join!(daemon.send("/chat/", "r1"), async {
            let arrival = roomy.arrival().await;
            let reservation = arrival.reservation.clone();
            let stream = arrival.stream();
            stream.events(1..=3).await;
            stream.end();
            reservation
        });

        expect_that!(text(answer).await, ok(eq(&events_to(3))));
        expect_that!(reservation, some(eq("kept")));
        // The prompt of 1,000 tokens and the begin of the answer.
        expect_that!(roomy.reserved_tokens(), elements_are![gt(&1_000)]);
        expect_that!(crowded.reserved_tokens(), is_empty());
    });
}

#[gtest]
fn a_generation_goes_where_a_place_is_kept_when_the_better_engine_has_none() {
    run_test(async {
        let daemon = TestDaemon::without_scheduler().await;
        let mut e1 = daemon.register("engines", "e1").await;
        let mut e2 = daemon.register("engines", "e2").await;
        e1.set_capacity(TIGHT, false);
        e2.set_capacity(TIGHT + 4_000, true);

        let (answer, meant_for) = join!(daemon.send("/chat/", "r1"), async {
            let arrival = next_arrival_at(&mut e1, &mut e2).await;
            let meant_for = arrival.meant_for.clone();
            arrival.stream().end();
            meant_for
        });

        expect_that!(text(answer).await, ok(eq("")));
        expect_that!(meant_for, eq("e2"));
    });
}

#[gtest]
fn nothing_is_sent_to_engines_without_room_and_a_place_is_looked_for_again() {
    run_test(async {
        let daemon = TestDaemon::without_scheduler().await;
        let mut engine = daemon.register("engines", "e1").await;
        engine.set_capacity(ENGINE_MEMORY, false);

        let (answer, idle) = join!(daemon.send("/chat/", "r1"), async {
            while engine.reserved_tokens().len() < 3 {
                tokio::task::yield_now().await;
            }
            let idle = engine.is_idle();
            engine.set_capacity(0, true);
            engine.arrival().await.stream().end();
            idle
        });

        expect_that!(text(answer).await, ok(eq("")));
        expect_that!(idle, eq(true));
    });
}
