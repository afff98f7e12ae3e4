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
    endpoint::{Arrival, FakeEndpoint, events_to},
    entry::{Entry, on_local_tasks},
    reading::{outcome, text},
};

/// Marks the path of a request that ends whatever runs it.
const DEADLY: &str = "deadly";
/// Endpoints of the site.
const ENDPOINTS: usize = 4;

/// Endpoints of one service that end under a marked request and are back under another name.
struct Site<'a> {
    entry: &'a Entry,
    service: &'static str,
    endpoints: Vec<FakeEndpoint>,
    started: usize,
    /// How many have ended.
    ended: usize,
}

impl<'a> Site<'a> {
    async fn open(entry: &'a Entry, service: &'static str) -> Site<'a> {
        let mut site = Site { entry, service, endpoints: Vec::new(), started: 0, ended: 0 };
        for _ in 0..ENDPOINTS {
            site.start_one().await;
        }
        site
    }

    async fn start_one(&mut self) {
        self.started += 1;
        let name = format!("e{}", self.started);
        self.endpoints.push(self.entry.register(self.service, &name).await);
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
        self.ended += 1;
        self.start_one().await;
        arrival.stream().cut().await;
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
async fn ask(site: &mut Site<'_>, path: &str) -> (StatusCode, Option<String>, String) {
    let entry = site.entry;
    let asked = async {
        let answer = entry.ask(path, "r").await;
        let (status, outcome) = (answer.head.status, outcome(&answer));
        (status, outcome, text(answer).await.unwrap_or_default())
    };
    tokio::select! {
        answer = asked => answer,
        () = site.serve() => unreachable!("the site serves without end"),
    }
}

/// Tries a request so many times, one after the other; returns the status of the last try.
async fn insist(site: &mut Site<'_>, path: &str, tries: usize) -> StatusCode {
    let mut last = StatusCode::OK;
    for _ in 0..tries {
        (last, _, _) = ask(site, path).await;
    }
    last
}

#[gtest]
fn a_generation_under_which_three_engines_have_ended_is_sent_to_none_any_more() {
    on_local_tasks(async {
        let entry = Entry::open().await;
        let mut site = Site::open(&entry, "engines").await;

        let last = insist(&mut site, "/recap/deadly", 8).await;
        let (_, _, innocent) = ask(&mut site, "/recap/of-another").await;

        expect_that!(site.ended, eq(3));
        expect_that!(last, eq(StatusCode::SERVICE_UNAVAILABLE));
        expect_that!(innocent, eq(&events_to(3)));
    });
}

#[gtest]
fn a_call_under_which_three_endpoints_have_ended_is_sent_to_none_any_more() {
    on_local_tasks(async {
        let entry = Entry::open().await;
        let mut site = Site::open(&entry, "desk").await;

        let last = insist(&mut site, "/again/deadly", 8).await;
        let (_, _, innocent) = ask(&mut site, "/again/of-another").await;

        expect_that!(site.ended, eq(3));
        expect_that!(last, eq(StatusCode::SERVICE_UNAVAILABLE));
        expect_that!(innocent, eq("done"));
    });
}

#[gtest]
fn tries_of_one_request_at_the_same_time_end_no_more_endpoints_than_they_are() {
    on_local_tasks(async {
        let entry = Entry::open().await;
        let mut site = Site::open(&entry, "engines").await;

        let ask = || entry.ask("/chat/deadly", "r");
        let tries = async { join!(ask(), ask(), ask()) };
        tokio::select! {
            _ = tries => {}
            () = site.serve() => unreachable!("the site serves without end"),
        }
        let at_once = site.ended;
        insist(&mut site, "/chat/deadly", 8).await;

        expect_that!(at_once, le(3));
        // Two more, one after the other: what ends under tries at the same time proves little.
        expect_that!(site.ended, le(5));
    });
}

/// All endpoints end at once while so many tries of a request run there.
async fn ends_beside(site: &mut Site<'_>, path: &str, tries: usize) {
    let entry = site.entry;
    let asks = (0..tries).map(|_| Box::pin(entry.ask(path, "r")));
    let asks = futures_util::future::join_all(asks);
    let rack = async {
        let mut arrivals = Vec::new();
        for _ in 0..tries {
            arrivals.push(site.arrival().await);
        }
        for endpoint in site.endpoints.drain(..) {
            endpoint.end().await;
        }
        for (_, arrival) in arrivals {
            arrival.stream().cut().await;
        }
    };
    join!(asks, rack);
    for _ in 0..ENDPOINTS {
        site.start_one().await;
    }
}

#[gtest]
fn what_ran_at_a_rack_that_ended_is_served_when_it_comes_again() {
    on_local_tasks(async {
        let entry = Entry::open().await;
        let mut site = Site::open(&entry, "engines").await;
        // Six tries of a popular request ran there.
        ends_beside(&mut site, "/chat/popular", 6).await;

        let (_, _, first) = ask(&mut site, "/chat/popular").await;
        let (_, _, second) = ask(&mut site, "/chat/popular").await;

        expect_that!(first, eq(&events_to(3)));
        expect_that!(second, eq(&events_to(3)));
    });
}

#[gtest]
fn what_ran_beside_a_deadly_request_is_served_when_it_comes_again() {
    on_local_tasks(async {
        let entry = Entry::open().await;
        let mut site = Site::open(&entry, "engines").await;
        let both =
            async { join!(entry.ask("/chat/innocent", "r1"), entry.ask("/chat/deadly", "r2")) };
        let all_end = async {
            let (one, other) = (site.arrival().await, site.arrival().await);
            for endpoint in site.endpoints.drain(..) {
                endpoint.end().await;
            }
            for (_, arrival) in [one, other] {
                arrival.stream().cut().await;
            }
        };
        join!(both, all_end);
        for _ in 0..ENDPOINTS {
            site.start_one().await;
        }

        insist(&mut site, "/chat/deadly", 4).await;
        let (_, _, innocent) = ask(&mut site, "/chat/innocent").await;

        expect_that!(innocent, eq(&events_to(3)));
    });
}

#[gtest]
fn a_summary_that_goes_on_after_an_end_runs_as_a_trial_and_clears_itself() {
    on_local_tasks(async {
        let entry = Entry::open().await;
        let mut site = Site::open(&entry, "engines").await;
        let answer = async { text(entry.ask("/recap/good", "r").await).await };
        let serve = async {
            let (at, arrival) = site.arrival().await;
            let endpoint = site.endpoints.remove(at);
            let stream = arrival.stream();
            stream.events(1..=2).await;
            endpoint.end().await;
            stream.cut().await;
            let (_, arrival) = site.arrival().await;
            let after = arrival.after;
            let stream = arrival.stream();
            stream.events(3..=3).await;
            stream.end();
            after
        };

        let (answer, after) = join!(answer, serve);

        expect_that!(answer, ok(eq(&events_to(3))));
        expect_that!(after, some(eq(2)));
        entry.has_counted("trayswitch_trials_total{answer=\"granted\"}", 1).await;
        entry.has_counted("trayswitch_suspects", 0).await;
    });
}

#[gtest]
fn a_caller_that_leaves_gives_its_turn_to_the_next() {
    on_local_tasks(async {
        let entry = Entry::open().await;
        let mut site = Site::open(&entry, "desk").await;
        insist(&mut site, "/once/deadly", 1).await;

        let held = {
            let first = entry.ask("/once/deadly", "r1");
            tokio::select! {
                _ = first => panic!("nobody has answered"),
                (_, arrival) = site.arrival() => arrival,
            }
        };
        let (answer, ()) = join!(entry.ask("/once/deadly", "r2"), async {
            site.arrival().await.1.answer(200, "done");
        });

        expect_that!(text(answer).await, ok(eq("done")));
        drop(held);
    });
}

#[gtest]
fn an_endpoint_that_starts_anew_after_a_request_was_given_up_has_ended_under_it() {
    on_local_tasks(async {
        let entry = Entry::open().await;
        for (service, path) in [("engines", "/chat/deadly"), ("desk", "/once/deadly")] {
            let mut endpoint = entry.register(service, service).await;
            let held = tokio::select! {
                _ = entry.ask(path, "r1") => panic!("nobody has answered"),
                arrival = endpoint.arrival() => arrival,
            };

            let _again = entry.starts_again(service, service).await;

            drop(held);
        }
        entry.has_counted("trayswitch_suspects", 2).await;
    });
}
