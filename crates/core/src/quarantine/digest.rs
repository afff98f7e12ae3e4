//! Digests that identify requests by content.

use std::fmt;

use hmac::{Hmac, Mac};
use sha2::Sha256;

use crate::units::Hex;

/// Digest length in bytes; long enough to rule out collisions.
const LENGTH: usize = 16;
/// Separates these digests from other uses of the key.
const PURPOSE: &[u8] = b"trayswitch request digest 1";

/// The parts of a request that all its attempts have in common. Ids, deadlines and credentials
/// differ between attempts and are excluded.
#[derive(Debug, Clone, Copy)]
pub struct RequestIdentity<'a> {
    /// HTTP method.
    pub method: &'a str,
    /// Path with the query.
    pub path: &'a str,
    /// The calling workspace; `None` on routes that accept callers without a key.
    pub workspace: Option<&'a str>,
    /// The complete body.
    pub body: &'a [u8],
}

/// Identifies a request by a keyed digest of its content. Without the daemons' key the content
/// cannot be derived from digests in logs.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct RequestDigest([u8; LENGTH]);

impl RequestDigest {
    /// Decodes a digest from a message.
    pub fn from_slice(bytes: &[u8]) -> Option<RequestDigest> {
        bytes.try_into().ok().map(RequestDigest)
    }

    /// Parses a digest in hexadecimal.
    pub fn parse(text: &str) -> Option<RequestDigest> {
        if text.len() != 2 * LENGTH || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
            return None;
        }
        let byte = |at: usize| u8::from_str_radix(&text[2 * at..2 * at + 2], 16).ok();
        let bytes: Option<Vec<u8>> = (0..LENGTH).map(byte).collect();
        RequestDigest::from_slice(&bytes?)
    }

    /// The digest as bytes.
    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }
}

impl fmt::Display for RequestDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        Hex(&self.0).fmt(f)
    }
}

impl fmt::Debug for RequestDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

/// Computes digests with the key that all daemons of a deployment share.
#[derive(Clone)]
pub struct DigestKey(Hmac<Sha256>);

impl DigestKey {
    /// Derives the key for digests from the daemons' shared key.
    pub fn new(peer_key: &[u8]) -> DigestKey {
        let mac = Hmac::<Sha256>::new_from_slice(peer_key);
        let mut mac = mac.expect("a key may have any length");
        mac.update(PURPOSE);
        DigestKey(mac)
    }

    /// Computes the digest of a request.
    pub fn digest(&self, req: &RequestIdentity<'_>) -> RequestDigest {
        let mut mac = self.0.clone();
        let workspace = req.workspace.map(str::as_bytes);
        // Length prefixes make the encoding unambiguous.
        let parts = [req.method.as_bytes(), req.path.as_bytes(), workspace.unwrap_or_default()];
        mac.update(&[u8::from(workspace.is_some())]);
        for part in parts {
            mac.update(&(part.len() as u64).to_be_bytes());
            mac.update(part);
        }
        mac.update(req.body);
        let whole = mac.finalize().into_bytes();
        let mut digest = [0; LENGTH];
        digest.copy_from_slice(&whole[..LENGTH]);
        RequestDigest(digest)
    }
}
