//! Gathers a body whose length is not known.

use bytes::{Bytes, BytesMut};

/// Largest contiguous allocation before the body is whole, in bytes.
const BLOCK_SIZE: usize = 64 * 1024;

/// A body that is still being read. It grows by blocks: one buffer that grows by doubling takes up to three
/// times its length while it is copied.
#[derive(Debug, Default)]
pub(crate) struct BodyBuffer {
    full: Vec<Bytes>,
    last: BytesMut,
}

impl BodyBuffer {
    /// Bytes so far.
    pub(crate) fn len(&self) -> usize {
        self.full.len() * BLOCK_SIZE + self.last.len()
    }

    /// Appends bytes.
    pub(crate) fn extend(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() {
            let (now, later) = bytes.split_at(bytes.len().min(BLOCK_SIZE - self.last.len()));
            self.last.extend_from_slice(now);
            bytes = later;
            if self.last.len() == BLOCK_SIZE {
                self.full.push(std::mem::take(&mut self.last).freeze());
            }
        }
    }

    /// The whole body.
    pub(crate) fn finish(mut self) -> Bytes {
        if self.full.is_empty() {
            return self.last.freeze();
        }
        let mut whole = Vec::with_capacity(self.len());
        // Each block is freed as soon as it is copied.
        self.full.drain(..).for_each(|block| whole.extend_from_slice(&block));
        whole.extend_from_slice(&self.last);
        whole.into()
    }

    /// Bytes that are allocated for the body.
    #[cfg(test)]
    pub(crate) fn capacity(&self) -> usize {
        self.full.len() * BLOCK_SIZE + self.last.capacity()
    }
}

#[cfg(test)]
mod tests;
