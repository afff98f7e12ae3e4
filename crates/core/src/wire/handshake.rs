//! Mutual proof of the shared peer key, before any other message.
//!
//! Each side sends a [`Hello`] with a fresh nonce, then a [`Proof`]: an HMAC over
//! both hellos and its own side. A proof is good for one connection only.

use std::fmt;

use bytes::Bytes;
use hmac::{Hmac, Mac};
use prost::Message;
use sha2::Sha256;

/// Version of the protocol between daemons.
const PROTOCOL: u32 = 1;
const NONCE: usize = 16;

/// Opens a connection, in both directions.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Hello {
    /// Name of the sender's VM.
    #[prost(string, tag = "1")]
    pub vm: String,
    /// Fresh random bytes.
    #[prost(bytes = "bytes", tag = "2")]
    pub nonce: Bytes,
    /// Version of the protocol.
    #[prost(uint32, tag = "3")]
    pub protocol: u32,
}

/// Proves that the sender knows the key.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Proof {
    /// The HMAC.
    #[prost(bytes = "bytes", tag = "1")]
    pub mac: Bytes,
}

/// Why a peer is not accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HandshakeError {
    /// It speaks another version of the protocol.
    Protocol(u32),
    /// Its hello is malformed.
    Malformed,
    /// It does not know the key.
    WrongKey,
}

impl fmt::Display for HandshakeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            HandshakeError::Protocol(version) => {
                write!(f, "the peer speaks protocol {version}, this daemon speaks {PROTOCOL}")
            }
            HandshakeError::Malformed => f.write_str("the peer's hello is malformed"),
            HandshakeError::WrongKey => f.write_str("the peer does not know the peer key"),
        }
    }
}

impl std::error::Error for HandshakeError {}

/// One side of a handshake.
pub struct Handshake<'a> {
    key: &'a [u8],
    dialed: bool,
    hello: Hello,
}

impl<'a> Handshake<'a> {
    /// Starts a handshake; `dialed` tells the two sides apart.
    pub fn new(key: &'a [u8], vm: &str, nonce: [u8; NONCE], dialed: bool) -> Handshake<'a> {
        let hello =
            Hello { vm: vm.to_owned(), nonce: Bytes::copy_from_slice(&nonce), protocol: PROTOCOL };
        Handshake { key, dialed, hello }
    }

    /// The hello to send.
    pub fn hello(&self) -> &Hello {
        &self.hello
    }

    /// The proof to send after the peer's hello came.
    pub fn proof(&self, peer: &Hello) -> Result<Proof, HandshakeError> {
        if peer.protocol != PROTOCOL {
            return Err(HandshakeError::Protocol(peer.protocol));
        }
        if peer.vm.is_empty() || peer.nonce.len() != NONCE {
            return Err(HandshakeError::Malformed);
        }
        let mac = self.mac(peer, self.dialed).finalize().into_bytes();
        Ok(Proof { mac: Bytes::copy_from_slice(&mac) })
    }

    /// Checks the peer's proof.
    pub fn check(&self, peer: &Hello, proof: &Proof) -> Result<(), HandshakeError> {
        let mac = self.mac(peer, !self.dialed);
        mac.verify_slice(&proof.mac).map_err(|_| HandshakeError::WrongKey)
    }

    fn mac(&self, peer: &Hello, by_dialer: bool) -> Hmac<Sha256> {
        let mut mac = Hmac::<Sha256>::new_from_slice(self.key).expect("any key length is valid");
        let (dialer, acceptor) =
            if self.dialed { (&self.hello, peer) } else { (peer, &self.hello) };
        mac.update(&[u8::from(by_dialer)]);
        mac.update(&dialer.encode_length_delimited_to_vec());
        mac.update(&acceptor.encode_length_delimited_to_vec());
        mac
    }
}
