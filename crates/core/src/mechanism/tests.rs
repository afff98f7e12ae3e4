//! Tests of the names of mechanisms.

use googletest::prelude::*;

use super::{Disabled, Mechanism};

#[gtest]
fn every_mechanism_is_in_use_until_it_is_named() {
    for mechanism in Mechanism::ALL.iter().copied() {
        let disabled: Disabled = mechanism.name().parse().unwrap();

        let off: Vec<&Mechanism> =
            Mechanism::ALL.iter().filter(|m| !disabled.allows(**m)).collect();

        expect_that!(Disabled::default().allows(mechanism), eq(true));
        expect_that!(off, elements_are![eq(&&mechanism)]);
    }
}

#[gtest]
fn names_are_read_as_they_are_shown() {
    let disabled: Disabled = " pace, handover,".parse().unwrap();

    expect_that!(disabled.to_string(), eq("handover,pace"));
    expect_that!(disabled.to_string().parse::<Disabled>(), ok(eq(&disabled)));
}

#[gtest]
fn an_unknown_name_is_named_together_with_those_that_there_are() {
    let error = "pace,haste".parse::<Disabled>().unwrap_err().to_string();

    expect_that!(error, contains_substring("\"haste\""));
    expect_that!(error, contains_substring("prefix-affinity"));
}
