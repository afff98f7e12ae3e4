//! Properties of the replicated state.

use googletest::prelude::*;
use proptest::prelude::*;

use super::*;

fn document(text: &str) -> Document {
    Document::parse("t", &format!("[deployment]\nname = {text}\n")).unwrap()
}

fn entry(index: u64, kind: command::Kind) -> Entry {
    Entry { term: 1, index, at_ms: index, payload: Some(Command::payload(kind)) }
}

fn propose(state: &State, version: u64, text: &str) -> ConfigChange {
    ConfigChange::new(version, state.version(), state.document(), &document(text))
}

fn submit(state: &mut State, version: u64, text: &str) -> ConfigResult {
    let command = propose(state, version, text);
    match state.apply(&entry(1, command::Kind::Config(command))) {
        Applied::Accepted(_) => ConfigResult::Accepted,
        Applied::Config(result) => result,
        other => panic!("{other:?}"),
    }
}

#[gtest]
fn equal_versions_are_told_apart_by_content() {
    let mut state = State::default();

    expect_that!(submit(&mut state, 5, "a"), eq(ConfigResult::Accepted));
    expect_that!(submit(&mut state, 5, "a"), eq(ConfigResult::Repeated));
    let winner = document("a").content_hash();
    expect_that!(submit(&mut state, 5, "b"), eq(ConfigResult::OtherContent { winner }));
    expect_that!(submit(&mut state, 4, "b"), eq(ConfigResult::TooLow { current: 5 }));
    expect_that!(submit(&mut state, 9, "b"), eq(ConfigResult::Accepted));
    expect_that!(submit(&mut state, 5, "a"), eq(ConfigResult::Repeated));
    expect_that!(state.version(), eq(9));
}

#[gtest]
fn of_two_racing_proposals_one_is_accepted() {
    let mut state = State::default();
    let first = propose(&state, 1, "a");
    let second = propose(&state, 1, "b");

    let a = state.apply(&entry(1, command::Kind::Config(first)));
    let b = state.apply(&entry(2, command::Kind::Config(second)));

    let delta = Document::default().delta_to(&document("a"));
    let hash = Bytes::copy_from_slice(&document("a").content_hash().0);
    let change = AcceptedChange { id: ChangeId { version: 1, base: 0, hash }, delta };
    expect_that!(a, eq(&Applied::Accepted(Box::new(change))));
    let winner = document("a").content_hash();
    expect_that!(b, eq(&Applied::Config(ConfigResult::OtherContent { winner })));
}

#[gtest]
fn a_delta_on_an_older_base_is_not_applied() {
    let mut state = State::default();
    let late = propose(&state, 7, "late");
    submit(&mut state, 1, "a");

    let result = state.apply(&entry(2, command::Kind::Config(late)));

    expect_that!(result, eq(&Applied::Config(ConfigResult::Rebase)));
}

proptest! {
    #![proptest_config(crate::testing::fixed_seed(300))]

    #[test]
    fn versions_only_rise_and_snapshots_lose_nothing(
        files in proptest::collection::vec((1u64..6, "[ab]"), 1..20),
    ) {
        let mut state = State::default();
        let mut accepted: BTreeMap<u64, String> = BTreeMap::new();
        for (version, text) in files {
            let before = state.version();
            let result = submit(&mut state, version, &text);
            prop_assert!(before <= state.version());
            match result {
                ConfigResult::Accepted => {
                    prop_assert!(accepted.insert(version, text).is_none());
                }
                ConfigResult::Repeated => prop_assert_eq!(&accepted[&version], &text),
                ConfigResult::OtherContent { .. } => prop_assert_ne!(&accepted[&version], &text),
                ConfigResult::TooLow { current } => prop_assert!(version < current),
                ConfigResult::Rebase => prop_assert!(false, "nothing raced"),
            }
            let copy = State::decode(state.encode()).unwrap();
            prop_assert_eq!(&copy, &state);
            state = copy;
        }
    }
}
