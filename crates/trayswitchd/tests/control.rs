//! One accepted configuration, everywhere, that never reverts: with real processes.

mod support;

use googletest::prelude::*;
use support::{Site, Size};

fn seven() -> Size {
    Size { daemons: 7, replicas: 3, engines: 1, services: 1, ..Size::default() }
}

#[gtest]
fn an_accepted_file_is_in_force_on_all_seven_and_after_all_restart() {
    let mut site = Site::start(seven());
    let file = site.config(2, "a");

    let output = site.cli(7, &["config", "submit", file.to_str().unwrap()]);

    expect_that!(output.status.success(), eq(true), "{output:?}");
    site.wait("version 2 everywhere", |site| (1..=7).all(|i| site.version(i) == 2));
    for i in 1..=7 {
        site.kill(&format!("vm-{i}"));
    }
    for i in 1..=7 {
        site.start_daemon(i);
    }
    site.wait("all are ready again", |site| (1..=7).all(|i| site.ready(i)));
    expect_that!((1..=7).all(|i| site.version(i) == 2), eq(true));
}

#[gtest]
fn of_racing_files_with_one_version_one_wins_and_resending_gets_the_same_answer() {
    let site = Site::start(seven());
    let a = site.config(5, "a");
    let b = site.config(5, "b");

    let outputs = std::thread::scope(|scope| {
        let one = scope.spawn(|| site.submit(6, &a));
        let other = scope.spawn(|| site.submit(7, &b));
        [one.join().unwrap(), other.join().unwrap()]
    });

    let won: Vec<bool> = outputs.iter().map(|o| o.status.success()).collect();
    expect_that!(won.iter().filter(|won| **won).count(), eq(1), "{outputs:?}");
    let (winner, loser) = if won[0] { (&a, &b) } else { (&b, &a) };
    let again = site.submit(4, winner);
    expect_that!(String::from_utf8_lossy(&again.stdout), contains_substring("as before"));
    let refused = site.submit(4, loser);
    expect_that!(refused.status.code(), some(eq(3)));
    expect_that!(String::from_utf8_lossy(&refused.stderr), contains_substring("already accepted"));
}

#[gtest]
fn a_killed_leader_loses_nothing_and_another_accepts() {
    let mut site = Site::start(seven());
    site.submit_until_accepted(2);
    let leader = site.leader().unwrap();

    site.kill(&format!("vm-{leader}"));
    let rest: Vec<usize> = (1..=7).filter(|i| *i != leader).collect();
    let file = site.config(3, "a");
    site.wait("version 3 is accepted", |site| site.submit(7, &file).status.success());

    site.wait("version 3 on the rest", |site| rest.iter().all(|i| site.version(*i) == 3));
    site.start_daemon(leader);
    site.wait("version 3 on the one that returned", |site| site.version(leader) == 3);
}

#[gtest]
fn a_frozen_leader_that_wakes_up_reverts_nothing() {
    let site = Site::start(seven());
    let leader = site.leader().unwrap();
    site.signal(&format!("vm-{leader}"), "STOP");
    let file = site.config(2, "a");
    let other = if leader == 1 { 2 } else { 1 };
    site.wait("version 2 is accepted", |site| site.submit(other, &file).status.success());
    site.signal(&format!("vm-{leader}"), "CONT");

    site.wait("version 2 on the one that woke up", |site| site.version(leader) == 2);
    site.wait("it is ready", |site| site.ready(leader));
    // Daemons that follow the frozen leader look for another after two polls.
    site.wait("version 2 on the rest", |site| (1..=7).all(|i| site.version(i) == 2));
}

#[gtest]
fn a_wiped_vm_is_repaired_and_the_next_loss_is_borne() {
    let mut site = Site::start(seven());
    site.submit_until_accepted(2);
    site.kill("vm-2");
    site.wipe(2);
    site.start_daemon(2);
    site.wait("it is repaired", |site| {
        let leader = site.leader().and_then(|i| site.status(i));
        leader.is_some_and(|s| s["control"]["survives_next_loss"] == true)
    });

    site.kill("vm-1");
    let file = site.config(3, "a");
    site.wait("version 3 is accepted", |site| site.submit(7, &file).status.success());
    site.wait("version 3 is in force", |site| site.version(7) == 3 && site.version(2) == 3);
}

#[gtest]
fn daemons_that_lose_all_control_replicas_become_unready() {
    let mut site = Site::start(seven());
    for i in 1..=3 {
        site.kill(&format!("vm-{i}"));
    }

    site.wait("the rest are unready", |site| (4..=7).all(|i| !site.ready(i)));
    for i in 1..=3 {
        site.start_daemon(i);
    }
    site.wait("all are ready again", |site| (1..=7).all(|i| site.ready(i)));
    expect_that!(site.version(7), eq(1));
}

#[gtest]
fn a_hall_is_taken_out_and_stays_so_when_all_restart_until_it_is_given_back() {
    let size = Size { daemons: 4, replicas: 3, engines: 1, services: 1, ..Size::default() };
    let mut site = Site::start(size);
    let ask = |site: &Site| site.load(&[4], &["--streams", "2", "--calls", "2", "--length", "3"]);

    let out = site.cli(4, &["hall", "out", "hall-atl"]);
    for i in 1..=4 {
        site.kill(&format!("vm-{i}"));
    }
    for i in 1..=4 {
        site.start_daemon(i);
    }
    site.wait("all are ready again", |site| (1..=4).all(|i| site.ready(i)));
    let listed = site.cli(2, &["hall", "list"]);
    let while_out = ask(&site);
    let back = site.cli(1, &["hall", "back", "hall-atl"]);
    site.wait("it is back everywhere", |site| {
        let listed = site.cli(4, &["endpoints", "--json"]);
        !String::from_utf8_lossy(&listed.stdout).contains("\"out\"")
    });
    let after = ask(&site);

    expect_that!(text(&out), contains_substring("hall-atl is out of service"));
    expect_that!(text(&listed), contains_regex("hall-atl +yes +2"));
    let not_run = serde_json::json!({ "not_run": 2 });
    expect_that!(while_out["chats"], eq(&not_run), "{while_out}");
    expect_that!(while_out["calls"], eq(&not_run), "{while_out}");
    expect_that!(text(&back), contains_substring("hall-atl is in service"));
    expect_that!(after["chats"]["answered"], eq(&serde_json::json!(2)), "{after}");
    expect_that!(after["calls"]["answered"], eq(&serde_json::json!(2)), "{after}");
}

fn text(output: &std::process::Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}
