//! Requests that crash every endpoint that runs them.
//!
//! Guards against retries, by callers or by daemons, that crash one endpoint after another.

use googletest::prelude::*;
use http::StatusCode;
use tokio::join;

use super::{
    fake_endpoint::{Arrival, FakeEndpoint, events_to},
    response::{outcome, text},
    test_daemon::{TestDaemon, run_test},
};

/// Marks the path of a request that crashes its endpoint.
const CRASH_MARKER: &str = "deadly";
/// Number of endpoints in the pool.
const ENDPOINTS: usize = 4;

/// Endpoints of one service that crash on a marked request and restart under another name.
pub(super) struct CrashingPool<'a> {
    daemon: &'a TestDaemon,
    service: &'static str,
    endpoints: Vec<FakeEndpoint>,
    started: usize,
    /// Crashes so far.
    pub(super) crashed: usize,
}

impl<'a> CrashingPool<'a> {
    pub(super) async fn open(daemon: &'a TestDaemon, service: &'static str) -> CrashingPool<'a> {
        let mut pool =
            CrashingPool { daemon, service, endpoints: Vec::new(), started: 0, crashed: 0 };
        for _ in 0..ENDPOINTS {
            pool.start_endpoint().await;
        }
        pool
    }

    async fn start_endpoint(&mut self) {
        self.started += 1;
        let name = format!("e{}", self.started);
        self.endpoints.push(self.daemon.register(self.service, &name).await);
    }

    /// Serves attempts in sequence.
    pub(super) async fn serve(&mut self) {
        loop {
            let (at, arrival) = self.next_arrival().await;
            if arrival.path.contains(CRASH_MARKER) {
                self.crash(at, arrival).await;
            } else {
                serve(arrival).await;
            }
        }
    }

    async fn next_arrival(&mut self) -> (usize, Arrival) {
        let arrivals = self.endpoints.iter_mut().enumerate();
        let arrivals = arrivals
            .map(|(at, endpoint)| Box::pin(async move { (at, endpoint.next_arrival().await) }));
        futures_util::future::select_all(arrivals).await.0
    }

    /// Sends the response head and crashes the endpoint.
    async fn crash(&mut self, at: usize, arrival: Arrival) {
        let endpoint = self.endpoints.remove(at);
        endpoint.shut_down().await;
        self.crashed += 1;
        self.start_endpoint().await;
        arrival.stream().abort().await;
    }
}

/// Responds as a healthy endpoint does.
async fn serve(arrival: Arrival) {
    if arrival.path.starts_with("/recap/") || arrival.path.starts_with("/chat/") {
        let stream = arrival.stream();
        stream.send_events(1..=3).await;
        stream.finish();
    } else {
        arrival.answer(200, "done");
    }
}

/// Sends a request while the pool serves; returns its status, outcome and body.
async fn send(pool: &mut CrashingPool<'_>, path: &str) -> (StatusCode, Option<String>, String) {
    send_with(pool, path, &[]).await
}

/// The same, with further headers.
pub(super) async fn send_with(
    pool: &mut CrashingPool<'_>,
    path: &str,
    headers: &[(&str, &str)],
) -> (StatusCode, Option<String>, String) {
    let daemon = pool.daemon;
    let request = async {
        let answer = daemon.send_with(path, "r", headers).await;
        let (status, outcome) = (answer.head.status, outcome(&answer));
        (status, outcome, text(answer).await.unwrap_or_default())
    };
    tokio::select! {
        answer = request => answer,
        () = pool.serve() => unreachable!("the pool serves forever"),
    }
}

/// Sends a request several times in sequence; returns the last status.
async fn send_repeatedly(pool: &mut CrashingPool<'_>, path: &str, tries: usize) -> StatusCode {
    let mut last = StatusCode::OK;
    for _ in 0..tries {
        (last, _, _) = send(pool, path).await;
    }
    last
}

#[gtest]
fn generation_is_quarantined_after_three_crashes() {
    run_test(async {
        let daemon = TestDaemon::open().await;
        let mut pool = CrashingPool::open(&daemon, "engines").await;

        let last = send_repeatedly(&mut pool, "/recap/deadly", 8).await;
        let (_, _, bystander) = send(&mut pool, "/recap/of-another").await;

        expect_that!(pool.crashed, eq(3));
        expect_that!(last, eq(StatusCode::SERVICE_UNAVAILABLE));
        expect_that!(bystander, eq(&events_to(3)));
    });
}

#[gtest]
fn call_is_quarantined_after_three_crashes() {
    run_test(async {
        let daemon = TestDaemon::open().await;
        let mut pool = CrashingPool::open(&daemon, "desk").await;

        let last = send_repeatedly(&mut pool, "/again/deadly", 8).await;
        let (_, _, bystander) = send(&mut pool, "/again/of-another").await;

        expect_that!(pool.crashed, eq(3));
        expect_that!(last, eq(StatusCode::SERVICE_UNAVAILABLE));
        expect_that!(bystander, eq("done"));
    });
}

#[gtest]
fn crashes_are_bounded_for_concurrent_attempts() {
    run_test(async {
        let daemon = TestDaemon::open().await;
        let mut pool = CrashingPool::open(&daemon, "engines").await;

        let send = || daemon.send("/chat/deadly", "r");
        let tries = async { join!(send(), send(), send()) };
        tokio::select! {
            _ = tries => {}
            () = pool.serve() => unreachable!("the pool serves forever"),
        }
        let at_once = pool.crashed;
        send_repeatedly(&mut pool, "/chat/deadly", 8).await;

        expect_that!(at_once, le(3));
        // Two more in sequence, since crashes during concurrent attempts are weak evidence.
        expect_that!(pool.crashed, le(5));
    });
}

/// Crashes all endpoints while `tries` attempts of a request run on them.
async fn crash_all_during(pool: &mut CrashingPool<'_>, path: &str, tries: usize) {
    let daemon = pool.daemon;
    let requests = (0..tries).map(|_| Box::pin(daemon.send(path, "r")));
    let requests = futures_util::future::join_all(requests);
    let crash = async {
        let mut arrivals = Vec::new();
        for _ in 0..tries {
            arrivals.push(pool.next_arrival().await);
        }
        for endpoint in pool.endpoints.drain(..) {
            endpoint.shut_down().await;
        }
        for (_, arrival) in arrivals {
            arrival.stream().abort().await;
        }
    };
    join!(requests, crash);
    for _ in 0..ENDPOINTS {
        pool.start_endpoint().await;
    }
}

#[gtest]
fn requests_on_crashed_rack_are_served_on_retry() {
    run_test(async {
        let daemon = TestDaemon::open().await;
        let mut pool = CrashingPool::open(&daemon, "engines").await;
        // Six attempts of a popular request run on the rack.
        crash_all_during(&mut pool, "/chat/popular", 6).await;

        let (_, _, first) = send(&mut pool, "/chat/popular").await;
        let (_, _, second) = send(&mut pool, "/chat/popular").await;

        expect_that!(first, eq(&events_to(3)));
        expect_that!(second, eq(&events_to(3)));
    });
}

#[gtest]
fn bystander_of_crash_is_served_on_retry() {
    run_test(async {
        let daemon = TestDaemon::open().await;
        let mut pool = CrashingPool::open(&daemon, "engines").await;
        let both =
            async { join!(daemon.send("/chat/innocent", "r1"), daemon.send("/chat/deadly", "r2")) };
        let crash_all = async {
            let (one, other) = (pool.next_arrival().await, pool.next_arrival().await);
            for endpoint in pool.endpoints.drain(..) {
                endpoint.shut_down().await;
            }
            for (_, arrival) in [one, other] {
                arrival.stream().abort().await;
            }
        };
        join!(both, crash_all);
        for _ in 0..ENDPOINTS {
            pool.start_endpoint().await;
        }

        send_repeatedly(&mut pool, "/chat/deadly", 4).await;
        let (_, _, bystander) = send(&mut pool, "/chat/innocent").await;

        expect_that!(bystander, eq(&events_to(3)));
    });
}

#[gtest]
fn resumed_generation_is_cleared_by_trial() {
    run_test(async {
        let daemon = TestDaemon::open().await;
        let mut pool = CrashingPool::open(&daemon, "engines").await;
        let answer = async { text(daemon.send("/recap/good", "r").await).await };
        let serve = async {
            let (at, arrival) = pool.next_arrival().await;
            let endpoint = pool.endpoints.remove(at);
            let stream = arrival.stream();
            stream.send_events(1..=2).await;
            endpoint.shut_down().await;
            stream.abort().await;
            let (_, arrival) = pool.next_arrival().await;
            let last_event_id = arrival.last_event_id;
            let stream = arrival.stream();
            stream.send_events(3..=3).await;
            stream.finish();
            last_event_id
        };

        let (answer, last_event_id) = join!(answer, serve);

        expect_that!(answer, ok(eq(&events_to(3))));
        expect_that!(last_event_id, some(eq(2)));
        daemon.wait_for_metric("trayswitch_trials_total{answer=\"granted\"}", 1).await;
        daemon.wait_for_metric("trayswitch_suspects", 0).await;
    });
}

#[gtest]
fn disconnect_releases_turn() {
    run_test(async {
        let daemon = TestDaemon::open().await;
        let mut pool = CrashingPool::open(&daemon, "desk").await;
        send_repeatedly(&mut pool, "/once/deadly", 1).await;

        let pending = {
            let first = daemon.send("/once/deadly", "r1");
            tokio::select! {
                _ = first => panic!("unexpected response"),
                (_, arrival) = pool.next_arrival() => arrival,
            }
        };
        let (answer, ()) = join!(daemon.send("/once/deadly", "r2"), async {
            pool.next_arrival().await.1.answer(200, "done");
        });

        expect_that!(text(answer).await, ok(eq("done")));
        drop(pending);
    });
}

#[gtest]
fn restart_after_abandoned_request_counts_as_crash() {
    run_test(async {
        let daemon = TestDaemon::open().await;
        for (service, path) in [("engines", "/chat/deadly"), ("desk", "/once/deadly")] {
            let mut endpoint = daemon.register(service, service).await;
            let pending = tokio::select! {
                _ = daemon.send(path, "r1") => panic!("unexpected response"),
                arrival = endpoint.next_arrival() => arrival,
            };

            let _again = daemon.restart_endpoint(service, service).await;

            drop(pending);
        }
        daemon.wait_for_metric("trayswitch_suspects", 2).await;
    });
}
