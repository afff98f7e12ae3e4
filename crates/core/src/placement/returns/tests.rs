//! Times of return and who is recognised, on the schedule alone.

use googletest::prelude::*;

use super::*;
use crate::placement::{
    Ticket,
    fixture::{ms, request},
};

const RANK: u64 = 1;
/// Work of each request, in tokens, and how many tokens per second are done: ten requests per second.
const WORK: f64 = 100.0;
const RATE: f64 = 1_000.0;

/// A request of a workspace; its number is also its digest.
fn request_of(workspace: &str, number: u64) -> Request {
    let digest = u128::from(number).to_be_bytes();
    Request {
        workspace: workspace.into(),
        digest: ContentDigest::from_slice(&digest),
        ..request(number, 10, 100)
    }
}

fn capacity(wait_ms: u64) -> Capacity {
    Capacity { wait: Duration::from_millis(wait_ms), work: WORK, rate: RATE, is_late: false }
}

fn schedule() -> ReturnSchedule {
    ReturnSchedule::new(Disabled::default())
}

fn target() -> EndpointTarget {
    request(0, 0, 0).target
}

#[gtest]
fn times_are_spaced_by_the_work_and_fit_the_time_left() {
    let mut schedule = schedule();
    let mut reserve = |number, time_left_secs, at| {
        let time_left = Duration::from_secs(time_left_secs);
        schedule.reserve(&Request { time_left, ..request_of("w", number) }, capacity(20), at)
    };

    expect_that!(reserve(1, 60, ms(0)), ok(eq(ms(50))), "not under 50 ms");
    expect_that!(reserve(2, 60, ms(0)), ok(eq(ms(150))));
    expect_that!(reserve(3, 0, ms(0)), err(eq(ms(250))), "later than its caller comes back");
    expect_that!(reserve(4, 60, ms(0)), ok(eq(ms(250))), "the one before took no time");
    expect_that!(reserve(1, 60, ms(10)), ok(eq(ms(60))), "told again at least 50 ms");
    expect_that!(reserve(5, 60, ms(2_000)), ok(eq(ms(2_050))), "no work is left over");
}

/// Guards against requests that are recognised too early, for too long, or twice at once.
#[gtest]
fn returning_request_is_recognised_around_its_time() {
    let mut schedule = schedule();
    let first = request_of("w", 1);
    schedule.reserve(&first, capacity(5_000), ms(0)).unwrap();
    let again = Request { ticket: Ticket { entry: 2, number: 9 }, ..first.clone() };

    expect_that!(schedule.on_return(&request_of("w", 2), ms(5_000)), eq(Returning::Unknown));
    expect_that!(schedule.on_return(&again, ms(4_899)).place(false), none());
    expect_that!(schedule.on_return(&again, ms(4_899)).place(true), some(anything()));
    expect_that!(schedule.on_return(&again, ms(4_900)).place(false), some(anything()));
    schedule.on_queued(&again);
    expect_that!(schedule.on_return(&first, ms(5_000)), eq(Returning::Unknown));
    schedule.on_withdrawn(&first, ms(5_000));
    expect_that!(schedule.on_return(&first, ms(5_000)), eq(Returning::Unknown));
    schedule.on_withdrawn(&again, ms(5_000));
    expect_that!(schedule.on_return(&first, ms(8_000)).place(false), some(anything()));
    expect_that!(schedule.on_return(&first, ms(8_001)), eq(Returning::Unknown));
}

// Guards against a queued request that loses its place because its daemon stops long after its time.
#[gtest]
fn request_withdrawn_long_after_its_time_is_recognised_when_it_returns() {
    let mut schedule = schedule();
    let first = request_of("w", 1);
    schedule.reserve(&first, capacity(1_000), ms(0)).unwrap();
    schedule.on_queued(&first);

    schedule.on_withdrawn(&first, ms(9_000));
    let again = Request { ticket: Ticket { entry: 2, number: 9 }, ..first.clone() };

    expect_that!(schedule.on_return(&again, ms(9_100)).place(false), some(anything()));
    expect_that!(schedule.on_return(&again, ms(12_001)), eq(Returning::Unknown));
}

/// Guards against newcomers that are refused for callers who never come back, and against work that
/// is counted both as reserved and as queued.
#[gtest]
fn only_work_that_is_still_to_come_is_reserved() {
    let mut schedule = schedule();
    for number in 1..=3 {
        schedule.reserve(&request_of("w", number), capacity(1_000), ms(0)).unwrap();
    }
    let reserved = |schedule: &ReturnSchedule, rank| schedule.reserved(&target(), rank, ms(9_000));

    expect_that!(schedule.reserved(&target(), RANK, ms(1_100)), eq(2.0 * WORK));
    expect_that!(reserved(&schedule, RANK - 1), eq(0.0));
    schedule.on_queued(&request_of("w", 1));
    expect_that!(reserved(&schedule, RANK), eq(2.0 * WORK));
    schedule.on_withdrawn(&request_of("w", 1), ms(0));
    expect_that!(reserved(&schedule, RANK), eq(3.0 * WORK));
    schedule.on_served(&request_of("w", 1));
    expect_that!(reserved(&schedule, RANK), eq(2.0 * WORK));
    schedule.on_return(&request_of("w", 9), ms(2_150));
    expect_that!(reserved(&schedule, RANK), eq(WORK), "absent for a second");
    schedule.on_return(&request_of("w", 9), ms(9_000));
    expect_that!(schedule.promised().count(), eq(0));
}

/// Guards against a workspace that takes all times of return, or all memory, with ever new requests.
#[gtest]
fn million_digests_of_one_workspace_leave_others_their_share() {
    const OTHERS: u64 = 90;
    let mut schedule = schedule();
    for number in 0..1_000_000 {
        let flood =
            Request { time_left: Duration::from_secs(36_000), ..request_of("flood", number) };
        let _ = schedule.reserve(&flood, capacity(0), ms(0));
    }
    let taken = schedule.promised().count();

    let others = (1..=OTHERS).map(|n| request_of("other", u64::MAX - n));
    let told = others.map(|req| schedule.reserve(&req, capacity(0), ms(0)));
    let told: Vec<Instant> = told.map(Result::unwrap).collect();

    expect_that!(taken, eq(MAX_RECORDS));
    expect_that!(schedule.promised().count(), eq(MAX_RECORDS));
    let of_others = schedule.promised().filter(|promised| &*promised.workspace == "other");
    expect_that!(of_others.count() as u64, eq(OTHERS));
    // Two workspaces of equal share: each has half of the rate.
    for (n, due) in told.iter().enumerate() {
        expect_that!(*due, eq(ms(50 + (n as u64 + 1) * 200)));
    }
    let oldest = request_of("flood", 0);
    expect_that!(
        schedule.on_return(&oldest, ms(50)).place(false),
        some(anything()),
        "newest go first"
    );
}

/// Guards against reservations that outlive their requests, or sums that drift.
#[gtest]
fn table_is_empty_after_all_requests_are_served() {
    let mut schedule = schedule();
    for number in 0..1_000 {
        let req = request_of(["a", "b", "c"][number as usize % 3], number);
        let _ = schedule.reserve(&req, capacity(number % 70), ms(number));
        if number % 2 == 0 {
            schedule.on_queued(&req);
        }
    }

    for number in 0..1_000 {
        schedule.on_served(&request_of("a", number));
    }

    expect_that!(schedule.reserved(&target(), RANK, ms(1_000_000)), eq(0.0));
    expect_that!(schedule.promised().count(), eq(0));
    let next = schedule.reserve(&request_of("a", 1), capacity(70), ms(1_000));
    expect_that!(next, ok(eq(ms(1_070))));
}
