//! Admission to endpoints that rejected requests.

use std::time::Duration;

use googletest::prelude::*;
use proptest::prelude::*;

use super::{Admission, BackoffTable, Rejection};
use crate::{signals::RESTART_NEWS_DELAY, testing::fixed_seed, units::Instant};

const RUN: u64 = 7;
const D1: u64 = 1;
const D2: u64 = 2;

fn ms(ms: u64) -> Instant {
    Instant(1_000_000 + ms * 1_000)
}

fn rejection(started_at: u64, retry_after_ms: Option<u64>) -> Rejection {
    let retry_after = retry_after_ms.map(Duration::from_millis);
    Rejection { endpoint: "e".into(), started_at, retry_after }
}

fn rejected(daemon: u64, retry_after_ms: Option<u64>) -> BackoffTable {
    let mut table = BackoffTable::default();
    table.on_rejection(daemon, &rejection(RUN, retry_after_ms), ms(0));
    table
}

#[gtest]
fn asked_daemon_backs_off_and_others_use_it_last() {
    let table = rejected(D1, Some(3_000));

    expect_that!(table.admission("e", D1, ms(2_999)), eq(Admission::BackedOff(ms(3_000))));
    expect_that!(table.admission("e", D2, ms(2_999)), eq(Admission::LastResort));
    expect_that!(table.admission("e", D1, ms(3_000)), eq(Admission::Allowed));
    expect_that!(table.admission("other", D1, ms(0)), eq(Admission::Allowed));
}

#[gtest]
fn rejection_without_a_time_makes_a_last_resort() {
    let table = rejected(D1, None);

    expect_that!(table.admission("e", D1, ms(10)), eq(Admission::LastResort));
    expect_that!(table.admission("e", D1, ms(300)), eq(Admission::Allowed));
}

#[gtest]
fn zero_seconds_cause_no_back_off() {
    let table = rejected(D1, Some(0));

    expect_that!(table.admission("e", D1, ms(0)), eq(Admission::Allowed));
}

#[gtest]
fn latest_back_off_end_applies() {
    let mut table = rejected(D1, Some(3_000));

    table.on_rejection(D1, &rejection(RUN, Some(100)), ms(10));

    expect_that!(table.backoff_until("e", D1, ms(500)), some(eq(ms(3_000))));
}

#[gtest]
fn answers_do_not_end_a_back_off() {
    let mut table = rejected(D1, Some(3_000));
    table.on_sent("e", ms(1));

    table.on_end("e", ms(1), true, ms(2));

    expect_that!(table.backoff_until("e", D1, ms(500)), some(eq(ms(3_000))));
}

#[gtest]
fn new_run_starts_without_back_off() {
    let mut table = rejected(D1, Some(60_000));

    table.update_runs(|_| Some(RUN + 1), ms(5_000));

    expect_that!(table.admission("e", D1, ms(5_000)), eq(Admission::Allowed));
}

#[gtest]
fn back_off_shortly_before_a_new_run_is_known_may_be_of_that_run() {
    let mut table = rejected(D1, Some(60_000));

    table.update_runs(|_| Some(RUN + 1), ms(4_999));
    table.on_rejection(D2, &rejection(RUN, Some(3_000)), ms(4_999));

    expect_that!(table.backoff_until("e", D1, ms(20_000)), some(eq(ms(60_000))));
    expect_that!(table.backoff_until("e", D2, ms(5_000)), some(eq(ms(7_999))));
}

#[gtest]
fn endpoints_of_unknown_runs_keep_their_back_off() {
    let mut table = rejected(D1, Some(60_000));

    table.update_runs(|_| None, ms(30_000));

    expect_that!(table.backoff_until("e", D1, ms(30_000)), some(eq(ms(60_000))));
}

#[gtest]
fn removed_daemons_are_dropped() {
    let mut of_daemon = rejected(D1, Some(3_000));

    of_daemon.remove_daemon(D1);

    expect_that!(of_daemon.admission("e", D1, ms(10)), eq(Admission::LastResort));
}

#[gtest]
fn only_significant_extensions_are_announced() {
    let mut table = rejected(D1, Some(3_000));
    let first = table.take_pending_report("e", ms(0));
    table.on_rejection(D2, &rejection(RUN, Some(3_000)), ms(100));
    let little_more = table.take_pending_report("e", ms(100));
    table.on_rejection(D2, &rejection(RUN, Some(3_000)), ms(700));
    let much_more = table.take_pending_report("e", ms(700));
    let short = rejected(D1, None).take_pending_report("e", ms(0));

    expect_that!([first, little_more, much_more, short], eq([true, false, true, false]));
}

#[gtest]
fn reported_endpoint_is_a_last_resort() {
    let mut table = BackoffTable::default();

    table.on_report(&"e".into(), RUN, Duration::from_secs(3), ms(0));

    expect_that!(table.admission("e", D1, ms(2_999)), eq(Admission::LastResort));
    expect_that!(table.admission("e", D1, ms(3_000)), eq(Admission::Allowed));
}

#[gtest]
fn expired_entries_are_removed() {
    let mut table = rejected(D1, Some(3_000));

    table.expire(ms(40_000));

    expect_true!(table.is_empty());
}

/// A rejection that a daemon attributes to the run of this number, `pause_ms` after the previous event.
#[derive(Debug, Clone, Copy)]
struct Event {
    pause_ms: u64,
    daemon: u64,
    run: u64,
    retry_after_ms: Option<u64>,
}

fn events() -> impl Strategy<Value = Vec<Event>> {
    let retry_after = prop_oneof![1 => Just(None), 4 => (0u64..20_000).prop_map(Some)];
    let event = (0u64..4_000, 0u64..4, 0u64..6, retry_after);
    let event = event.prop_map(|(pause_ms, daemon, run, retry_after_ms)| Event {
        pause_ms,
        daemon,
        run,
        retry_after_ms,
    });
    prop::collection::vec(event, 1..40)
}

/// A back-off that a daemon was asked for, in milliseconds.
#[derive(Debug, Clone, Copy)]
struct Asked {
    daemon: u64,
    at: u64,
    until: u64,
}

proptest! {
    #![proptest_config(fixed_seed(300))]

    /// A daemon backs off exactly as long as the latest run may have asked it to, in any order of
    /// events: an earlier run's back-offs end once the later one is known, unless they were asked for
    /// within the delay of that news.
    #[test]
    fn daemon_backs_off_exactly_as_long_as_asked(events in events()) {
        let news_delay = RESTART_NEWS_DELAY.as_millis() as u64;
        let mut table = BackoffTable::default();
        let mut asked: Vec<Asked> = Vec::new();
        let (mut now, mut run) = (0, 0);
        for event in events {
            now += event.pause_ms;
            table.on_rejection(event.daemon, &rejection(event.run, event.retry_after_ms), ms(now));
            if run < event.run {
                run = event.run;
                asked.retain(|asked| now < asked.at + news_delay);
            }
            if let Some(time) = event.retry_after_ms {
                asked.push(Asked { daemon: event.daemon, at: now, until: now + time });
            }
            if now.is_multiple_of(3) {
                table.expire(ms(now));
            }
            for daemon in 0..4 {
                let of_daemon = asked.iter().filter(|asked| asked.daemon == daemon);
                let until = of_daemon.map(|asked| asked.until).filter(|until| now < *until).max();
                prop_assert_eq!(table.backoff_until("e", daemon, ms(now)), until.map(ms));
            }
        }
    }
}
