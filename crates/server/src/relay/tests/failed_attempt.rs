//! What is found out of endpoints whose attempts break off.

use googletest::prelude::*;
use tokio::join;

use super::{
    response::outcome,
    test_daemon::{TestDaemon, broken_off, run_test},
};

#[gtest]
fn an_endpoint_that_takes_no_connections_any_more_has_ended() {
    run_test(async {
        let daemon = TestDaemon::open().await;
        let mut engine = daemon.register("engines", "e1").await;

        let (answer, ()) = join!(daemon.send("/chat/", "r1"), async {
            let arrival = engine.arrival().await;
            engine.end().await;
            arrival.stream().abort().await;
        });

        expect_that!(outcome(&answer), some(eq("outcome_unknown")));
        daemon.wait_for_metric(&broken_off("engines", "ended"), 1).await;
    });
}

#[gtest]
fn an_endpoint_that_only_failed_a_request_is_alive() {
    run_test(async {
        let daemon = TestDaemon::open().await;
        let mut desk = daemon.register("desk", "e1").await;

        let (answer, ()) =
            join!(daemon.send("/once/x", "r1"), async { desk.arrival().await.drop_connection() });

        expect_that!(outcome(&answer), some(eq("outcome_unknown")));
        daemon.wait_for_metric(&broken_off("desk", "alive"), 1).await;
    });
}

#[gtest]
fn an_endpoint_that_ends_while_it_is_looked_at_has_ended() {
    run_test(async {
        let daemon = TestDaemon::open().await;
        let mut engine = daemon.register("engines", "e1").await;

        let (answer, ()) =
            join!(daemon.send("/chat/", "r1"), async { engine.arrival().await.drop_connection() });
        daemon.wait_for_metric(&broken_off("engines", "alive"), 1).await;
        engine.end().await;

        expect_that!(outcome(&answer), some(eq("outcome_unknown")));
        daemon.wait_for_metric(&broken_off("engines", "closed"), 1).await;
    });
}
