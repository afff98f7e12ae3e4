//! Probing endpoints after failed attempts.

use googletest::prelude::*;
use tokio::join;

use super::{
    response::outcome,
    test_daemon::{TestDaemon, failed_attempts_metric, run_test},
};

#[gtest]
fn refused_probe_reports_crash() {
    run_test(async {
        let daemon = TestDaemon::open().await;
        let mut engine = daemon.register("engines", "e1").await;

        let (answer, ()) = join!(daemon.send("/chat/", "r1"), async {
            let arrival = engine.next_arrival().await;
            engine.shut_down().await;
            arrival.stream().abort().await;
        });

        expect_that!(outcome(&answer), some(eq("outcome_unknown")));
        daemon.wait_for_metric(&failed_attempts_metric("engines", "ended"), 1).await;
    });
}

#[gtest]
fn accepted_probe_reports_alive() {
    run_test(async {
        let daemon = TestDaemon::open().await;
        let mut desk = daemon.register("desk", "e1").await;

        let (answer, ()) = join!(daemon.send("/once/x", "r1"), async {
            desk.next_arrival().await.drop_connection()
        });

        expect_that!(outcome(&answer), some(eq("outcome_unknown")));
        daemon.wait_for_metric(&failed_attempts_metric("desk", "alive"), 1).await;
    });
}

#[gtest]
fn crash_during_watch_is_reported() {
    run_test(async {
        let daemon = TestDaemon::open().await;
        let mut engine = daemon.register("engines", "e1").await;

        let (answer, ()) = join!(daemon.send("/chat/", "r1"), async {
            engine.next_arrival().await.drop_connection()
        });
        daemon.wait_for_metric(&failed_attempts_metric("engines", "alive"), 1).await;
        engine.shut_down().await;

        expect_that!(outcome(&answer), some(eq("outcome_unknown")));
        daemon.wait_for_metric(&failed_attempts_metric("engines", "closed"), 1).await;
    });
}
