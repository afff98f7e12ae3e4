//! Placement of generations without a scheduler.

use googletest::prelude::*;
use tokio::join;

use super::{
    fake_endpoint::{events_to, next_arrival_at},
    protocol::ENGINE_KV_TOKENS,
    response::text,
    test_daemon::{TestDaemon, run_test},
};

/// KV cache usage that leaves room for little more than a prompt.
const TIGHT: u64 = ENGINE_KV_TOKENS / 4 * 3;

#[gtest]
fn no_reservation_on_engine_with_free_memory() {
    run_test(async {
        let daemon = TestDaemon::without_scheduler().await;
        let mut engine = daemon.register("engines", "e1").await;
        engine.set_capacity(ENGINE_KV_TOKENS / 4, true);

        let (answer, reservation) = join!(daemon.send("/chat/", "r1"), async {
            let arrival = engine.next_arrival().await;
            let reservation = arrival.reservation.clone();
            arrival.stream().finish();
            reservation
        });

        expect_that!(text(answer).await, ok(eq("")));
        expect_that!(reservation, none());
        expect_that!(engine.reserved_tokens(), is_empty());
    });
}

#[gtest]
fn less_loaded_engine_grants_reservation() {
    run_test(async {
        let daemon = TestDaemon::without_scheduler().await;
        let mut less_loaded = daemon.register("engines", "e1").await;
        let more_loaded = daemon.register("engines", "e2").await;
        less_loaded.set_capacity(TIGHT, true);
        more_loaded.set_capacity(TIGHT + 4_000, true);

        let (answer, reservation) = join!(daemon.send("/chat/", "r1"), async {
            let arrival = less_loaded.next_arrival().await;
            let reservation = arrival.reservation.clone();
            let stream = arrival.stream();
            stream.send_events(1..=3).await;
            stream.finish();
            reservation
        });

        expect_that!(text(answer).await, ok(eq(&events_to(3))));
        expect_that!(reservation, some(eq("kept")));
        // The prompt of 1,000 tokens plus the initial output.
        expect_that!(less_loaded.reserved_tokens(), elements_are![gt(&1_000)]);
        expect_that!(more_loaded.reserved_tokens(), is_empty());
    });
}

#[gtest]
fn second_engine_is_used_if_first_denies_reservation() {
    run_test(async {
        let daemon = TestDaemon::without_scheduler().await;
        let mut e1 = daemon.register("engines", "e1").await;
        let mut e2 = daemon.register("engines", "e2").await;
        e1.set_capacity(TIGHT, false);
        e2.set_capacity(TIGHT + 4_000, true);

        let (answer, endpoint_id) = join!(daemon.send("/chat/", "r1"), async {
            let arrival = next_arrival_at(&mut e1, &mut e2).await;
            let endpoint_id = arrival.endpoint_id.clone();
            arrival.stream().finish();
            endpoint_id
        });

        expect_that!(text(answer).await, ok(eq("")));
        expect_that!(endpoint_id, eq("e2"));
    });
}

#[gtest]
fn placement_is_polled_while_engines_are_full() {
    run_test(async {
        let daemon = TestDaemon::without_scheduler().await;
        let mut engine = daemon.register("engines", "e1").await;
        engine.set_capacity(ENGINE_KV_TOKENS, false);

        let (answer, was_idle) = join!(daemon.send("/chat/", "r1"), async {
            while engine.reserved_tokens().len() < 3 {
                tokio::task::yield_now().await;
            }
            let was_idle = engine.is_idle();
            engine.set_capacity(0, true);
            engine.next_arrival().await.stream().finish();
            was_idle
        });

        expect_that!(text(answer).await, ok(eq("")));
        expect_that!(was_idle, eq(true));
    });
}
