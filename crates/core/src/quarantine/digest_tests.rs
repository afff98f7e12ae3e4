//! Tests of what makes two requests the same.

use googletest::prelude::*;
use proptest::prelude::*;

use super::{DigestKey, RequestDigest, RequestIdentity};
use crate::testing::fixed_seed;

fn digest(method: &str, path: &str, workspace: Option<&str>, body: &[u8]) -> RequestDigest {
    let req = RequestIdentity { method, path, workspace, body };
    DigestKey::new(b"key").digest(&req)
}

#[gtest]
fn a_request_is_known_again() {
    let first = digest("POST", "/a/b", Some("w"), b"body");

    expect_that!(digest("POST", "/a/b", Some("w"), b"body"), eq(first));
    expect_that!(RequestDigest::from_slice(first.as_bytes()), some(eq(first)));
    expect_that!(RequestDigest::parse(&first.to_string()), some(eq(first)));
}

#[gtest]
fn what_is_no_digest_is_not_taken_for_one() {
    for text in ["", "12", &"0g".repeat(16), &"+1".repeat(16), &"é".repeat(16)] {
        expect_that!(RequestDigest::parse(text), none(), "{text}");
    }
}

#[gtest]
fn daemons_with_another_key_name_it_otherwise() {
    let req = RequestIdentity { method: "POST", path: "/", workspace: None, body: b"body" };

    let other = DigestKey::new(b"another key").digest(&req);

    expect_that!(other, not(eq(DigestKey::new(b"key").digest(&req))));
}

#[gtest]
fn nobody_is_not_the_workspace_without_a_name() {
    expect_that!(digest("POST", "/", Some(""), b""), not(eq(digest("POST", "/", None, b""))));
}

proptest! {
    #![proptest_config(fixed_seed(300))]

    /// Two requests have one digest only if all their parts are equal, also where the parts of one,
    /// written behind each other, are those of the other.
    #[test]
    fn different_requests_have_different_digests(
        text in "[ab/]{0,12}",
        cuts in proptest::array::uniform2(proptest::array::uniform3(0usize..13)),
    ) {
        let parts = |cuts: [usize; 3]| {
            let mut cuts = cuts.map(|cut| cut.min(text.len()));
            cuts.sort_unstable();
            let [a, b, c] = cuts;
            (&text[..a], &text[a..b], &text[b..c], &text[c..])
        };
        let (a, b) = (parts(cuts[0]), parts(cuts[1]));
        let of = |(method, path, workspace, body): (&str, &str, &str, &str)| {
            digest(method, path, Some(workspace), body.as_bytes())
        };

        prop_assert_eq!(of(a) == of(b), a == b);
    }
}
