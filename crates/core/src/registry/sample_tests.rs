//! Size, coverage and stability of samples.

use std::collections::BTreeMap;

use googletest::prelude::*;

use super::{digest::hash_of_id, sample::EndpointSample};

const SERVICE: &str = "s";

fn contained(count: usize) -> BTreeMap<String, usize> {
    BTreeMap::from([(SERVICE.to_owned(), count)])
}

/// The sample of a daemon that has learned of `total` endpoints in a fleet of `daemons`.
fn sample(daemon: usize, total: usize, daemons: u64) -> EndpointSample {
    let mut sample = EndpointSample::whole(&format!("10.0.{}.{}", daemon / 250, daemon % 250));
    sample.fit_total(&contained(total), daemons);
    sample
}

fn endpoint(n: usize) -> u64 {
    hash_of_id(&format!("i-{n:06x}"))
}

fn size(sample: &EndpointSample, total: usize) -> usize {
    (0..total).filter(|n| sample.contains(SERVICE, endpoint(*n))).count()
}

#[gtest]
fn small_fleets_know_all_endpoints() {
    for (daemons, endpoints) in [(7, 13), (58, 61), (295, 128), (10, 200)] {
        let sample = sample(0, endpoints, daemons);

        expect_true!(sample.is_whole(), "{daemons} daemons, {endpoints} endpoints");
    }
}

/// The sample must not grow with the fleet.
#[gtest]
fn samples_stay_small_in_large_fleets() {
    for (daemons, endpoints) in [(300, 3_000), (1_000, 10_000), (4_000, 40_000), (1_000, 760)] {
        let sizes = (0..20).map(|n| size(&sample(n, endpoints, daemons), endpoints));
        let (least, most) = (sizes.clone().min(), sizes.max());

        expect_that!(least, some(ge(32)), "{daemons} daemons, {endpoints} endpoints");
        expect_that!(most, some(le(400)), "{daemons} daemons, {endpoints} endpoints");
    }
}

/// Every endpoint must be in the samples of several daemons, and none in those of most.
#[gtest]
fn every_endpoint_is_sampled_by_several_daemons() {
    let (daemons, endpoints) = (1_000, 10_000);
    let samples: Vec<EndpointSample> =
        (0..daemons).map(|n| sample(n, endpoints, daemons as u64)).collect();
    let daemons_of =
        |n: usize| samples.iter().filter(|sample| sample.contains(SERVICE, endpoint(n))).count();

    let counts: Vec<usize> = (0..endpoints).map(daemons_of).collect();

    expect_that!(counts.iter().min(), some(ge(&1)));
    expect_that!(counts.iter().max(), some(le(&60)));
    expect_that!(counts.iter().filter(|count| **count < 4).count(), le(endpoints / 100));
}

#[gtest]
fn samples_follow_the_number_of_endpoints_with_hysteresis() {
    let mut sample = sample(0, 10_000, 1_000);
    let before = sample.clone();
    let known = size(&sample, 10_000);

    let is_stable = !sample.fit(&contained(known), 1_000, true);
    let grows_while_incomplete = sample.fit(&contained(known / 16), 1_000, false);
    let grows = sample.fit(&contained(known / 16), 1_000, true);
    let grown = size(&sample, 10_000);
    let shrinks = sample.fit(&contained(known * 16), 16_000, false);

    expect_true!(is_stable);
    expect_false!(grows_while_incomplete);
    expect_true!(grows);
    expect_that!(grown, gt(known));
    expect_true!(shrinks);
    let lost = (0..10_000).filter(|n| before.contains(SERVICE, endpoint(*n)));
    expect_that!(lost.filter(|n| !sample.contains(SERVICE, endpoint(*n))).count(), gt(0));
}

#[gtest]
fn control_vms_decode_the_same_sample() {
    let daemon = "10.0.0.3";
    let mut sample = EndpointSample::whole(daemon);
    sample.fit_total(&contained(10_000), 1_000);

    let decoded = EndpointSample::decode(daemon, &sample.encode());

    expect_that!(decoded, eq(&sample));
    expect_false!(decoded.is_whole());
}
