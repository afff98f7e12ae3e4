//! What a daemon tells a scheduler that does not answer for a while.

use std::time::Duration;

use googletest::prelude::*;

use super::net::request;
use crate::{
    mechanism::Disabled,
    node::{
        CallId, EntryDaemons, NodeOptions, NodeTiming, Outbox, Output,
        control_client::RemoteScheduler, placement_client::PlacementClient,
    },
    units::Instant,
    wire::{Body, Grant},
};

fn client() -> PlacementClient {
    PlacementClient::new(&NodeOptions {
        vm: "entry".into(),
        hall: String::new(),
        seeds: Vec::new(),
        founders: Vec::new(),
        max_voters: 1,
        takes_callers: true,
        polls_loads: false,
        endpoint_heartbeat: Duration::from_secs(1),
        timing: NodeTiming::default(),
        seed: 1,
        disabled: Disabled::default(),
    })
}

fn leader() -> RemoteScheduler {
    let entries = EntryDaemons::default();
    RemoteScheduler { vm: "leader".into(), term: 1, daemons: 1, entries }
}

/// Numbers of the requests that the leader was told have ended.
fn ended(out: &mut Outbox) -> Vec<u64> {
    let outputs = std::mem::take(&mut out.outputs);
    let progress = outputs.into_iter().filter_map(|output| match output {
        Output::Send(vm, Body::Progress(progress)) if *vm == *"leader" => Some(progress),
        _ => None,
    });
    progress.flat_map(|p| p.finished.into_iter().chain(p.ended)).map(|t| t.number).collect()
}

/// Guards against a leader that counts a request for ever, because it ended while the leader was
/// silent for two polls.
#[gtest]
fn silent_scheduler_is_told_which_requests_end() {
    let (mut client, mut out) = (client(), Outbox::default());
    let (leader, now) = (leader(), Instant(1_000_000));
    client.on_scheduler_change(Some(&leader), now, &mut out);
    client.place(CallId(1), request(), Some(&leader), now, &mut out);
    let grant = Grant { number: 1, endpoint: "e0".into(), ..Grant::default() };
    client.on_grant(&leader.vm, grant, now, &mut out);
    client.tick(None, now.after(Duration::from_secs(1)), &mut out);

    client.on_finished(CallId(1), 10, true, now.after(Duration::from_secs(2)), &mut out);

    expect_that!(ended(&mut out), elements_are![eq(&1)]);
}
