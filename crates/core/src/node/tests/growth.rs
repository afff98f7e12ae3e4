//! Traffic and state of whole nodes in fleets of several sizes. Guards against costs for each daemon
//! or each change that grow with the fleet.

use std::time::Duration;

use googletest::prelude::*;

use super::{
    fleet::Fleet,
    net::Site,
    recovery::{fleet_with_endpoints, record},
};

const CONTROL: usize = 5;
/// Numbers of entries, each four times the one before.
const SIZES: [usize; 3] = [20, 80, 320];
const ENDPOINTS_PER_ENTRY: usize = 10;

fn fleet(entries: usize) -> (Site, Fleet) {
    let site = Site::new(CONTROL, entries);
    let fleet = fleet_with_endpoints(&site, entries * ENDPOINTS_PER_ENTRY);
    (site, fleet)
}

/// Most endpoints that an entry knows, and records that one change sends to all entries together.
fn costs(entries: usize) -> (usize, usize) {
    let (site, mut fleet) = fleet(entries);
    let known = site.entries.iter().map(|vm| fleet.endpoints_at(vm)).max().unwrap();
    let before = fleet.records_to_entries;
    const CHANGES: usize = 8;
    for n in 0..CHANGES {
        fleet.deregister_endpoint(&site.replicas[n % CONTROL], &record(n * 7).id);
        fleet.run(Duration::from_millis(200));
    }
    (known, (fleet.records_to_entries - before).div_ceil(CHANGES))
}

#[gtest]
fn state_and_news_of_endpoints_do_not_grow_with_the_fleet() {
    let costs = SIZES.map(costs);

    for ((known, records), entries) in costs.into_iter().zip(SIZES) {
        expect_that!(known, le(256), "{entries} entries");
        expect_that!(records, all![gt(0), le(120)], "{entries} entries");
    }
}
