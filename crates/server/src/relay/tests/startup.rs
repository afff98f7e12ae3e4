//! Requests to a daemon that has no configuration yet.

use std::time::Duration;

use googletest::prelude::*;
use http::StatusCode;
use tokio::join;

use super::{
    response::text,
    test_daemon::{TestDaemon, run_test},
};

/// Longer than a test may take.
const LONG_TIMEOUT: Duration = Duration::from_secs(120);

#[gtest]
fn call_waits_for_initial_configuration() {
    run_test(async {
        let daemon = TestDaemon::start(LONG_TIMEOUT);

        let (answer, ()) = join!(daemon.send("/once/x", "r1"), async {
            daemon.wait_for_connection().await;
            let mut endpoint = daemon.register("desk", "e1").await;
            daemon.configure().await;
            endpoint.next_arrival().await.answer(200, "done");
        });

        expect_that!(text(answer).await, ok(eq("done")));
    });
}

#[gtest]
fn call_is_refused_after_recovery_timeout() {
    run_test(async {
        let daemon = TestDaemon::start(Duration::ZERO);

        let answer = daemon.send("/once/x", "r1").await;

        expect_that!(answer.head.status, eq(StatusCode::SERVICE_UNAVAILABLE));
    });
}
