//! Origins survive the loss of entries and control VMs, and unknown ones are answered at once.

use std::time::Duration;

use googletest::prelude::*;

use super::{CallId, NodeReply, Outbox, Output, VmName, stream_origins::StreamOrigins};
use crate::{
    software_version::SoftwareVersion,
    stream_origin::{StreamKey, StreamOrigin, UnknownOrigin},
    units::Instant,
    wire::Body,
};

const NOW: Instant = Instant(1_000_000);
const LIMIT: Duration = Duration::from_millis(500);
const CALL: CallId = CallId(7);

fn key() -> StreamKey {
    StreamKey::from_slice(&[1; 16]).unwrap()
}

fn origin() -> StreamOrigin {
    origin_at("v1")
}

fn origin_at(version: &str) -> StreamOrigin {
    StreamOrigin { service: "s".into(), version: SoftwareVersion::parse(version).unwrap() }
}

/// Links a daemon to a control VM and delivers what the daemon sends.
fn link(daemon: &mut StreamOrigins, name: &str, control: &mut StreamOrigins) {
    let mut out = Outbox::default();
    daemon.link_up(&name.into(), NOW, &mut out);
    deliver(&mut out, name, control);
}

/// Delivers messages to a control VM; returns its replies.
fn deliver(out: &mut Outbox, name: &str, control: &mut StreamOrigins) -> Vec<Body> {
    let mut replies = Outbox::default();
    for output in out.outputs.drain(..) {
        match output {
            Output::Send(to, Body::StreamsBegun(report)) if *to == *name => {
                control.on_report(&report, NOW);
            }
            Output::Send(to, Body::OriginQuery(query)) if *to == *name => {
                control.on_query(&"entry".into(), &query, NOW, &mut replies);
            }
            _ => {}
        }
    }
    let sent = replies.outputs.into_iter().filter_map(|output| match output {
        Output::Send(_, body) => Some(body),
        _ => None,
    });
    sent.collect()
}

/// Answers given to callers.
fn answers(out: &mut Outbox) -> Vec<std::result::Result<StreamOrigin, UnknownOrigin>> {
    let replies = out.outputs.drain(..).filter_map(|output| match output {
        Output::Reply(CALL, NodeReply::StreamOrigin(answer)) => Some(answer),
        _ => None,
    });
    replies.collect()
}

fn apply(daemon: &mut StreamOrigins, from: &str, replies: &[Body], out: &mut Outbox) {
    for body in replies {
        if let Body::OriginReply(reply) = body {
            daemon.on_reply(&VmName::from(from), reply, NOW, out);
        }
    }
}

#[gtest]
fn origin_outlives_the_entry_that_began_the_stream() {
    let (mut first, mut second) = (StreamOrigins::default(), StreamOrigins::default());
    let (mut control, mut out) = (StreamOrigins::default(), Outbox::default());
    link(&mut first, "c1", &mut control);
    link(&mut second, "c1", &mut control);
    first.on_stream_begun(&[key()], &origin(), LIMIT, NOW, &mut out);
    deliver(&mut out, "c1", &mut control);
    drop(first);

    second.query(CALL, key(), LIMIT, NOW, &mut out);
    let replies = deliver(&mut out, "c1", &mut control);
    apply(&mut second, "c1", &replies, &mut out);

    expect_that!(answers(&mut out), elements_are![ok(eq(&origin()))]);
}

#[gtest]
fn origin_outlives_a_restart_of_all_control_vms() {
    let (mut first, mut second) = (StreamOrigins::default(), StreamOrigins::default());
    let (mut restarted, mut out) = (StreamOrigins::default(), Outbox::default());
    first.on_stream_begun(&[key()], &origin(), LIMIT, NOW, &mut out);
    link(&mut first, "c1", &mut restarted);
    link(&mut second, "c1", &mut restarted);

    second.query(CALL, key(), LIMIT, NOW, &mut out);
    let replies = deliver(&mut out, "c1", &mut restarted);
    apply(&mut second, "c1", &replies, &mut out);

    expect_that!(answers(&mut out), elements_are![ok(eq(&origin()))]);
}

#[gtest]
fn unknown_origin_is_answered_once_all_control_vms_have_replied() {
    let mut entry = StreamOrigins::default();
    let (mut c1, mut c2, mut out) =
        (StreamOrigins::default(), StreamOrigins::default(), Outbox::default());
    link(&mut entry, "c1", &mut c1);
    link(&mut entry, "c2", &mut c2);

    entry.query(CALL, key(), LIMIT, NOW, &mut out);
    let replies = deliver(&mut out, "c1", &mut c1);
    apply(&mut entry, "c1", &replies, &mut out);
    let before = answers(&mut out);
    apply(&mut entry, "c2", &replies, &mut out);

    expect_that!(before, len(eq(0)));
    expect_that!(answers(&mut out), elements_are![err(eq(&UnknownOrigin::NoRecord))]);
}

#[gtest]
fn query_without_an_answer_ends() {
    let mut out = Outbox::default();
    let mut alone = StreamOrigins::default();
    alone.query(CALL, key(), LIMIT, NOW, &mut out);
    let without_links = answers(&mut out);

    let (mut entry, mut control) = (StreamOrigins::default(), StreamOrigins::default());
    link(&mut entry, "c1", &mut control);
    entry.query(CALL, key(), LIMIT, NOW, &mut out);
    entry.tick(entry.next_tick().unwrap(), &mut out);
    let overdue = answers(&mut out);
    entry.query(CALL, key(), LIMIT, NOW, &mut out);
    entry.link_down(&"c1".into(), &mut out);
    let link_lost = answers(&mut out);

    for answers in [without_links, overdue, link_lost] {
        expect_that!(answers, elements_are![err(eq(&UnknownOrigin::NoAnswer))]);
    }
}

// Guards against an entry that takes its own record for the whole truth while it is out of step with others.
#[gtest]
fn own_record_yields_to_a_stream_of_another_origin_under_the_same_id() {
    let (mut first, mut second) = (StreamOrigins::default(), StreamOrigins::default());
    let (mut control, mut out) = (StreamOrigins::default(), Outbox::default());
    link(&mut first, "c1", &mut control);
    link(&mut second, "c1", &mut control);
    // Its report is on its way while the entry stands still.
    first.on_stream_begun(&[key()], &origin(), LIMIT, NOW, &mut Outbox::default());
    second.on_stream_begun(&[key()], &origin_at("v2"), LIMIT, NOW, &mut out);
    deliver(&mut out, "c1", &mut control);

    first.query(CALL, key(), LIMIT, NOW, &mut out);
    let replies = deliver(&mut out, "c1", &mut control);
    apply(&mut first, "c1", &replies, &mut out);

    expect_that!(answers(&mut out), elements_are![err(eq(&UnknownOrigin::Ambiguous))]);
}

#[gtest]
fn own_record_is_answered_if_no_control_vm_knows_more() {
    let mut entry = StreamOrigins::default();
    let (mut control, mut out) = (StreamOrigins::default(), Outbox::default());
    entry.on_stream_begun(&[key()], &origin(), LIMIT, NOW, &mut out);
    entry.query(CALL, key(), LIMIT, NOW, &mut out);
    let without_links = answers(&mut out);

    entry.link_up(&"c1".into(), NOW, &mut Outbox::default());
    entry.query(CALL, key(), LIMIT, NOW, &mut out);
    let replies = deliver(&mut out, "c1", &mut control);
    apply(&mut entry, "c1", &replies, &mut out);
    let unknown_to_control = answers(&mut out);
    entry.query(CALL, key(), LIMIT, NOW, &mut out);
    entry.tick(entry.next_tick().unwrap(), &mut out);
    let overdue = answers(&mut out);

    for answers in [without_links, unknown_to_control, overdue] {
        expect_that!(answers, elements_are![ok(eq(&origin()))]);
    }
}
