//! Requests that come before a daemon has its configuration.

use std::time::Duration;

use googletest::prelude::*;
use http::StatusCode;
use tokio::join;

use super::{
    entry::{Entry, on_local_tasks},
    reading::text,
};

/// Longer than a test may take.
const LONG: Duration = Duration::from_secs(120);

#[gtest]
fn a_call_waits_for_a_daemon_that_has_just_started() {
    on_local_tasks(async {
        let entry = Entry::start(LONG);

        let (answer, ()) = join!(entry.ask("/once/x", "r1"), async {
            entry.connected().await;
            entry.configure().await;
            let mut endpoint = entry.register("desk", "e1").await;
            endpoint.arrival().await.answer(200, "done");
        });

        expect_that!(text(answer).await, ok(eq("done")));
    });
}

#[gtest]
fn a_call_is_refused_at_once_when_a_configuration_is_not_to_be_expected() {
    on_local_tasks(async {
        let entry = Entry::start(Duration::ZERO);

        let answer = entry.ask("/once/x", "r1").await;

        expect_that!(answer.head.status, eq(StatusCode::SERVICE_UNAVAILABLE));
    });
}
