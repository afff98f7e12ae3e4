//! What is found out of endpoints whose attempts break off.

use googletest::prelude::*;
use tokio::join;

use super::{
    entry::{Entry, broken_off, on_local_tasks},
    reading::outcome,
};

#[gtest]
fn an_endpoint_that_takes_no_connections_any_more_has_ended() {
    on_local_tasks(async {
        let entry = Entry::open().await;
        let mut engine = entry.register("engines", "e1").await;

        let (answer, ()) = join!(entry.ask("/chat/", "r1"), async {
            let arrival = engine.arrival().await;
            engine.end().await;
            arrival.stream().cut().await;
        });

        expect_that!(outcome(&answer), some(eq("outcome_unknown")));
        entry.has_counted(&broken_off("engines", "ended"), 1).await;
    });
}

#[gtest]
fn an_endpoint_that_only_failed_a_request_is_alive() {
    on_local_tasks(async {
        let entry = Entry::open().await;
        let mut desk = entry.register("desk", "e1").await;

        let (answer, ()) =
            join!(entry.ask("/once/x", "r1"), async { desk.arrival().await.break_off() });

        expect_that!(outcome(&answer), some(eq("outcome_unknown")));
        entry.has_counted(&broken_off("desk", "alive"), 1).await;
    });
}

#[gtest]
fn an_endpoint_that_ends_while_it_is_looked_at_has_ended() {
    on_local_tasks(async {
        let entry = Entry::open().await;
        let mut engine = entry.register("engines", "e1").await;

        let (answer, ()) =
            join!(entry.ask("/chat/", "r1"), async { engine.arrival().await.break_off() });
        entry.has_counted(&broken_off("engines", "alive"), 1).await;
        engine.end().await;

        expect_that!(outcome(&answer), some(eq("outcome_unknown")));
        entry.has_counted(&broken_off("engines", "closed"), 1).await;
    });
}
