//! Tests of the check: it must find what it is for.

use std::time::Duration;

use googletest::prelude::*;

use super::{
    Checked, Seen,
    call::{CallEnd, CallSeen},
    chat::ChatSeen,
    check::Violation,
};
use crate::emulate::Run;

fn chat(number: u64, tokens: &[&str]) -> Seen {
    Seen::Chat(ChatSeen {
        number,
        tokens: tokens.iter().map(|t| (*t).to_owned()).collect(),
        ids: (1..=tokens.len() as u64).collect(),
        count: Some(tokens.len() as u64),
        ..ChatSeen::default()
    })
}

fn call(body: &str, ends: &[CallEnd]) -> Seen {
    Seen::Call(CallSeen { body: body.into(), ends: ends.to_vec(), total: Duration::ZERO })
}

fn run(detail: &str) -> Run {
    Run { request_id: "r".into(), name: "confirm".into(), detail: detail.into() }
}

fn violations(seen: &[Seen], runs: &[Run]) -> Vec<Violation> {
    Checked::new(seen, runs).violations.into_iter().collect()
}

#[gtest]
fn a_sound_run_has_no_violation() {
    let answer = CallEnd::Answered("{\"echo\":\"a\"}".into());
    let seen = [chat(1, &["g:1 ", "g:2 "]), call("a", &[CallEnd::Nothing, answer])];

    expect_that!(violations(&seen, &[run("a")]), eq(&vec![]));
}

#[gtest]
fn doubled_lost_and_mixed_tokens_are_found() {
    for tokens in [&["g:1 ", "g:1 "][..], &["g:1 ", "g:3 "], &["g:1 ", "h:2 "], &["g:2 "]] {
        expect_that!(violations(&[chat(1, tokens)], &[]), contains(eq(&Violation::Tokens(1))));
    }
}

#[gtest]
fn one_generation_for_two_callers_is_found() {
    let seen = [chat(1, &["g:1 "]), chat(2, &["g:1 "])];

    expect_that!(violations(&seen, &[]), eq(&vec![Violation::Crossed(2)]));
}

#[gtest]
fn second_runs_and_untrue_refusals_are_found() {
    let not_run = CallEnd::Outcome("not_run".into());
    let seen = [call("a", &[CallEnd::Nothing]), call("b", &[not_run])];

    let found = violations(&seen, &[run("a"), run("a"), run("b")]);

    let expected = vec![Violation::RanTwice("a".into()), Violation::NotRunIsUntrue("b".into())];
    expect_that!(found, eq(&expected));
}
