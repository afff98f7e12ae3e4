//! Tests of orders about data halls.

use googletest::prelude::*;
use proptest::prelude::*;

use super::halls::*;
use crate::testing::fixed_seed;

fn order(hall: &str, out: bool, after: u64) -> HallOrder {
    HallOrder { hall: hall.into(), out, after }
}

/// Halls after these orders, each given by an operator who knew all before it.
fn after(orders: &[(&str, bool)]) -> Halls {
    let mut halls = Halls::default();
    for (hall, out) in orders {
        let number = halls.out().number;
        halls.order(&order(hall, *out, number));
    }
    halls
}

#[gtest]
fn a_hall_that_is_taken_out_is_out_until_it_is_given_back() {
    let mut halls = Halls::default();

    let out = halls.order(&order("a", true, 0));
    let while_out = halls.out().clone();
    let back = halls.order(&order("a", false, while_out.number));

    expect_that!(out, eq(HallResult::Done));
    expect_that!(while_out.names, elements_are![eq("a")]);
    expect_that!(back, eq(HallResult::Done));
    expect_that!(halls.out().names, is_empty());
    expect_that!(halls.out().number, gt(while_out.number));
}

#[gtest]
fn an_order_that_comes_again_is_confirmed_and_changes_nothing() {
    let mut halls = after(&[("a", true)]);

    let again = halls.order(&order("a", true, 0));
    let never_out = halls.order(&order("b", false, 0));

    expect_that!(again, eq(HallResult::Repeated));
    expect_that!(never_out, eq(HallResult::Repeated));
    expect_that!(halls.out().names, elements_are![eq("a")]);
}

#[gtest]
fn an_order_that_found_the_hall_so_already_holds_against_the_opposite_from_before_it() {
    let mut halls = Halls::default();
    let back = halls.order(&order("a", false, 0));

    let held_up = halls.order(&order("a", true, 0));

    expect_that!(back, eq(HallResult::Repeated));
    expect_that!(held_up, eq(HallResult::Overtaken));
}

#[gtest]
fn an_order_that_was_held_up_past_its_opposite_changes_nothing() {
    let mut halls = after(&[("a", true), ("a", false)]);

    let late = halls.order(&order("a", true, 0));
    let later = halls.order(&order("a", true, 1));
    let anew = halls.order(&order("a", true, 2));

    expect_that!(late, eq(HallResult::Overtaken));
    expect_that!(later, eq(HallResult::Overtaken));
    expect_that!(anew, eq(HallResult::Done));
}

#[gtest]
fn orders_about_other_halls_overtake_nothing() {
    let mut halls = after(&[("a", true)]);

    let other = halls.order(&order("b", true, 0));

    expect_that!(other, eq(HallResult::Done));
    expect_that!(halls.out().names, elements_are![eq("a"), eq("b")]);
}

#[gtest]
fn of_too_many_halls_the_oldest_that_are_in_service_are_forgotten() {
    let mut halls = Halls::default();
    for n in 0..300 {
        let number = halls.out().number;
        halls.order(&order(&format!("h{n}"), true, number));
        let number = halls.out().number;
        halls.order(&order(&format!("h{n}"), n < 10, number));
    }

    expect_that!(halls.out().names.len(), eq(10));
    expect_that!(halls.encode().last.len(), eq(256));
}

#[gtest]
fn more_halls_than_can_be_kept_are_not_taken_out() {
    let mut halls = Halls::default();
    for n in 0..256 {
        halls.order(&order(&format!("h{n}"), true, 0));
    }

    let result = halls.order(&order("one-more", true, 256));

    expect_that!(result, eq(HallResult::TooMany));
    expect_that!(halls.out().names.len(), eq(256));
}

#[gtest]
fn names_are_checked() {
    let long = "h".repeat(64);

    for good in ["hall-atl", "a", "x_1.b", &"h".repeat(63)] {
        expect_that!(check_hall_name(good), ok(anything()), "{good}");
    }
    for bad in ["", "a b", "a/b", "hall\n", "hälle", &long] {
        expect_that!(check_hall_name(bad), err(contains_substring("data hall")), "{bad}");
    }
}

proptest! {
    #![proptest_config(fixed_seed(300))]

    /// Whatever orders come, and however late, what is out is what the last order says that its
    /// asker gave after all before it; a snapshot keeps it.
    #[test]
    fn the_last_order_that_knew_the_one_before_holds(
        orders in proptest::collection::vec((0usize..3, any::<bool>(), 0u64..4), 0..40),
    ) {
        let names = ["a", "b", "c"];
        let mut halls = Halls::default();
        let mut expected = [false; 3];
        let mut ordered_at = [0u64; 3];
        for (hall, out, held_up) in orders {
            let known = halls.out().number.saturating_sub(held_up);
            let result = halls.order(&order(names[hall], out, known));
            let wanted = match () {
                () if expected[hall] == out => HallResult::Repeated,
                () if known < ordered_at[hall] => HallResult::Overtaken,
                () => HallResult::Done,
            };
            prop_assert_eq!(result, wanted);
            if result != HallResult::Overtaken {
                expected[hall] = out;
                ordered_at[hall] = halls.out().number;
            }
            let is_out = names.map(|name| halls.out().contains(name));
            prop_assert_eq!(is_out, expected);
        }
        prop_assert_eq!(Halls::decode(halls.encode()), halls);
    }
}
