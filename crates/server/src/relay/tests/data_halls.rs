//! Data halls that operators take out of service and give back.

use googletest::prelude::*;
use tokio::join;

use super::{
    fake_endpoint::events_to,
    protocol::OUTCOME,
    response::{ResponseReader, text},
    test_daemon::{TestDaemon, run_test},
};

#[gtest]
fn while_its_only_hall_is_out_a_service_refuses_at_once_and_serves_when_it_is_back() {
    run_test(async {
        let daemon = TestDaemon::open().await;
        let mut desk = daemon.register("desk", "e1").await;
        let _engine = daemon.register("engines", "e2").await;

        daemon.set_hall_out(true, "e1").await;
        let call = daemon.send("/once/x", "r1").await;
        let generation = daemon.send("/chat/x", "r2").await;
        daemon.set_hall_out(false, "e1").await;
        let (served, ()) = join!(daemon.send("/once/x", "r3"), async {
            desk.arrival().await.answer(200, "done");
        });

        expect_that!(call.head.headers[OUTCOME], eq("out_of_service"));
        expect_that!(generation.head.headers[OUTCOME], eq("out_of_service"));
        expect_that!(text(served).await, ok(eq("done")));
    });
}

#[gtest]
fn what_runs_in_a_hall_that_is_taken_out_goes_on_to_its_end() {
    run_test(async {
        let daemon = TestDaemon::open().await;
        let mut engine = daemon.register("engines", "e1").await;
        let (answer, stream) = join!(daemon.send("/chat/x", "r1"), async {
            let stream = engine.arrival().await.stream();
            stream.events(1..=3).await;
            stream
        });
        let mut reader = ResponseReader::new(answer);
        reader.read_to(3).await;

        daemon.set_hall_out(true, "e1").await;
        stream.events(4..=6).await;
        stream.end();

        expect_that!(reader.read_rest().await, ok(eq(&events_to(6))));
    });
}
