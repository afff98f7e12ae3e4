//! Tests of frames and the handshake.

use bytes::BytesMut;
use googletest::prelude::*;
use proptest::prelude::*;
use tokio_util::codec::{Decoder, Encoder};

use super::*;

fn envelope(nonce: u64) -> Envelope {
    Envelope { body: Some(Body::Poll(Poll { nonce, version: 1, ..Poll::default() })) }
}

#[gtest]
fn two_sides_with_one_key_accept_each_other() {
    let a = Handshake::new(b"key", "vm-a", [1; 16], true);
    let b = Handshake::new(b"key", "vm-b", [2; 16], false);

    let proof_a = a.proof(b.hello()).unwrap();
    let proof_b = b.proof(a.hello()).unwrap();

    expect_that!(a.check(b.hello(), &proof_b), ok(eq(())));
    expect_that!(b.check(a.hello(), &proof_a), ok(eq(())));
}

#[gtest]
fn another_key_a_reflected_or_a_replayed_proof_is_refused() {
    let a = Handshake::new(b"key", "vm-a", [1; 16], true);
    let stranger = Handshake::new(b"other", "vm-b", [2; 16], false);
    let later = Handshake::new(b"key", "vm-b", [3; 16], false);

    let wrong = stranger.proof(a.hello()).unwrap();
    let reflected = a.proof(stranger.hello()).unwrap();
    let replayed = later.proof(a.hello()).unwrap();

    for proof in [wrong, reflected, replayed] {
        expect_that!(a.check(stranger.hello(), &proof), err(eq(HandshakeError::WrongKey)));
    }
}

proptest! {
    #![proptest_config(crate::testing::fixed_seed(200))]

    #[test]
    fn frames_are_whole_however_the_bytes_are_cut(
        nonces in proptest::collection::vec(any::<u64>(), 1..6),
        cut in 1usize..9,
    ) {
        let mut wire = BytesMut::new();
        for nonce in &nonces {
            FrameCodec::default().encode(&envelope(*nonce), &mut wire).unwrap();
        }
        let mut codec = FrameCodec::default();
        let mut buf = BytesMut::new();
        let mut read = Vec::new();
        for part in wire.chunks(cut) {
            buf.extend_from_slice(part);
            while let Some(frame) = codec.decode(&mut buf).unwrap() {
                read.push(frame);
            }
        }
        prop_assert_eq!(read, nonces.iter().map(|n| envelope(*n)).collect::<Vec<_>>());
    }

    #[test]
    fn any_bytes_are_decoded_or_refused_without_panic(bytes in proptest::collection::vec(any::<u8>(), 0..100)) {
        let mut buf = BytesMut::from(&bytes[..]);
        let mut codec = FrameCodec::default();
        while let Ok(Some(_)) = codec.decode(&mut buf) {}
    }
}
