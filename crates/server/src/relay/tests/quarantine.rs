//! Requests that end whatever endpoint begins to run them.
//!
//! What users saw: one summary after the other got 502, and each time an engine was gone with all that
//! ran there; chats of other workspaces broke off midway. In one series 17 engines ended in 11 s, in
//! another 20 in 10 s, of a site's 9: they were back after 2 to 3 s and were sent the same again.
//!
//! Order of events: a caller sends a request; an engine begins to run it, sends the head of its answer,
//! and ends before the first event. The entry sends it to a second engine, which ends as well. The caller
//! asks again, through any entry, and it begins anew.
//!
//! Cause: attempts were counted for one try on one daemon; nothing knew the request again. An engine's end
//! was held against the engine, which came back with a clean record.
//!
//! Evidence: in each series all tries whose engine ended before the first event had the same route and
//! workspace. 14 of 17 ends came of the caller's tries, the others of the daemons' own second attempts. Here
//! one request alone brings the same about: 8 tries end 16 endpoints where each may go to two, and what is
//! sent after the third end is as much as before.

use googletest::prelude::*;
use http::StatusCode;
use tokio::join;

use super::{
    fake_endpoint::{Arrival, FakeEndpoint, events_to},
    response::{outcome, text},
    test_daemon::{TestDaemon, run_test},
};

/// Marks the path of a request that ends whatever runs it.
const DEADLY: &str = "deadly";
/// Endpoints of the site.
const ENDPOINTS: usize = 4;

/// Endpoints of one service that end under a marked request and are back under another name.
struct CrashingService<'a> {
    daemon: &'a TestDaemon,
    service: &'static str,
    endpoints: Vec<FakeEndpoint>,
    started: usize,
    /// How many have ended.
    crashed: usize,
}

impl<'a> CrashingService<'a> {
    async fn open(daemon: &'a TestDaemon, service: &'static str) -> CrashingService<'a> {
        let mut service_under_test =
            CrashingService { daemon, service, endpoints: Vec::new(), started: 0, crashed: 0 };
        for _ in 0..ENDPOINTS {
            service_under_test.start_one().await;
        }
        service_under_test
    }

    async fn start_one(&mut self) {
        self.started += 1;
        let name = format!("e{}", self.started);
        self.endpoints.push(self.daemon.register(self.service, &name).await);
    }

    /// Serves whatever comes, one attempt after the other.
    async fn serve(&mut self) {
        loop {
            let (at, arrival) = self.arrival().await;
            if arrival.path.contains(DEADLY) {
                self.end(at, arrival).await;
            } else {
                serve(arrival).await;
            }
        }
    }

    async fn arrival(&mut self) -> (usize, Arrival) {
        let arrivals = self.endpoints.iter_mut().enumerate();
        let arrivals =
            arrivals.map(|(at, endpoint)| Box::pin(async move { (at, endpoint.arrival().await) }));
        futures_util::future::select_all(arrivals).await.0
    }

    /// The head of the answer leaves, and then the endpoint is gone.
    async fn end(&mut self, at: usize, arrival: Arrival) {
        let endpoint = self.endpoints.remove(at);
        endpoint.end().await;
        self.crashed += 1;
        self.start_one().await;
        arrival.stream().abort().await;
    }
}

/// Answers a request as an endpoint of either kind does.
async fn serve(arrival: Arrival) {
    if arrival.path.starts_with("/recap/") || arrival.path.starts_with("/chat/") {
        let stream = arrival.stream();
        stream.events(1..=3).await;
        stream.end();
    } else {
        arrival.answer(200, "done");
    }
}

/// Sends a request while the site serves, and returns its status, its outcome and what came of it.
async fn send(
    service_under_test: &mut CrashingService<'_>,
    path: &str,
) -> (StatusCode, Option<String>, String) {
    let daemon = service_under_test.daemon;
    let asked = async {
        let answer = daemon.send(path, "r").await;
        let (status, outcome) = (answer.head.status, outcome(&answer));
        (status, outcome, text(answer).await.unwrap_or_default())
    };
    tokio::select! {
        answer = asked => answer,
        () = service_under_test.serve() => unreachable!("the site serves without end"),
    }
}

/// Tries a request so many times, one after the other; returns the status of the last try.
async fn insist(
    service_under_test: &mut CrashingService<'_>,
    path: &str,
    tries: usize,
) -> StatusCode {
    let mut last = StatusCode::OK;
    for _ in 0..tries {
        (last, _, _) = send(service_under_test, path).await;
    }
    last
}

#[gtest]
fn a_generation_under_which_three_engines_have_ended_is_sent_to_none_any_more() {
    run_test(async {
        let daemon = TestDaemon::open().await;
        let mut service_under_test = CrashingService::open(&daemon, "engines").await;

        let last = insist(&mut service_under_test, "/recap/deadly", 8).await;
        let (_, _, innocent) = send(&mut service_under_test, "/recap/of-another").await;

        expect_that!(service_under_test.crashed, eq(3));
        expect_that!(last, eq(StatusCode::SERVICE_UNAVAILABLE));
        expect_that!(innocent, eq(&events_to(3)));
    });
}

#[gtest]
fn a_call_under_which_three_endpoints_have_ended_is_sent_to_none_any_more() {
    run_test(async {
        let daemon = TestDaemon::open().await;
        let mut service_under_test = CrashingService::open(&daemon, "desk").await;

        let last = insist(&mut service_under_test, "/again/deadly", 8).await;
        let (_, _, innocent) = send(&mut service_under_test, "/again/of-another").await;

        expect_that!(service_under_test.crashed, eq(3));
        expect_that!(last, eq(StatusCode::SERVICE_UNAVAILABLE));
        expect_that!(innocent, eq("done"));
    });
}

#[gtest]
fn tries_of_one_request_at_the_same_time_end_no_more_endpoints_than_they_are() {
    run_test(async {
        let daemon = TestDaemon::open().await;
        let mut service_under_test = CrashingService::open(&daemon, "engines").await;

        let send = || daemon.send("/chat/deadly", "r");
        let tries = async { join!(send(), send(), send()) };
        tokio::select! {
            _ = tries => {}
            () = service_under_test.serve() => unreachable!("the site serves without end"),
        }
        let at_once = service_under_test.crashed;
        insist(&mut service_under_test, "/chat/deadly", 8).await;

        expect_that!(at_once, le(3));
        // Two more, one after the other: what ends under tries at the same time proves little.
        expect_that!(service_under_test.crashed, le(5));
    });
}

/// All endpoints end at once while so many tries of a request run there.
async fn ends_beside(service_under_test: &mut CrashingService<'_>, path: &str, tries: usize) {
    let daemon = service_under_test.daemon;
    let asks = (0..tries).map(|_| Box::pin(daemon.send(path, "r")));
    let asks = futures_util::future::join_all(asks);
    let rack = async {
        let mut arrivals = Vec::new();
        for _ in 0..tries {
            arrivals.push(service_under_test.arrival().await);
        }
        for endpoint in service_under_test.endpoints.drain(..) {
            endpoint.end().await;
        }
        for (_, arrival) in arrivals {
            arrival.stream().abort().await;
        }
    };
    join!(asks, rack);
    for _ in 0..ENDPOINTS {
        service_under_test.start_one().await;
    }
}

#[gtest]
fn what_ran_at_a_rack_that_ended_is_served_when_it_comes_again() {
    run_test(async {
        let daemon = TestDaemon::open().await;
        let mut service_under_test = CrashingService::open(&daemon, "engines").await;
        // Six tries of a popular request ran there.
        ends_beside(&mut service_under_test, "/chat/popular", 6).await;

        let (_, _, first) = send(&mut service_under_test, "/chat/popular").await;
        let (_, _, second) = send(&mut service_under_test, "/chat/popular").await;

        expect_that!(first, eq(&events_to(3)));
        expect_that!(second, eq(&events_to(3)));
    });
}

#[gtest]
fn what_ran_beside_a_deadly_request_is_served_when_it_comes_again() {
    run_test(async {
        let daemon = TestDaemon::open().await;
        let mut service_under_test = CrashingService::open(&daemon, "engines").await;
        let both =
            async { join!(daemon.send("/chat/innocent", "r1"), daemon.send("/chat/deadly", "r2")) };
        let all_end = async {
            let (one, other) =
                (service_under_test.arrival().await, service_under_test.arrival().await);
            for endpoint in service_under_test.endpoints.drain(..) {
                endpoint.end().await;
            }
            for (_, arrival) in [one, other] {
                arrival.stream().abort().await;
            }
        };
        join!(both, all_end);
        for _ in 0..ENDPOINTS {
            service_under_test.start_one().await;
        }

        insist(&mut service_under_test, "/chat/deadly", 4).await;
        let (_, _, innocent) = send(&mut service_under_test, "/chat/innocent").await;

        expect_that!(innocent, eq(&events_to(3)));
    });
}

#[gtest]
fn a_summary_that_goes_on_after_an_end_runs_as_a_trial_and_clears_itself() {
    run_test(async {
        let daemon = TestDaemon::open().await;
        let mut service_under_test = CrashingService::open(&daemon, "engines").await;
        let answer = async { text(daemon.send("/recap/good", "r").await).await };
        let serve = async {
            let (at, arrival) = service_under_test.arrival().await;
            let endpoint = service_under_test.endpoints.remove(at);
            let stream = arrival.stream();
            stream.events(1..=2).await;
            endpoint.end().await;
            stream.abort().await;
            let (_, arrival) = service_under_test.arrival().await;
            let after = arrival.after;
            let stream = arrival.stream();
            stream.events(3..=3).await;
            stream.end();
            after
        };

        let (answer, after) = join!(answer, serve);

        expect_that!(answer, ok(eq(&events_to(3))));
        expect_that!(after, some(eq(2)));
        daemon.wait_for_metric("trayswitch_trials_total{answer=\"granted\"}", 1).await;
        daemon.wait_for_metric("trayswitch_suspects", 0).await;
    });
}

#[gtest]
fn a_caller_that_leaves_gives_its_turn_to_the_next() {
    run_test(async {
        let daemon = TestDaemon::open().await;
        let mut service_under_test = CrashingService::open(&daemon, "desk").await;
        insist(&mut service_under_test, "/once/deadly", 1).await;

        let held = {
            let first = daemon.send("/once/deadly", "r1");
            tokio::select! {
                _ = first => panic!("nobody has answered"),
                (_, arrival) = service_under_test.arrival() => arrival,
            }
        };
        let (answer, ()) = join!(daemon.send("/once/deadly", "r2"), async {
            service_under_test.arrival().await.1.answer(200, "done");
        });

        expect_that!(text(answer).await, ok(eq("done")));
        drop(held);
    });
}

#[gtest]
fn an_endpoint_that_starts_anew_after_a_request_was_given_up_has_ended_under_it() {
    run_test(async {
        let daemon = TestDaemon::open().await;
        for (service, path) in [("engines", "/chat/deadly"), ("desk", "/once/deadly")] {
            let mut endpoint = daemon.register(service, service).await;
            let held = tokio::select! {
                _ = daemon.send(path, "r1") => panic!("nobody has answered"),
                arrival = endpoint.arrival() => arrival,
            };

            let _again = daemon.restart_endpoint(service, service).await;

            drop(held);
        }
        daemon.wait_for_metric("trayswitch_suspects", 2).await;
    });
}
