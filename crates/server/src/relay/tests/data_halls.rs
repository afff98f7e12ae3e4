//! Data halls that operators take out of service and put back.

use googletest::prelude::*;
use tokio::join;

use super::{
    fake_endpoint::events_to,
    protocol::OUTCOME,
    response::{ResponseReader, text},
    test_daemon::{TestDaemon, run_test},
};

#[gtest]
fn service_is_refused_while_its_only_hall_is_out() {
    run_test(async {
        let daemon = TestDaemon::open().await;
        let mut desk = daemon.register("desk", "e1").await;
        let _engine = daemon.register("engines", "e2").await;

        daemon.set_hall_out(true, "e1").await;
        let call = daemon.send("/once/x", "r1").await;
        let generation = daemon.send("/chat/x", "r2").await;
        daemon.set_hall_out(false, "e1").await;
        let (served, ()) = join!(daemon.send("/once/x", "r3"), async {
            desk.next_arrival().await.answer(200, "done");
        });

        expect_that!(call.head.headers[OUTCOME], eq("out_of_service"));
        expect_that!(generation.head.headers[OUTCOME], eq("out_of_service"));
        expect_that!(text(served).await, ok(eq("done")));
    });
}

#[gtest]
fn running_generation_completes_in_hall_taken_out() {
    run_test(async {
        let daemon = TestDaemon::open().await;
        let mut engine = daemon.register("engines", "e1").await;
        let (answer, stream) = join!(daemon.send("/chat/x", "r1"), async {
            let stream = engine.next_arrival().await.stream();
            stream.send_events(1..=3).await;
            stream
        });
        let mut reader = ResponseReader::new(answer);
        reader.read_to(3).await;

        daemon.set_hall_out(true, "e1").await;
        stream.send_events(4..=6).await;
        stream.finish();

        expect_that!(reader.read_rest().await, ok(eq(&events_to(6))));
    });
}
