//! Tests of what the log hands out.

use bytes::Bytes;
use googletest::prelude::*;

use super::{Entry, Log, Payload};

/// A log of entries with commands of these sizes.
fn log(sizes: &[usize]) -> Log {
    let mut log = Log::restore(None, Vec::new());
    for (at, size) in sizes.iter().enumerate() {
        let payload = Some(Payload::Command(Bytes::from(vec![0; *size])));
        log.append(Entry { term: 1, index: at as u64 + 1, at_ms: 0, payload });
    }
    log
}

fn indices(entries: &[Entry]) -> Vec<u64> {
    entries.iter().map(|entry| entry.index).collect()
}

#[gtest]
fn a_batch_ends_with_the_entry_that_fills_it() {
    let log = log(&[100, 100, 100, 100]);

    let batch = log.batch(2, 512, 150);

    expect_that!(indices(&batch), eq(&vec![2, 3]));
}

#[gtest]
fn a_batch_has_one_entry_however_large() {
    let log = log(&[5_000, 5_000]);

    let batch = log.batch(1, 512, 150);

    expect_that!(indices(&batch), eq(&vec![1]));
}

#[gtest]
fn a_batch_has_no_more_entries_than_asked_for() {
    let log = log(&[1, 1, 1, 1]);

    let batch = log.batch(1, 3, 1_000);

    expect_that!(indices(&batch), eq(&vec![1, 2, 3]));
}
