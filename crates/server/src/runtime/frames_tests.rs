//! Tests of frames on links that are slow or silent; time is simulated.

use std::time::Duration;

use bytes::BytesMut;
use googletest::prelude::*;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt, duplex},
    join,
    time::sleep,
};
use tokio_util::codec::Encoder;
use trayswitch_core::wire::{Body, EndpointNews, EndpointRecord, Envelope, FrameCodec};

use super::frames::{FrameReader, Stop, write_all};

const SILENCE: Duration = Duration::from_secs(2);
/// Shorter than the silence that ends a link.
const PAUSE: Duration = Duration::from_millis(1_500);

/// Runs a test whose time passes only while everything waits.
fn in_simulated_time<T>(test: impl Future<Output = T>) -> T {
    let mut builder = tokio::runtime::Builder::new_current_thread();
    builder.enable_all().start_paused(true).build().unwrap().block_on(test)
}

fn long_message() -> Envelope {
    let record = |n: usize| EndpointRecord { id: format!("endpoint-{n}"), ..Default::default() };
    let records = (0..2_000).map(record).collect();
    Envelope { body: Some(Body::EndpointNews(EndpointNews::new(records))) }
}

fn encoded(envelope: &Envelope) -> BytesMut {
    let mut buf = BytesMut::new();
    FrameCodec::default().encode(envelope, &mut buf).unwrap();
    buf
}

#[gtest]
fn a_long_frame_may_take_longer_than_the_silence_that_ends_a_link() {
    let envelope = long_message();
    let bytes = encoded(&envelope);

    let read = in_simulated_time(async {
        let (mut tx, rx) = duplex(64 * 1024);
        let mut reader = FrameReader::new(rx, BytesMut::new());
        let send = async {
            for piece in bytes.chunks(bytes.len() / 5) {
                tx.write_all(piece).await.unwrap();
                sleep(PAUSE).await;
            }
        };
        join!(reader.next(SILENCE), send).0
    });

    expect_that!(read, ok(eq(&envelope)));
}

#[gtest]
fn a_peer_that_sends_nothing_is_silent() {
    let read = in_simulated_time(async {
        let (_tx, rx) = duplex(1_024);
        FrameReader::new(rx, BytesMut::new()).next(SILENCE).await
    });

    expect_that!(read, err(matches_pattern!(Stop::Silent)));
}

#[gtest]
fn a_frame_goes_on_after_a_silence_in_it() {
    let envelope = long_message();
    let bytes = encoded(&envelope);
    let (first, rest) = bytes.split_at(bytes.len() / 2);

    let read = in_simulated_time(async {
        let (mut tx, rx) = duplex(bytes.len());
        let mut reader = FrameReader::new(rx, BytesMut::new());
        tx.write_all(first).await.unwrap();
        let silent = reader.next(SILENCE).await;
        tx.write_all(rest).await.unwrap();
        [silent, reader.next(SILENCE).await]
    });

    expect_that!(read, elements_are![err(matches_pattern!(Stop::Silent)), ok(eq(&envelope))]);
}

#[gtest]
fn what_came_with_the_handshake_is_read_first() {
    let envelope = long_message();

    let read = in_simulated_time(async {
        let (tx, rx) = duplex(1_024);
        drop(tx);
        let mut reader = FrameReader::new(rx, encoded(&envelope));
        [reader.next(SILENCE).await, reader.next(SILENCE).await]
    });

    expect_that!(read, elements_are![ok(eq(&envelope)), err(matches_pattern!(Stop::Closed))]);
}

#[gtest]
fn a_peer_that_reads_slowly_gets_everything() {
    let bytes = encoded(&long_message());

    let (written, got) = in_simulated_time(async {
        let (mut tx, mut rx) = duplex(bytes.len() / 5);
        let take = async {
            let mut got = Vec::new();
            while got.len() < bytes.len() {
                sleep(PAUSE).await;
                rx.read_buf(&mut got).await.unwrap();
            }
            got
        };
        join!(write_all(&mut tx, &bytes, SILENCE), take)
    });

    expect_that!(written, ok(eq(&())));
    expect_that!(got == bytes, eq(true));
}

#[gtest]
fn a_peer_that_does_not_read_is_given_up() {
    let bytes = encoded(&long_message());

    let written = in_simulated_time(async {
        let (mut tx, _rx) = duplex(1_024);
        write_all(&mut tx, &bytes, SILENCE).await
    });

    expect_that!(written.unwrap_err().to_string(), eq("the peer does not read"));
}
