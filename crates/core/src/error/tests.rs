//! The table from kind to answer agrees with its page.

use googletest::prelude::*;

use super::*;

#[gtest]
fn every_kind_stands_in_the_docs_with_its_answer() {
    let page = include_str!("../../../../docs/ERRORS.md");

    for kind in ErrorKind::ALL {
        let answer = kind.answer();
        let row = format!("| `{}` | {} | {} |", answer.code, answer.status, answer.outcome.name());
        expect_that!(page, contains_substring(row));
        expect_that!(ErrorKind::from_number(kind.number()), some(eq(kind)));
    }
}

#[gtest]
fn not_run_always_comes_with_a_time_to_come_back() {
    for kind in ErrorKind::ALL {
        let answer = kind.answer();
        if answer.outcome == Outcome::NotRun {
            expect_that!(answer.retry_after, some(anything()), "{kind}");
        }
    }
}
