//! Frames: a length, then an encoded [`Envelope`].

use std::io;

use bytes::{Bytes, BytesMut};
use prost::Message;
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

use super::Envelope;

/// Largest frame in bytes; a snapshot is one frame.
pub const MAX_FRAME: usize = 512 * 1024 * 1024;

/// Encodes and decodes envelopes.
pub struct FrameCodec {
    lengths: LengthDelimitedCodec,
}

impl Default for FrameCodec {
    fn default() -> FrameCodec {
        let lengths = LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME).new_codec();
        FrameCodec { lengths }
    }
}

impl Decoder for FrameCodec {
    type Item = Envelope;
    type Error = io::Error;

    fn decode(&mut self, buf: &mut BytesMut) -> io::Result<Option<Envelope>> {
        let Some(frame) = self.lengths.decode(buf)? else { return Ok(None) };
        let invalid = |e| io::Error::new(io::ErrorKind::InvalidData, e);
        Envelope::decode(frame.freeze()).map(Some).map_err(invalid)
    }
}

impl Encoder<&Envelope> for FrameCodec {
    type Error = io::Error;

    fn encode(&mut self, envelope: &Envelope, buf: &mut BytesMut) -> io::Result<()> {
        self.lengths.encode(Bytes::from(envelope.encode_to_vec()), buf)
    }
}
