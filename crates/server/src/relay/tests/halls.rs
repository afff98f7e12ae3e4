//! Data halls that operators take out of service and give back.

use googletest::prelude::*;
use tokio::join;

use super::{
    endpoint::events_to,
    entry::{Entry, on_local_tasks},
    protocol::OUTCOME,
    reading::{Reading, text},
};

#[gtest]
fn while_its_only_hall_is_out_a_service_refuses_at_once_and_serves_when_it_is_back() {
    on_local_tasks(async {
        let entry = Entry::open().await;
        let mut desk = entry.register("desk", "e1").await;
        let _engine = entry.register("engines", "e2").await;

        entry.order_hall(true, "e1").await;
        let call = entry.ask("/once/x", "r1").await;
        let generation = entry.ask("/chat/x", "r2").await;
        entry.order_hall(false, "e1").await;
        let (served, ()) = join!(entry.ask("/once/x", "r3"), async {
            desk.arrival().await.answer(200, "done");
        });

        expect_that!(call.head.headers[OUTCOME], eq("out_of_service"));
        expect_that!(generation.head.headers[OUTCOME], eq("out_of_service"));
        expect_that!(text(served).await, ok(eq("done")));
    });
}

#[gtest]
fn what_runs_in_a_hall_that_is_taken_out_goes_on_to_its_end() {
    on_local_tasks(async {
        let entry = Entry::open().await;
        let mut engine = entry.register("engines", "e1").await;
        let (answer, stream) = join!(entry.ask("/chat/x", "r1"), async {
            let stream = engine.arrival().await.stream();
            stream.events(1..=3).await;
            stream
        });
        let mut reading = Reading::new(answer);
        reading.read_to(3).await;

        entry.order_hall(true, "e1").await;
        stream.events(4..=6).await;
        stream.end();

        expect_that!(reading.rest().await, ok(eq(&events_to(6))));
    });
}
