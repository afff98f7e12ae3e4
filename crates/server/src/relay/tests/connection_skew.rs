//! Most new connections go to one entry.

use googletest::prelude::*;
use http::StatusCode;

use super::{test_daemon::run_test, test_fleet::TestFleet};

/// Callers at a time.
const CALLERS: usize = 30;
/// Rounds of callers, spread evenly and then unevenly.
const ROUNDS: usize = 6;

/// Sends one request of each caller at the same time, one in ten to any entry and the others to the
/// first one; returns how many were served at once.
async fn send_round(fleet: &TestFleet, path: &str, round: usize, is_skewed: bool) -> usize {
    let requests = (0..CALLERS).map(|caller| {
        let entry = if is_skewed && caller % 10 != 0 { 0 } else { caller % fleet.entries.len() };
        let (daemon, id) = (&fleet.entries[entry].daemon, format!("r{round}-{caller}"));
        async move { daemon.send(path, &id).await.head.status }
    });
    let statuses = futures_util::future::join_all(requests).await;
    statuses.iter().filter(|status| **status == StatusCode::OK).count()
}

#[gtest]
fn entry_with_most_connections_serves_first_attempts_as_before() {
    run_test(async {
        let fleet = TestFleet::start(3).await;
        for name in ["d1", "d2"] {
            fleet.register_answering("desk", name).await;
        }
        for name in ["e1", "e2"] {
            fleet.register_answering("engines", name).await;
        }

        for path in ["/once/", "/again/", "/chat/", "/recap/"] {
            for round in 0..ROUNDS {
                let served = send_round(&fleet, path, round, ROUNDS / 2 <= round).await;
                expect_that!(served, eq(CALLERS), "{path} in round {round}");
            }
        }
    });
}
