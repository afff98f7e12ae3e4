//! Requests that come before a daemon has its configuration.

use std::time::Duration;

use googletest::prelude::*;
use http::StatusCode;
use tokio::join;

use super::{
    response::text,
    test_daemon::{TestDaemon, run_test},
};

/// Longer than a test may take.
const LONG: Duration = Duration::from_secs(120);

#[gtest]
fn a_call_waits_for_a_daemon_that_has_just_started() {
    run_test(async {
        let daemon = TestDaemon::start(LONG);

        let (answer, ()) = join!(daemon.send("/once/x", "r1"), async {
            daemon.wait_for_connection().await;
            daemon.configure().await;
            let mut endpoint = daemon.register("desk", "e1").await;
            endpoint.arrival().await.answer(200, "done");
        });

        expect_that!(text(answer).await, ok(eq("done")));
    });
}

#[gtest]
fn a_call_is_refused_at_once_when_a_configuration_is_not_to_be_expected() {
    run_test(async {
        let daemon = TestDaemon::start(Duration::ZERO);

        let answer = daemon.send("/once/x", "r1").await;

        expect_that!(answer.head.status, eq(StatusCode::SERVICE_UNAVAILABLE));
    });
}
