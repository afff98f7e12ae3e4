//! Requests that endpoints end under.
//!
//! A request is known again by its [`RequestDigest`], whichever caller's try and whichever daemon it
//! comes through.

mod digest;
#[cfg(test)]
mod digest_tests;

pub use self::digest::{DigestKey, RequestDigest, RequestIdentity};
