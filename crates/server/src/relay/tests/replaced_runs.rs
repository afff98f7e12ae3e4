//! Endpoints that start again under their name and at their address after a daemon has confirmed their run, as it
//! may stand still or be cut off before it uses what it has confirmed.

use googletest::prelude::*;
use tokio::join;

use super::{
    fake_endpoint::{FakeEndpoint, Stream, events_to},
    response::{ResponseReader, outcome, text},
    software_versions::{origins_metric, start_stream},
    test_daemon::{TestDaemon, run_test},
    test_fleet::{Network, TestFleet},
};

/// When the first run of every endpoint was started.
const STARTED_AT: u64 = 5;

/// Starts a resumable generation and waits until its run is confirmed.
async fn start_confirmed(
    daemon: &TestDaemon,
    engine: &mut FakeEndpoint,
) -> (ResponseReader, Stream) {
    let started = start_stream(daemon, "r1", engine).await;
    daemon.wait_for_metric(&origins_metric("confirmed"), 1).await;
    started
}

/// Lets the next request be answered by a run that has taken the place of the one that was confirmed.
async fn answer_as_a_later_run(engine: &mut FakeEndpoint, events: std::ops::RangeInclusive<u64>) {
    let arrival = engine.next_arrival().await;
    engine.set_started_at(STARTED_AT + 1);
    arrival.stream_all(events).await;
}

#[gtest]
fn taken_up_stream_does_not_go_on_at_a_run_that_replaced_the_confirmed_one() {
    run_test(async {
        for network in [Network::Sound, Network::Refuses, Network::Hangs] {
            let fleet = TestFleet::start(2).await;
            let mut engine = fleet.register_run("engines", "e1", STARTED_AT).await;
            drop(start_confirmed(&fleet.entries[1].daemon, &mut engine).await);
            // Through another entry unless it is sound.
            fleet.entries[0].set_network(network);
            // An entry that is cut off finds out with its first requests.
            join!(fleet.entries[0].daemon.send("/chat/", "r0"), async {
                engine.next_arrival().await.stream_all(1..=1).await
            });

            let (taken_up, ()) = join!(
                fleet.entries[0].daemon.take_up("/recap/", "r2", "r1", 3),
                answer_as_a_later_run(&mut engine, 4..=5)
            );

            expect_that!(outcome(&taken_up), some(anything()), "{network:?}");
        }
    });
}

#[gtest]
fn restarted_stream_does_not_go_on_at_a_run_that_replaced_the_confirmed_one() {
    run_test(async {
        let daemon = TestDaemon::open().await;
        let mut engine = daemon.register_run("engines", "e1", STARTED_AT).await;
        let (reader, stream) = start_confirmed(&daemon, &mut engine).await;
        let mut other = daemon.register_run("engines", "e2", STARTED_AT).await;

        let (body, ()) = join!(reader.read_rest(), async {
            stream.abort().await;
            answer_as_a_later_run(&mut other, 4..=5).await;
        });

        expect_that!(body, err(anything()));
    });
}

/// Relocates a stream; the target is replaced before it answers, and the source as well if `source_too`.
async fn relocate(source_too: bool) -> Result<String, String> {
    let daemon = TestDaemon::open().await;
    let mut from = daemon.register_run("engines", "from", STARTED_AT).await;
    let (reader, stream) = start_confirmed(&daemon, &mut from).await;
    let mut to = daemon.register_run("engines", "to", STARTED_AT).await;
    daemon.announce_leaving("from").await;
    let (body, ()) = join!(reader.read_rest(), async {
        from.next_copy().await.answer(200, "h1");
        let last = from.next_copy().await;
        stream.finish();
        last.answer(200, "h2");
        answer_as_a_later_run(&mut to, 4..=7).await;
        match source_too {
            true => answer_as_a_later_run(&mut from, 4..=6).await,
            false => drop(from.next_arrival().await.stream_all(4..=6).await),
        }
    });
    body
}

#[gtest]
fn relocated_stream_goes_on_only_at_runs_that_were_not_replaced() {
    run_test(async {
        expect_that!(relocate(false).await, ok(eq(&events_to(6))));
        expect_that!(relocate(true).await, err(anything()));
    });
}

// Guards against streams that nothing continues as a busy endpoint does not tell its start at once.
#[gtest]
fn stream_is_taken_up_at_a_run_that_tells_its_start_late() {
    run_test(async {
        let daemon = TestDaemon::open().await;
        let mut engine = daemon.register_run("engines", "e1", STARTED_AT).await;
        drop(start_confirmed(&daemon, &mut engine).await);

        let (taken_up, ()) = join!(daemon.take_up("/recap/", "r2", "r1", 3), async {
            let arrival = engine.next_arrival().await;
            engine.set_started_at(0);
            join!(arrival.stream_all(4..=5), async {
                tokio::time::sleep(std::time::Duration::from_millis(50)).await;
                engine.set_started_at(STARTED_AT);
            });
        });

        expect_that!(text(taken_up).await, ok(ends_with(&events_to(5)[events_to(3).len()..])));
    });
}
