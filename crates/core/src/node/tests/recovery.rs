//! Recovery of a large fleet after all of its entries have restarted at the same time.

use std::time::Duration;

use googletest::prelude::*;

use super::{fleet::Fleet, net::Site};
use crate::wire::EndpointRecord;

/// VMs and endpoints of a large deployment.
const CONTROL: usize = 5;
const ENTRIES: usize = 295;
const ENDPOINTS: usize = 3_000;
/// Endpoints that each entry knows at least.
const SAMPLED: usize = 80;
/// Time until a leader is elected and known to all daemons.
const STARTUP: Duration = Duration::from_secs(5);

pub(super) fn record(n: usize) -> EndpointRecord {
    EndpointRecord {
        id: format!("i-{n:010x}"),
        service: "engines".into(),
        address: format!("10.{}.{}.{}:8000", n / 65_536, n / 256 % 256, n % 256),
        hall: "hall-1".into(),
        slots: 24,
        sequence: 1,
        ..EndpointRecord::default()
    }
}

/// A fleet with known endpoints and an active configuration.
pub(super) fn fleet_with_endpoints(site: &Site, endpoints: usize) -> Fleet {
    let mut fleet = Fleet::new(site);
    let records: Vec<EndpointRecord> = (0..endpoints).map(record).collect();
    fleet.restore_endpoints(site, &records);
    fleet.run(STARTUP);
    let leader = fleet.leader();
    let file = "[deployment]\nname = d\nversion = 1\n[tier t]\nrank = 1\n\
                [service engines]\nslots = 24\nkv_tokens = 33640\n";
    fleet.submit(&leader, 1, file);
    fleet.run(Duration::from_secs(1));
    fleet
}

#[gtest]
fn many_entries_restart_in_time_without_elections() {
    let site = Site::new(CONTROL, ENTRIES);
    let mut fleet = fleet_with_endpoints(&site, ENDPOINTS);
    let terms = fleet.terms.clone();
    let before = fleet.now();

    fleet.restart_entries(&site);
    fleet.run(Duration::from_secs(3));

    let knew = fleet.all_known_at(&site.entries, SAMPLED);
    let confirmed = fleet.all_confirmed_at(&site.entries);
    expect_that!(knew.map(|at| at.since(before)), some(lt(Duration::from_secs(1))));
    expect_that!(confirmed.map(|at| at.since(before)), some(lt(Duration::from_secs(1))));
    expect_that!(fleet.terms, eq(&terms));
}
