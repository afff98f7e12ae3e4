//! Identity of requests by digest.

use googletest::prelude::*;
use proptest::prelude::*;

use super::{ContentDigest, DigestKey, RequestIdentity};
use crate::testing::fixed_seed;

fn digest(method: &str, path: &str, workspace: Option<&str>, body: &[u8]) -> ContentDigest {
    let req = RequestIdentity { method, path, workspace, body };
    DigestKey::new(b"key").digest(&req)
}

#[gtest]
fn equal_requests_have_equal_digests() {
    let first = digest("POST", "/a/b", Some("w"), b"body");

    expect_that!(digest("POST", "/a/b", Some("w"), b"body"), eq(first));
    expect_that!(ContentDigest::from_slice(&first.to_bytes()), some(eq(first)));
    expect_that!(ContentDigest::parse(&first.to_string()), some(eq(first)));
}

#[gtest]
fn invalid_digests_are_rejected() {
    for text in ["", "12", &"0g".repeat(16), &"+1".repeat(16), &"é".repeat(16)] {
        expect_that!(ContentDigest::parse(text), none(), "{text}");
    }
}

#[gtest]
fn digests_depend_on_the_key() {
    let req = RequestIdentity { method: "POST", path: "/", workspace: None, body: b"body" };

    let other = DigestKey::new(b"another key").digest(&req);

    expect_that!(other, not(eq(DigestKey::new(b"key").digest(&req))));
}

#[gtest]
fn missing_and_empty_workspace_differ() {
    expect_that!(digest("POST", "/", Some(""), b""), not(eq(digest("POST", "/", None, b""))));
}

proptest! {
    #![proptest_config(fixed_seed(300))]

    /// Requests have the same digest only if all their parts are equal, even where the concatenated
    /// parts are the same.
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
