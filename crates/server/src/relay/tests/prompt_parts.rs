//! Parts of prompts that crash every endpoint that begins to answer a request with them.

use googletest::prelude::*;
use http::StatusCode;

use super::{
    protocol::PARTS,
    quarantine::{CrashingPool, send_with},
    response::text,
    test_daemon::{TestDaemon, run_test},
};

/// A part that most prompts share.
const POPULAR: u32 = 1;
/// The part that crashes endpoints.
const CRASHING: u32 = 666;
/// Parts from this number on are shared by few prompts.
const RARE: u32 = 1_000;

fn parts(parts: &[u32]) -> String {
    parts.iter().map(u32::to_string).collect::<Vec<_>>().join(",")
}

/// Sends one of several different requests with the crashing part; returns its status.
async fn send_crashing(pool: &mut CrashingPool<'_>, number: u32) -> StatusCode {
    let parts = parts(&[POPULAR, CRASHING, RARE + number]);
    send_with(pool, &format!("/recap/deadly-{number}"), &[(PARTS, &parts)]).await.0
}

/// Sends a sound request; returns its status.
async fn send_sound(pool: &mut CrashingPool<'_>, number: u32, own_parts: &[u32]) -> StatusCode {
    let parts = parts(&[&[POPULAR], own_parts].concat());
    send_with(pool, &format!("/recap/sound-{number}"), &[(PARTS, &parts)]).await.0
}

#[gtest]
fn different_requests_with_a_crashing_part_crash_five_endpoints_at_most() {
    run_test(async {
        let daemon = TestDaemon::open().await;
        let mut pool = CrashingPool::open(&daemon, "engines").await;

        let mut last = StatusCode::OK;
        for number in 0..12 {
            last = send_crashing(&mut pool, number).await;
        }

        expect_that!(pool.crashed, le(5));
        expect_that!(last, eq(StatusCode::SERVICE_UNAVAILABLE));
    });
}

#[gtest]
fn sound_requests_that_share_all_other_parts_are_served() {
    run_test(async {
        let daemon = TestDaemon::open().await;
        let mut pool = CrashingPool::open(&daemon, "engines").await;

        for number in 0..12 {
            send_crashing(&mut pool, number).await;
            let sound = send_sound(&mut pool, number, &[RARE + number]).await;
            expect_that!(sound, eq(StatusCode::OK), "after crashing request {number}");
        }

        expect_that!(pool.crashed, le(5));
    });
}

#[gtest]
fn sound_requests_are_served_where_all_crashing_ones_share_two_parts() {
    run_test(async {
        let daemon = TestDaemon::open().await;
        let mut pool = CrashingPool::open(&daemon, "engines").await;
        let always_present = RARE;
        for number in 0..8 {
            let parts = parts(&[POPULAR, always_present, CRASHING]);
            send_with(&mut pool, &format!("/recap/deadly-{number}"), &[(PARTS, &parts)]).await;
        }

        let sound = send_sound(&mut pool, 0, &[always_present]).await;
        let crashed = pool.crashed;
        let crashing = send_crashing(&mut pool, 20).await;

        expect_that!(sound, eq(StatusCode::OK));
        expect_that!(crashing, eq(StatusCode::SERVICE_UNAVAILABLE));
        expect_that!(pool.crashed, eq(crashed));
    });
}

#[gtest]
fn concurrent_requests_with_a_crashing_part_do_not_go_on_after_the_fifth_crash() {
    run_test(async {
        let daemon = TestDaemon::open().await;
        let mut pool = CrashingPool::open(&daemon, "engines").await;
        for round in 0..6 {
            let parts = parts(&[POPULAR, CRASHING]);
            let headers = [(PARTS, parts.as_str())];
            let requests = (0..3).map(|number| {
                let path = format!("/chat/deadly-{round}-{number}");
                let (daemon, headers) = (&daemon, &headers);
                async move { text(daemon.send_with(&path, "r", headers).await).await }
            });
            let requests = futures_util::future::join_all(requests.map(Box::pin));
            tokio::select! {
                _ = requests => {}
                () = pool.serve() => unreachable!("the pool serves forever"),
            }
        }

        expect_that!(pool.crashed, le(5));
    });
}
