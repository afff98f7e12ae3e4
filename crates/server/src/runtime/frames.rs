//! Frames on a link. A frame may be megabytes long and a link slow: silence is counted from
//! the last bytes that moved, not from the last whole frame.

use std::{io, time::Duration};

use bytes::BytesMut;
use eyre::{Report, Result, WrapErr};
use tokio::{
    io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt},
    time::timeout,
};
use tokio_util::codec::Decoder;
use trayswitch_core::wire::{Envelope, FrameCodec};

/// Why there is no further frame on a link.
#[derive(Debug)]
pub(super) enum Stop {
    /// The peer has closed the link.
    Closed,
    /// No byte came for as long as the silence. What came before is kept, so that reading may go on.
    Silent,
    Failed(Report),
}

/// Reads frames.
pub(super) struct FrameReader<R> {
    read: R,
    buf: BytesMut,
    codec: FrameCodec,
}

impl<R: AsyncRead + Unpin> FrameReader<R> {
    /// Reads from `read`, after the bytes in `first`.
    pub(super) fn new(read: R, first: BytesMut) -> FrameReader<R> {
        FrameReader { read, buf: first, codec: FrameCodec::default() }
    }

    /// The next frame, unless the peer closes the link or is silent before it is whole.
    pub(super) async fn next(&mut self, silence: Duration) -> Result<Envelope, Stop> {
        loop {
            let decoded = self.codec.decode(&mut self.buf);
            if let Some(envelope) = decoded.map_err(|e| Stop::Failed(e.into()))? {
                return Ok(envelope);
            }
            match timeout(silence, self.read.read_buf(&mut self.buf)).await {
                Ok(Ok(0)) => return Err(Stop::Closed),
                Ok(Ok(_)) => {}
                Ok(Err(e)) => return Err(Stop::Failed(e.into())),
                Err(_) => return Err(Stop::Silent),
            }
        }
    }
}

/// Writes all bytes. Fails when the peer takes none for as long as `silence`.
pub(super) async fn write_all(
    write: &mut (impl AsyncWrite + Unpin),
    mut bytes: &[u8],
    silence: Duration,
) -> Result<()> {
    while !bytes.is_empty() {
        let written = timeout(silence, write.write(bytes)).await;
        let written = written.wrap_err("the peer does not read")??;
        if written == 0 {
            return Err(io::Error::from(io::ErrorKind::WriteZero).into());
        }
        bytes = &bytes[written..];
    }
    Ok(())
}
