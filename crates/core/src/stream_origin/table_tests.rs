//! Origins are kept until they expire, and never guessed.

use std::time::Duration;

use googletest::prelude::*;

use super::{OriginTable, StreamKey, StreamOrigin, UnknownOrigin};
use crate::{software_version::SoftwareVersion, units::Instant};

const TTL: Duration = Duration::from_secs(39);

fn key(n: u8) -> StreamKey {
    StreamKey::from_slice(&[n; 16]).unwrap()
}

fn origin(service: &str, version: &str) -> StreamOrigin {
    StreamOrigin { service: service.into(), version: SoftwareVersion::parse(version).unwrap() }
}

fn seconds(s: u64) -> Instant {
    Instant(s * 1_000_000)
}

#[gtest]
fn origin_is_known_until_it_expires() {
    let mut table = OriginTable::default();
    table.insert(key(1), origin("s", "v1"), TTL, seconds(0));

    expect_that!(table.get(&key(1), seconds(38)), ok(eq(&origin("s", "v1"))));
    expect_that!(table.get(&key(1), seconds(39)), err(eq(UnknownOrigin::NoRecord)));
    expect_that!(table.get(&key(2), seconds(0)), err(eq(UnknownOrigin::NoRecord)));
}

#[gtest]
fn two_origins_under_one_key_are_not_chosen_between() {
    for other in [origin("s", "v2"), origin("t", "v1")] {
        let mut table = OriginTable::default();
        table.insert(key(1), origin("s", "v1"), TTL, seconds(0));
        table.insert(key(1), other, TTL, seconds(1));
        table.insert(key(1), origin("s", "v1"), TTL, seconds(2));

        expect_that!(table.get(&key(1), seconds(3)), err(eq(UnknownOrigin::Ambiguous)));
    }
}

#[gtest]
fn repeated_origin_is_kept_for_longer() {
    let mut table = OriginTable::default();
    table.insert(key(1), origin("s", "v1"), TTL, seconds(0));
    table.insert(key(1), origin("s", "v1"), TTL, seconds(10));
    table.insert(key(1), origin("s", "v1"), Duration::from_secs(1), seconds(11));

    expect_that!(table.get(&key(1), seconds(48)), ok(anything()));
    expect_that!(table.len(), eq(1));
}

#[gtest]
fn expired_origins_take_no_memory() {
    let mut table = OriginTable::default();
    for n in 0..100 {
        table.insert(key(n), origin("s", "v1"), TTL, seconds(u64::from(n) * 20));
    }

    expect_that!(table.len(), eq(2));
}
