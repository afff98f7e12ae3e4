//! Responses that are cut at each of their bytes, where their connection ends or is reset.

use googletest::prelude::*;
use http::StatusCode;
use tokio::join;

use super::{
    fake_endpoint::{event, events_to},
    protocol::ID,
    raw_endpoint::{End, RawEndpoint, RawResponse, report_of},
    response::text,
    test_daemon::{TestDaemon, run_test},
    test_fleet::{Network, TestFleet},
};
use crate::upstream::OpenAnswer;

const ANSWER: &str = "answer";
const EVENTS: u64 = 2;

/// How a body is framed.
#[derive(Debug, Clone, Copy)]
enum Framing {
    Length,
    /// Two chunks and a trailer.
    Chunks,
    /// Only the end of the connection ends it.
    Connection,
}

/// Where a response is cut, and how.
#[derive(Debug, Clone, Copy)]
struct Cut {
    framing: Framing,
    at: usize,
    end: End,
}

fn respond_with(id: &str, framing: Framing, body: &str) -> String {
    let head = format!("HTTP/1.1 200 OK\r\n{ID}: {id}\r\n");
    let (first, second) = body.split_at(body.len() / 2);
    let chunk = |text: &str| format!("{:x}\r\n{text}\r\n", text.len());
    match framing {
        Framing::Length => format!("{head}content-length: {}\r\n\r\n{body}", body.len()),
        Framing::Chunks => {
            let chunks = chunk(first) + &chunk(second);
            format!("{head}transfer-encoding: chunked\r\n\r\n{chunks}0\r\nx-sum: 7\r\n\r\n")
        }
        Framing::Connection => format!("{head}\r\n{body}"),
    }
}

/// Both ends at each byte of so many.
fn ends_within(length: usize) -> impl Iterator<Item = (usize, End)> {
    (0..length).flat_map(|at| [(at, End::Closed), (at, End::Reset)])
}

/// All cuts of a response with this body to a request with an id of `id_length` bytes.
fn cuts(id_length: usize, body: &str) -> impl Iterator<Item = Cut> {
    let cuts_of = |framing| {
        let length = respond_with(&"x".repeat(id_length), framing, body).len();
        ends_within(length).map(move |(at, end)| Cut { framing, at, end })
    };
    let head = respond_with(&"x".repeat(id_length), Framing::Connection, "").len();
    // Behind its head such a response is whole wherever its connection is closed.
    let is_cut = move |cut: &Cut| cut.at < head || matches!(cut.end, End::Reset);
    let framed = cuts_of(Framing::Length).chain(cuts_of(Framing::Chunks));
    framed.chain(cuts_of(Framing::Connection).filter(is_cut))
}

fn id_of(number: usize) -> String {
    format!("r{number:04}")
}

async fn send_cut(response: RawResponse, cut: Cut, body: &str) {
    let whole = respond_with(&response.id, cut.framing, body);
    response.send_and_end(&whole.as_bytes()[..cut.at], cut.end).await;
}

/// The body if a caller has to take the response for a whole one.
async fn whole_body(answer: OpenAnswer) -> Option<String> {
    let status = answer.head.status;
    text(answer).await.ok().filter(|_| status == StatusCode::OK)
}

/// Cuts the response to a request; it may not reach the caller as whole.
async fn expect_not_whole(
    daemon: &TestDaemon,
    endpoint: &mut RawEndpoint,
    path: &str,
    (number, cut): (usize, Cut),
    body: &str,
) {
    let id = id_of(number);
    let (got, ()) = join!(async { whole_body(daemon.send(path, &id).await).await }, async {
        send_cut(endpoint.next_request().await, cut, body).await;
    });
    expect_that!(got, none(), "{path}, {cut:?}");
}

/// Cuts the responses to requests of one path at each byte. An endpoint that has failed rests for a while, so
/// each cut has one of its own; all go on listening, or they would count as crashed.
async fn expect_none_is_whole(service: &str, path: &str, body: &str) {
    let daemon = TestDaemon::open().await;
    let mut endpoints = Vec::new();
    for (number, cut) in cuts(id_of(0).len(), body).enumerate() {
        let name = format!("e{number}");
        let mut endpoint = RawEndpoint::open(&daemon, service, &name).await;
        expect_not_whole(&daemon, &mut endpoint, path, (number, cut), body).await;
        daemon.announce_leaving(&name).await;
        endpoints.push(endpoint);
    }
}

#[gtest]
fn call_whose_response_is_cut_is_not_answered() {
    run_test(expect_none_is_whole("desk", "/once/", ANSWER));
}

#[gtest]
fn stream_whose_response_is_cut_is_not_whole() {
    run_test(expect_none_is_whole("engines", "/chat/", &events_to(EVENTS)));
}

#[gtest]
fn responses_that_are_cut_before_a_forwarder_are_not_whole() {
    run_test(async {
        for (service, path, body) in
            [("desk", "/once/", ANSWER.to_owned()), ("engines", "/chat/", events_to(EVENTS))]
        {
            let fleet = TestFleet::start(2).await;
            let mut endpoint = RawEndpoint::open_in(&fleet, service, "e1").await;
            let entry = &fleet.entries[0];
            entry.set_network(Network::Refuses);

            for numbered in cuts(id_of(0).len(), &body).enumerate() {
                expect_not_whole(&entry.daemon, &mut endpoint, path, numbered, &body).await;
            }
        }
    });
}

/// The next request that comes to one of two endpoints.
async fn next_request_of(one: &mut RawEndpoint, other: &mut RawEndpoint) -> RawResponse {
    tokio::select! {
        response = one.next_request() => response,
        response = other.next_request() => response,
    }
}

#[gtest]
fn stream_that_is_taken_up_and_cut_brings_each_event_once() {
    run_test(async {
        let daemon = TestDaemon::open().await;
        let mut endpoint = RawEndpoint::open(&daemon, "engines", "e1").await;
        let (_, ()) =
            join!(async { whole_body(daemon.send("/recap/", "first").await).await }, async {
                let response = endpoint.next_request().await;
                let whole = respond_with(&response.id, Framing::Chunks, &events_to(1));
                response.send_and_end(whole.as_bytes(), End::Reset).await;
            });
        daemon.announce_leaving("e1").await;
        let mut endpoints = vec![endpoint];
        let rest = event(2) + &event(3);

        for (number, cut) in cuts(id_of(0).len(), &rest).enumerate() {
            let id = id_of(number);
            let other_id = format!("{id}-other");
            let mut one = RawEndpoint::open(&daemon, "engines", &id).await;
            let mut other = RawEndpoint::open(&daemon, "engines", &other_id).await;
            let taken_up =
                async { whole_body(daemon.take_up("/recap/", &id, "first", 1).await).await };
            let serving = async {
                send_cut(next_request_of(&mut one, &mut other).await, cut, &rest).await;
                // What is asked for again is served whole.
                loop {
                    let mut next = next_request_of(&mut one, &mut other).await;
                    let first = next.last_event_id.unwrap_or(0) + 1;
                    let events: String = (first..=3).map(event).collect();
                    let whole = respond_with(&next.id, Framing::Length, &events);
                    next.send_bytes(whole.as_bytes()).await;
                }
            };
            let got = tokio::select! { got = taken_up => got, () = serving => unreachable!() };

            expect_that!(got.is_none_or(|got| got == rest), eq(true), "{cut:?}");
            for (name, endpoint) in [(id, one), (other_id, other)] {
                daemon.announce_leaving(&name).await;
                endpoints.push(endpoint);
            }
        }
    });
}

/// Ends a stream that only its connection frames; its endpoint then answers everybody with these bytes.
async fn end_stream_and_report(report: &[u8], end: End) -> Option<String> {
    let daemon = TestDaemon::open().await;
    let mut endpoint = RawEndpoint::open_run(&daemon, "e1", 67).await;
    let got = async { whole_body(daemon.send("/chat/", "r1").await).await };
    let serving = async {
        endpoint.next_request().await.send(&events_to(EVENTS)).await;
        endpoint.answer_everybody(report, end).await;
    };
    tokio::select! { got = got => got, () = serving => unreachable!() }
}

/// Moves a stream of which three events have come off its engine, which answers the final copy command with a
/// part of a reply. Returns what the caller takes for a whole body, and whether the other engine was asked.
async fn move_with_cut_reply(whole: &[u8], cut: &[u8], end: End) -> (Option<String>, bool) {
    let daemon = TestDaemon::open().await;
    let mut from = RawEndpoint::open(&daemon, "engines", "from").await;
    let (answer, mut stream) = join!(daemon.send("/chat/", "r1"), async {
        let mut stream = from.next_request().await;
        let events = events_to(3);
        let head = format!("HTTP/1.1 200 OK\r\n{ID}: r1\r\ntransfer-encoding: chunked\r\n\r\n");
        stream.send_bytes(format!("{head}{:x}\r\n{events}\r\n", events.len()).as_bytes()).await;
        stream
    });
    let mut to = daemon.register("engines", "to").await;
    daemon.announce_leaving("from").await;
    let serving = async {
        from.next_request().await.send_and_end(whole, End::Closed).await;
        let last_copy = from.next_request().await;
        stream.send_bytes(b"0\r\n\r\n").await;
        last_copy.send_and_end(cut, end).await;
        // Whatever is asked for again is lost.
        loop {
            from.next_request().await;
        }
    };
    let got = tokio::select! { got = whole_body(answer) => got, () = serving => unreachable!() };
    (got, !to.is_idle())
}

// Guards against a stream that its engine has stopped to move it, and that ends as whole as the reply was cut.
#[gtest]
fn stream_whose_copy_is_not_confirmed_by_a_whole_reply_is_neither_whole_nor_moved() {
    run_test(async {
        let reply = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nh1";
        for (at, end) in ends_within(reply.len()) {
            let (got, is_moved) = move_with_cut_reply(reply, &reply[..at], end).await;

            expect_that!(got, none(), "cut at {at}, {end:?}");
            expect_that!(is_moved, eq(false), "cut at {at}, {end:?}");
        }
    });
}

// Guards against an end that is taken for whole as the report of its endpoint was cut.
#[gtest]
fn stream_whose_endpoint_is_not_confirmed_by_a_whole_report_is_not_whole() {
    run_test(async {
        let report = report_of(67);
        for at in 0..report.len() {
            let cut = &report.as_bytes()[..at];
            let got = join!(
                end_stream_and_report(cut, End::Closed),
                end_stream_and_report(cut, End::Reset)
            );

            expect_that!(got, eq(&(None, None)), "cut at {at}");
        }
        let got = end_stream_and_report(report.as_bytes(), End::Closed).await;

        expect_that!(got, some(eq(&events_to(EVENTS))));
    });
}
