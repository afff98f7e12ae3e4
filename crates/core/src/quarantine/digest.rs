//! What makes two requests the same.

use std::fmt;

use hmac::{Hmac, Mac};
use sha2::Sha256;

use crate::units::Hex;

/// Length of a digest in bytes: nobody finds a second request with the digest of another.
const LENGTH: usize = 16;
/// Keeps these digests apart from other uses of the daemons' key.
const PURPOSE: &[u8] = b"trayswitch request digest 1";

/// What two tries of one request have in common. Ids, deadlines and credentials differ from try to
/// try and are not part of it.
#[derive(Debug, Clone, Copy)]
pub struct RequestIdentity<'a> {
    /// HTTP method.
    pub method: &'a str,
    /// Path with the query.
    pub path: &'a str,
    /// Who asks; nobody on a route that takes callers without a key.
    pub workspace: Option<&'a str>,
    /// The whole body.
    pub body: &'a [u8],
}

/// Names a request by its content. It is keyed: without the daemons' key nobody can tell from a log
/// line what a request held.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct RequestDigest([u8; LENGTH]);

impl RequestDigest {
    /// Reads a digest from a message.
    pub fn from_slice(bytes: &[u8]) -> Option<RequestDigest> {
        bytes.try_into().ok().map(RequestDigest)
    }

    /// Reads a digest as operators write it.
    pub fn parse(text: &str) -> Option<RequestDigest> {
        if text.len() != 2 * LENGTH || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
            return None;
        }
        let byte = |at: usize| u8::from_str_radix(&text[2 * at..2 * at + 2], 16).ok();
        let bytes: Option<Vec<u8>> = (0..LENGTH).map(byte).collect();
        RequestDigest::from_slice(&bytes?)
    }

    /// Its bytes.
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

/// Makes digests that are the same on all daemons of a deployment.
#[derive(Clone)]
pub struct DigestKey(Hmac<Sha256>);

impl DigestKey {
    /// Digests by the key that the daemons share.
    pub fn new(peer_key: &[u8]) -> DigestKey {
        let mac = Hmac::<Sha256>::new_from_slice(peer_key);
        let mut mac = mac.expect("a key may have any length");
        mac.update(PURPOSE);
        DigestKey(mac)
    }

    /// The digest of a request.
    pub fn digest(&self, req: &RequestIdentity<'_>) -> RequestDigest {
        let mut mac = self.0.clone();
        let workspace = req.workspace.map(str::as_bytes);
        // The lengths keep the end of one part apart from the begin of the next.
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
