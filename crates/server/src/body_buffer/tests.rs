use googletest::prelude::*;

use super::*;

/// Bytes that differ from those around them.
fn bytes(len: usize) -> Vec<u8> {
    (0..len).map(|n| (n % 251) as u8).collect()
}

// Guards against memory that grows to a multiple of what the budget counts.
#[gtest]
fn body_takes_no_more_than_a_block_beyond_its_length() {
    let mut buf = BodyBuffer::default();

    for piece in bytes(3 * BLOCK_SIZE + 7).chunks(1_000) {
        buf.extend(piece);

        assert_that!(buf.capacity(), le(buf.len() + BLOCK_SIZE));
    }
}

#[gtest]
fn body_is_what_came() {
    for len in [0, 1, BLOCK_SIZE - 1, BLOCK_SIZE, BLOCK_SIZE + 1, 5 * BLOCK_SIZE + 3] {
        let mut buf = BodyBuffer::default();
        bytes(len).chunks(70_001).for_each(|piece| buf.extend(piece));

        expect_that!(buf.len(), eq(len));
        expect_that!(buf.finish().to_vec(), eq(&bytes(len)));
    }
}
