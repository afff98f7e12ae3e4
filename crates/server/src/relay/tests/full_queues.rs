//! Links to daemons that do not take what is sent to them.

use googletest::prelude::*;

use super::{test_daemon::run_test, test_fleet::TestFleet};

// Guards against an entry that never hears of an endpoint, as a full queue has dropped the message.
#[gtest]
fn what_a_full_queue_drops_is_told_again() {
    run_test(async {
        let fleet = TestFleet::start(1).await;
        let _known = fleet.register("desk", "e1").await;
        let entry = &fleet.entries[0];

        let _endpoint = fleet.control.register_beside_full_queue("e2", &entry.vm);
        entry.daemon.wait_until(|| entry.daemon.is_open("e2").is_some()).await;

        expect_that!(entry.daemon.is_open("e2"), some(eq(true)));
    });
}
