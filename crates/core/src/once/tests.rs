//! Properties of claims.

use googletest::prelude::*;
use proptest::prelude::*;

use super::*;

const HOUR_MS: u64 = 3_600_000;

fn claim(key: u8, body: u8, owner: u8, made_ms: Option<u64>) -> Claim {
    Claim {
        key: Bytes::copy_from_slice(&[key; 32]),
        body: Bytes::copy_from_slice(&[body; 32]),
        owner: Bytes::copy_from_slice(&[owner]),
        timeout_ms: 1_000,
        made_ms,
    }
}

fn settle(key: u8, owner: u8, ending: Ending) -> Settle {
    Settle {
        key: Bytes::copy_from_slice(&[key; 32]),
        owner: Bytes::copy_from_slice(&[owner]),
        ending: Some(ending),
    }
}

fn answered() -> Ending {
    let body = Some(Bytes::from_static(b"ok"));
    Ending::Answered(StoredAnswer { status: 200, content_type: "text/plain".into(), body })
}

#[gtest]
fn a_resend_gets_the_stored_answer() {
    let mut claims = Claims::default();
    claims.claim(&claim(1, 1, 1, None), UnixMillis(0));
    claims.settle(&settle(1, 1, answered()));

    let result = claims.claim(&claim(1, 1, 2, None), UnixMillis(10));

    expect_that!(result, matches_pattern!(ClaimResult::Stored(_)));
}

#[gtest]
fn a_resend_while_running_is_in_progress_and_later_unknown() {
    let mut claims = Claims::default();
    claims.claim(&claim(1, 1, 1, None), UnixMillis(0));

    let early = claims.claim(&claim(1, 1, 2, None), UnixMillis(500));
    let late = claims.claim(&claim(1, 1, 2, None), UnixMillis(HOUR_MS));

    expect_that!(early, eq(&ClaimResult::InProgress));
    expect_that!(late, eq(&ClaimResult::Unknown));
}

#[gtest]
fn a_key_with_another_body_is_refused() {
    let mut claims = Claims::default();
    claims.claim(&claim(1, 1, 1, None), UnixMillis(0));

    expect_that!(claims.claim(&claim(1, 2, 2, None), UnixMillis(1)), eq(&ClaimResult::KeyReused));
}

#[gtest]
fn a_call_that_did_not_run_frees_its_key() {
    let mut claims = Claims::default();
    claims.claim(&claim(1, 1, 1, None), UnixMillis(0));
    claims.settle(&settle(1, 1, Ending::NotRun(NotRun {})));

    expect_that!(claims.claim(&claim(1, 1, 2, None), UnixMillis(1)), eq(&ClaimResult::Granted));
}

#[gtest]
fn ageing_opens_no_key_again() {
    let mut claims = Claims::default();
    let made = 5_000;
    claims.claim(&claim(1, 1, 1, None), UnixMillis(made));
    claims.claim(&claim(2, 1, 1, Some(made)), UnixMillis(made));
    let later = UnixMillis(made + RETENTION_MS + HOUR_MS);

    let undated = claims.claim(&claim(1, 1, 2, None), later);
    let dated = claims.claim(&claim(2, 1, 2, Some(made)), later);

    expect_that!(undated, eq(&ClaimResult::Unknown));
    expect_that!(dated, eq(&ClaimResult::KeyExpired));
    expect_that!(claims.len(), eq(0));
}

#[gtest]
fn the_time_of_a_version_7_uuid_is_read() {
    expect_that!(
        uuid_v7_time("017f22e2-79b0-7cc3-98c4-dc0c0c07398f"),
        some(eq(UnixMillis(0x017f_22e2_79b0)))
    );
    expect_that!(uuid_v7_time("919108f7-52d1-4320-9bac-f847db4148a8"), none());
    expect_that!(uuid_v7_time("017f22e279b07cc398c4dc0c0c07398f"), none());
}

#[derive(Debug, Clone)]
enum Step {
    Claim { key: u8, owner: u8, dated: bool },
    Settle { owner: u8, ending: u8 },
    Pass(u64),
    Restart,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        5 => (0u8..3, 0u8..8, any::<bool>())
            .prop_map(|(key, owner, dated)| Step::Claim { key, owner, dated }),
        4 => (0u8..8, 0u8..3).prop_map(|(owner, ending)| Step::Settle { owner, ending }),
        1 => prop_oneof![Just(100u64), Just(10_000), Just(HOUR_MS), Just(13 * HOUR_MS)]
            .prop_map(Step::Pass),
        1 => Just(Step::Restart),
    ];
    proptest::collection::vec(step, 0..80)
}

proptest! {
    #![proptest_config(crate::testing::fixed_seed(3000))]

    /// Owners run what they are granted at once, unless they say that they did not.
    #[test]
    fn no_key_runs_twice(steps in steps()) {
        let mut claims = Claims::default();
        let mut now = 1_000_000;
        let first_made = now;
        // Owners that were granted each key and have not said "not run".
        let mut ran: BTreeMap<u8, BTreeSet<u8>> = BTreeMap::new();
        let mut settled: BTreeSet<u8> = BTreeSet::new();
        for step in steps {
            match step {
                Step::Claim { key, owner, dated } => {
                    if settled.contains(&owner) {
                        continue;
                    }
                    // Keys below 2 differ from dated ones, as a caller's keys would.
                    let made = dated.then_some(first_made);
                    let key = key + if dated { 100 } else { 0 };
                    let owner_of_key = owner + key;
                    let claim = claim(key, 1, owner_of_key, made);
                    if claims.claim(&claim, UnixMillis(now)) == ClaimResult::Granted {
                        ran.entry(key).or_default().insert(owner_of_key);
                    }
                    prop_assert!(ran.get(&key).is_none_or(|owners| owners.len() <= 1));
                }
                Step::Settle { owner, ending } => {
                    for (key, owners) in &mut ran {
                        let owner_of_key = owner + key;
                        if !owners.contains(&owner_of_key) || !settled.insert(owner) {
                            continue;
                        }
                        let ending = match ending {
                            0 => answered(),
                            1 => Ending::Unknown(Unknown {}),
                            _ => {
                                owners.remove(&owner_of_key);
                                Ending::NotRun(NotRun {})
                            }
                        };
                        claims.settle(&settle(*key, owner_of_key, ending));
                    }
                }
                Step::Pass(ms) => now += ms,
                Step::Restart => {
                    let copy = Claims::decode(claims.encode());
                    prop_assert_eq!(&copy, &claims);
                    claims = copy;
                }
            }
        }
    }
}
