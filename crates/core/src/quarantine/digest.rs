//! Digests that identify requests by content.

use std::fmt;

use bytes::Bytes;
use hmac::{Hmac, Mac};
use sha2::Sha256;

use crate::units::Hex;

/// Digest length in bytes; long enough to rule out collisions.
const LENGTH: usize = 16;
/// Separates these digests from other uses of the key.
const PURPOSE: &[u8] = b"trayswitch request digest 1";
/// Separates digests of prompt parts from those of requests, which begin with 0 or 1.
const PART_DOMAIN: u8 = 2;
/// Precedes the digest of a prompt part in messages.
const PART_MARKER: u8 = 1;
/// Precedes the digest of a prompt part in text.
const PART_PREFIX: &str = "part:";

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

/// What a digest identifies.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub enum ContentKind {
    /// A whole request.
    #[default]
    Request,
    /// A part of a prompt, in whatever request.
    PromptPart,
}

/// A part of a prompt that several requests may share, as callers name it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PromptPart(pub u128);

/// Identifies a request, or a part of a prompt, by a keyed digest of its content. Without the
/// daemons' key the content cannot be derived from digests in logs.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct ContentDigest {
    kind: ContentKind,
    digest: [u8; LENGTH],
}

impl ContentDigest {
    /// Decodes a digest from a message.
    pub fn from_slice(bytes: &[u8]) -> Option<ContentDigest> {
        let (kind, digest) = match bytes {
            [PART_MARKER, digest @ ..] if digest.len() == LENGTH => {
                (ContentKind::PromptPart, digest)
            }
            digest => (ContentKind::Request, digest),
        };
        Some(ContentDigest { kind, digest: digest.try_into().ok()? })
    }

    /// Parses what [`fmt::Display`] writes.
    pub fn parse(text: &str) -> Option<ContentDigest> {
        let (kind, digits) = match text.strip_prefix(PART_PREFIX) {
            Some(digits) => (ContentKind::PromptPart, digits),
            None => (ContentKind::Request, text),
        };
        if digits.len() != 2 * LENGTH || !digits.bytes().all(|byte| byte.is_ascii_hexdigit()) {
            return None;
        }
        let byte = |at: usize| u8::from_str_radix(&digits[2 * at..2 * at + 2], 16).ok();
        let bytes: Option<Vec<u8>> = (0..LENGTH).map(byte).collect();
        Some(ContentDigest { kind, digest: bytes?.try_into().ok()? })
    }

    /// The digest for a message.
    pub fn to_bytes(&self) -> Bytes {
        match self.kind {
            ContentKind::Request => Bytes::copy_from_slice(&self.digest),
            ContentKind::PromptPart => [&[PART_MARKER], &self.digest[..]].concat().into(),
        }
    }

    /// What it identifies.
    pub fn kind(&self) -> ContentKind {
        self.kind
    }
}

impl fmt::Display for ContentDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.kind == ContentKind::PromptPart {
            f.write_str(PART_PREFIX)?;
        }
        Hex(&self.digest).fmt(f)
    }
}

impl fmt::Debug for ContentDigest {
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
    pub fn digest(&self, req: &RequestIdentity<'_>) -> ContentDigest {
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
        ContentDigest { kind: ContentKind::Request, digest: truncated(mac) }
    }

    /// Computes the digest of a prompt part.
    pub fn part_digest(&self, part: PromptPart) -> ContentDigest {
        let mut mac = self.0.clone();
        mac.update(&[PART_DOMAIN]);
        mac.update(&part.0.to_be_bytes());
        ContentDigest { kind: ContentKind::PromptPart, digest: truncated(mac) }
    }
}

fn truncated(mac: Hmac<Sha256>) -> [u8; LENGTH] {
    let whole = mac.finalize().into_bytes();
    let mut digest = [0; LENGTH];
    digest.copy_from_slice(&whole[..LENGTH]);
    digest
}
