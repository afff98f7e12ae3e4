//! Properties of agreement under a seeded scheduler of lost, delayed, repeated and
//! reordered messages, crashes before and after each sync, cuts, freezes and clocks
//! that run apart.

mod busy_processors;
mod group;
mod net;
mod slow_disks;

use googletest::prelude::*;
use proptest::prelude::*;

use self::net::{Net, TIMING};
use super::*;
use crate::units::{Instant, UnixMillis};

#[gtest]
fn three_replicas_elect_a_leader_and_agree() {
    let mut net = Net::new(&[1, 2, 3], 3, 1);

    expect_that!(net.settle(), eq(true));
    expect_that!(net.committed.len(), gt(2));
}

#[gtest]
fn one_replica_leads_alone() {
    let mut net = Net::new(&[1], 1, 1);

    expect_that!(net.settle(), eq(true));
}

#[gtest]
fn a_leader_that_is_cut_off_steps_down_and_confirms_no_read() {
    let mut net = Net::new(&[1, 2, 3], 3, 1);
    net.settle();
    let leader = *net.leaders.values().next_back().unwrap();
    net.messages.clear();
    net.cut = vec![leader];
    let confirmed = net.confirmed_reads;
    net.read(leader);
    for _ in 0..60 {
        net.now += 10_000;
        net.with(leader, |replica, now| replica.tick(now));
        net.sync(leader);
        while !net.messages.is_empty() {
            net.deliver(0);
        }
    }

    let replica = net.hosts[&leader].replica.as_ref().unwrap();
    expect_that!(replica.role(), not(eq(Role::Leader)));
    expect_that!(net.confirmed_reads, eq(confirmed));
}

#[gtest]
fn a_wiped_disk_does_not_answer_for_the_replica_that_voted() {
    let timing = TIMING;
    let mut wiped = Replica::new(30, timing, 1, Restored::default(), Instant(0));
    let body = Some(message_body::Body::Vote(Vote::default()));

    wiped.receive(Message { from: 1, to: 3, term: 9, body }, Instant(1_000_000));

    let ready = wiped.take_ready();
    expect_that!(ready.messages.len() + ready.messages_after_persist.len(), eq(0));
}

#[gtest]
fn a_handed_over_group_has_another_leader_at_once() {
    let mut net = Net::new(&[1, 2, 3], 3, 1);
    net.settle();
    let leader = *net.leaders.values().next_back().unwrap();
    net.with(leader, |replica, now| replica.hand_over(now));
    for _ in 0..20 {
        for _ in 0..net.messages.len() {
            net.deliver(0);
        }
        for id in [1, 2, 3] {
            net.sync(id);
        }
    }

    expect_that!(*net.leaders.values().next_back().unwrap(), not(eq(leader)));
}

proptest! {
    #![proptest_config(crate::testing::fixed_seed(150))]

    #[test]
    fn nothing_committed_is_lost_or_doubled_and_work_goes_on_after_the_faults(
        seed in any::<u64>(),
        replicas in 1usize..6,
        learners in 0usize..2,
    ) {
        let ids: Vec<ReplicaId> = (1..=(replicas + learners) as u64).collect();
        let mut net = Net::new(&ids, replicas, seed);
        for _ in 0..400 {
            net.random_event();
        }
        prop_assert!(net.settle(), "no progress after the faults ended");
    }
}

/// A replica of a group of three whose log ends with entries of these terms.
fn with_log(id: ReplicaId, terms: &[u64]) -> Replica {
    let members = (1..=3).map(|id| Member { id, vm: format!("vm-{id}"), voter: true }).collect();
    let mut entries: Vec<Entry> = terms
        .iter()
        .enumerate()
        .map(|(i, term)| Entry { term: *term, index: i as u64 + 1, at_ms: 0, payload: None })
        .collect();
    entries[0].payload = Some(Payload::Members(Membership { members }));
    let hard_state = HardState { term: *terms.last().unwrap(), voted_for: None };
    let restored = Restored { hard_state, snapshot: None, entries };
    Replica::new(id, TIMING, 7, restored, Instant(0))
}

const LATER: Instant = Instant(10_000_000);

/// Lets time pass until [`LATER`], as a process sees it that is never held up.
fn pass_time(replica: &mut Replica) {
    while replica.next_tick() <= LATER {
        replica.tick(replica.next_tick());
    }
    replica.tick(LATER);
}

fn receive(replica: &mut Replica, from: ReplicaId, term: u64, body: message_body::Body) -> Ready {
    let message = Message { from, to: replica.id(), term, body: Some(body) };
    replica.receive(message, LATER);
    replica.take_ready()
}

fn vote(last_term: u64, last_index: u64) -> message_body::Body {
    message_body::Body::Vote(Vote { last_index, last_term, hand_over: false })
}

fn votes_granted(outgoing: &[Outgoing]) -> usize {
    let granted = |o: &&Outgoing| {
        let body = &o.message.body;
        matches!(body, Some(message_body::Body::VoteReply(VoteReply { granted: true })))
    };
    outgoing.iter().filter(granted).count()
}

#[gtest]
fn a_vote_is_given_once_in_a_term_and_only_after_it_is_synced() {
    let mut replica = with_log(2, &[1]);
    replica.take_ready();

    let first = receive(&mut replica, 1, 5, vote(1, 1));
    let second = receive(&mut replica, 3, 5, vote(1, 1));

    expect_that!(votes_granted(&first.messages), eq(0));
    expect_that!(votes_granted(&first.messages_after_persist), eq(1));
    expect_that!(first.persist.hard_state.unwrap().voted_for, some(eq(1)));
    expect_that!(votes_granted(&second.messages_after_persist), eq(0));
}

#[gtest]
fn a_candidate_with_a_less_complete_log_gets_no_vote() {
    let mut replica = with_log(2, &[1, 1, 3]);
    replica.take_ready();

    for (last_term, last_index) in [(3, 2), (2, 9), (1, 3)] {
        let ready = receive(&mut replica, 1, 5, vote(last_term, last_index));
        expect_that!(votes_granted(&ready.messages_after_persist), eq(0));
    }
    let ready = receive(&mut replica, 1, 5, vote(3, 3));
    expect_that!(votes_granted(&ready.messages_after_persist), eq(1));
}

/// Makes a replica a candidate of the next term by the pre-vote of another.
fn stand(replica: &mut Replica) -> Ready {
    pass_time(replica);
    let term = replica.term();
    let granted = PreVoteReply { asked_term: term + 1, granted: true };
    receive(replica, 3, term, message_body::Body::PreVoteReply(granted))
}

/// Makes a replica the leader of the next term by the votes of another.
fn elect(replica: &mut Replica) -> Ready {
    let ready = stand(replica);
    replica.persisted(ready.synced, LATER);
    let term = replica.term();
    receive(replica, 3, term, message_body::Body::VoteReply(VoteReply { granted: true }))
}

#[gtest]
fn a_candidates_own_vote_counts_only_once_it_is_synced() {
    let mut replica = with_log(2, &[1]);
    replica.take_ready();
    stand(&mut replica);

    let vote = VoteReply { granted: true };
    receive(&mut replica, 3, 2, message_body::Body::VoteReply(vote));

    expect_that!(replica.role(), eq(Role::Candidate));
}

// Guards against two leaders of one term after a candidate has crashed.
#[gtest]
fn candidate_does_not_lead_by_the_votes_of_all_others_before_its_own_is_synced() {
    let mut replica = with_log(2, &[1]);
    replica.take_ready();
    stand(&mut replica);

    for voter in [1, 3] {
        let vote = VoteReply { granted: true };
        receive(&mut replica, voter, 2, message_body::Body::VoteReply(vote));
    }

    expect_that!(replica.role(), eq(Role::Candidate));
}

/// Lets time pass until a replica asks for pre-votes, and lets another one ask it in that moment.
fn is_granted_at_once(replica: &mut Replica, from: ReplicaId) -> bool {
    let sends = |ready: &Ready, is_wanted: fn(&message_body::Body) -> bool| {
        ready.messages.iter().any(|o| o.message.body.as_ref().is_some_and(is_wanted))
    };
    let now = loop {
        let now = replica.next_tick();
        replica.tick(now);
        if sends(&replica.take_ready(), |body| matches!(body, message_body::Body::PreVote(_))) {
            break now;
        }
    };
    let ask = message_body::Body::PreVote(PreVote { last_index: 1, last_term: 1 });
    let message = Message { from, to: replica.id(), term: 2, body: Some(ask) };
    replica.receive(message, now);
    sends(
        &replica.take_ready(),
        |body| matches!(body, message_body::Body::PreVoteReply(reply) if reply.granted),
    )
}

// Guards against two candidates of a term, which split its votes, and against one that stands in the way for good.
#[gtest]
fn replica_that_asks_for_pre_votes_refuses_one_with_a_lower_id_once() {
    let mut replica = with_log(2, &[1]);
    replica.take_ready();

    expect_true!(is_granted_at_once(&mut replica, 3));
    expect_false!(is_granted_at_once(&mut replica, 1));
    expect_true!(is_granted_at_once(&mut replica, 1));
    expect_false!(is_granted_at_once(&mut replica, 1));
}

// Guards against a candidate that is elected by what it loses in a crash.
#[gtest]
fn candidate_whose_log_is_not_synced_asks_for_votes_only_after_it_is() {
    let mut replica = with_log(2, &[1]);
    replica.take_ready();
    let append = Append {
        prev_index: 1,
        prev_term: 1,
        entries: vec![Entry { term: 1, index: 2, at_ms: 0, payload: None }],
        ..Append::default()
    };
    receive(&mut replica, 1, 1, message_body::Body::Append(append));

    let ready = receive(&mut replica, 1, 1, message_body::Body::TimeoutNow(TimeoutNow {}));

    let asks = |outgoing: &[Outgoing]| {
        outgoing.iter().any(|one| matches!(one.message.body, Some(message_body::Body::Vote(_))))
    };
    expect_false!(asks(&ready.messages));
    expect_true!(asks(&ready.messages_after_persist));
}

#[gtest]
fn an_entry_of_an_older_term_is_not_committed_by_counting() {
    let mut replica = with_log(2, &[1, 2]);
    replica.take_ready();
    let opened = elect(&mut replica);
    assert_that!(replica.role(), eq(Role::Leader));
    replica.persisted(Synced { last_term: 2, last_index: 2, ..opened.synced }, LATER);
    let term = replica.term();
    let matched = |index| {
        let outcome = Some(append_reply::Outcome::Matched(index));
        message_body::Body::AppendReply(AppendReply { round: 0, outcome })
    };

    receive(&mut replica, 3, term, matched(2));
    expect_that!(replica.commit(), eq(0));
    replica.persisted(opened.synced, LATER);
    receive(&mut replica, 3, term, matched(3));
    expect_that!(replica.commit(), eq(3));
}

#[gtest]
fn a_follower_commits_no_further_than_it_agrees_with_the_leader() {
    let mut replica = with_log(2, &[1, 2, 2]);
    replica.take_ready();
    let append = Append {
        prev_index: 1,
        prev_term: 1,
        entries: vec![],
        commit: 3,
        round: 1,
        ..Append::default()
    };

    receive(&mut replica, 1, 4, message_body::Body::Append(append));

    expect_that!(replica.commit(), eq(1));
}

#[gtest]
fn members_change_one_voter_at_a_time_and_only_when_the_last_change_is_settled() {
    let mut replica = with_log(2, &[1]);
    replica.take_ready();
    elect(&mut replica);
    let change = |voters: &[u64]| {
        let member = |id: &u64| Member { id: *id, vm: format!("vm-{id}"), voter: true };
        Payload::Members(Membership { members: voters.iter().map(member).collect() })
    };
    let busy = Err(ProposeError::MembershipBusy);

    expect_that!(replica.propose(change(&[2, 3]), UnixMillis(0), LATER), eq(busy));
    let ready = replica.take_ready();
    replica.persisted(ready.synced, LATER);
    let outcome = Some(append_reply::Outcome::Matched(2));
    let reply = message_body::Body::AppendReply(AppendReply { round: 0, outcome });
    let term = replica.term();
    receive(&mut replica, 3, term, reply);
    expect_that!(replica.propose(change(&[2]), UnixMillis(0), LATER), eq(busy));
    expect_that!(replica.propose(change(&[2, 3]), UnixMillis(0), LATER), ok(anything()));
    expect_that!(replica.propose(change(&[2]), UnixMillis(0), LATER), eq(busy));
}

/// Lets a replica be asked for its pre-vote for the next term; returns whether it grants it.
fn grants_pre_vote(replica: &mut Replica, from: ReplicaId) -> bool {
    let term = replica.term() + 1;
    let ask = PreVote { last_index: 1, last_term: 1 };
    let ready = receive(replica, from, term, message_body::Body::PreVote(ask));
    ready.messages.iter().any(|outgoing| {
        matches!(outgoing.message.body, Some(message_body::Body::PreVoteReply(r)) if r.granted)
    })
}

/// Lets time pass until a replica has another role.
fn pass_time_to_next_role(replica: &mut Replica) {
    let role = replica.role();
    while replica.role() == role {
        replica.tick(replica.next_tick());
    }
}

// Guards against a leader that is deposed by the pre-vote that it gave as a candidate.
#[gtest]
fn candidate_grants_no_pre_vote_until_its_election_is_over() {
    let mut replica = with_log(2, &[1]);
    replica.take_ready();
    let ready = stand(&mut replica);
    replica.persisted(ready.synced, LATER);

    expect_false!(grants_pre_vote(&mut replica, 3));
    pass_time_to_next_role(&mut replica);
    expect_that!(replica.role(), eq(Role::PreCandidate));
    expect_true!(grants_pre_vote(&mut replica, 3));
}

#[gtest]
fn pre_votes_hold_until_they_are_taken_back() {
    for is_taken_back in [false, true] {
        let mut replica = with_log(2, &[1]);
        replica.take_ready();
        pass_time_to_next_role(&mut replica);
        // Its own candidacy is put off as another one asks.
        expect_true!(grants_pre_vote(&mut replica, 3));
        let reply =
            |granted| message_body::Body::PreVoteReply(PreVoteReply { asked_term: 2, granted });
        receive(&mut replica, 1, 1, reply(true));
        if is_taken_back {
            receive(&mut replica, 1, 1, reply(false));
        }

        pass_time_to_next_role(&mut replica);

        let role = if is_taken_back { Role::PreCandidate } else { Role::Candidate };
        expect_that!(replica.role(), eq(role), "{is_taken_back}");
    }
}

#[gtest]
fn leader_that_asks_for_pre_votes_is_no_longer_heard() {
    for (asks, is_granted) in [(1, true), (3, false)] {
        let mut replica = with_log(2, &[1]);
        replica.take_ready();
        let append = Append { prev_index: 1, prev_term: 1, ..Append::default() };
        receive(&mut replica, 1, 1, message_body::Body::Append(append));

        expect_that!(grants_pre_vote(&mut replica, asks), eq(is_granted), "{asks}");
    }
}
