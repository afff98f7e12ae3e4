//! Calls: whole answers, "not run" and repeats.

use googletest::prelude::*;
use tokio::join;

use super::{
    fake_endpoint::FakeEndpoint,
    response::{outcome, text},
    test_daemon::{TestDaemon, run_test},
};

#[gtest]
fn an_answer_comes_back_whole_from_the_endpoint_that_was_meant() {
    run_test(async {
        let daemon = TestDaemon::open().await;
        let mut endpoint = daemon.register("desk", "e1").await;

        let (answer, meant_for) = join!(daemon.send("/once/x", "r1"), async {
            let arrival = endpoint.arrival().await;
            let meant_for = arrival.meant_for.clone();
            arrival.answer(200, "done");
            meant_for
        });

        expect_that!(meant_for, eq("e1"));
        expect_that!(text(answer).await, ok(eq("done")));
    });
}

#[gtest]
fn a_call_that_was_turned_away_runs_at_another_endpoint() {
    run_test(async {
        let daemon = TestDaemon::open().await;
        let (mut e1, mut e2) =
            (daemon.register("desk", "e1").await, daemon.register("desk", "e2").await);

        let (answer, ()) = join!(daemon.send("/once/x", "r1"), async {
            tokio::select! {
                arrival = e1.arrival() => {
                    arrival.reject_unexecuted("full");
                    e2.arrival().await.answer(200, "done");
                }
                arrival = e2.arrival() => {
                    arrival.reject_unexecuted("full");
                    e1.arrival().await.answer(200, "done");
                }
            }
        });

        expect_that!(text(answer).await, ok(eq("done")));
    });
}

#[gtest]
fn a_single_call_that_may_have_run_is_not_sent_again() {
    run_test(async {
        let daemon = TestDaemon::open().await;
        let (mut e1, mut e2) =
            (daemon.register("desk", "e1").await, daemon.register("desk", "e2").await);

        let (answer, other_is_idle) = join!(daemon.send("/once/x", "r1"), async {
            tokio::select! {
                arrival = e1.arrival() => { arrival.drop_connection(); e2.is_idle() }
                arrival = e2.arrival() => { arrival.drop_connection(); e1.is_idle() }
            }
        });

        expect_that!(outcome(&answer), some(eq("outcome_unknown")));
        expect_that!(answer.head.status.as_u16(), eq(502));
        expect_true!(other_is_idle && e1.is_idle() && e2.is_idle());
    });
}

#[gtest]
fn a_crossed_answer_reaches_nobody() {
    run_test(async {
        let daemon = TestDaemon::open().await;
        let mut endpoint = daemon.register("desk", "e1").await;

        let (answer, ()) = join!(daemon.send("/once/x", "r1"), async {
            endpoint.arrival().await.respond_as_another_request();
        });

        expect_that!(outcome(&answer), some(eq("outcome_unknown")));
        expect_that!(text(answer).await, ok(eq("")));
    });
}

#[gtest]
fn a_call_that_may_be_repeated_gets_a_second_endpoint_and_no_third() {
    run_test(async {
        let daemon = TestDaemon::open().await;
        let mut endpoints = [
            daemon.register("desk", "e1").await,
            daemon.register("desk", "e2").await,
            daemon.register("desk", "e3").await,
        ];

        let [e1, e2, e3] = &mut endpoints;
        let (answer, ()) = join!(daemon.send("/again/x", "r1"), async {
            for _ in 0..2 {
                tokio::select! {
                    arrival = e1.arrival() => arrival.answer(500, "failed"),
                    arrival = e2.arrival() => arrival.answer(500, "failed"),
                    arrival = e3.arrival() => arrival.answer(500, "failed"),
                }
            }
        });

        expect_that!(answer.head.status.as_u16(), eq(500));
        expect_that!(text(answer).await, ok(eq("failed")));
        expect_true!(endpoints.iter_mut().all(FakeEndpoint::is_idle));
    });
}

#[gtest]
fn a_call_without_an_endpoint_has_not_run() {
    run_test(async {
        let daemon = TestDaemon::open().await;

        let answer = daemon.send("/once/x", "r1").await;

        expect_that!(outcome(&answer), some(eq("no_endpoint")));
        expect_that!(answer.head.status.as_u16(), eq(503));
    });
}

#[gtest]
fn an_endpoint_that_leaves_gets_no_new_call() {
    run_test(async {
        let daemon = TestDaemon::open().await;
        let (mut e1, mut e2) =
            (daemon.register("desk", "e1").await, daemon.register("desk", "e2").await);
        daemon.announce_leaving("e1").await;

        for _ in 0..10 {
            let (answer, ()) = join!(daemon.send("/once/x", "r1"), async {
                e2.arrival().await.answer(200, "done");
            });
            expect_that!(text(answer).await, ok(eq("done")));
        }

        expect_true!(e1.is_idle());
    });
}
