//! Carries changes of the replicated state to the leader until they are answered.

use std::{collections::BTreeMap, time::Duration};

use super::{CallId, NodeReply, Outbox, SubmitError, VmName};
use crate::{
    once::{Claim, ClaimResult, Ending, NotRun, Settle},
    state::HallResult,
    units::Instant,
    wire::{
        Body, ClaimReply, ClaimStatus, HallReply, HallStatus, Operation, OperationKind,
        OperationReply, OperationResult,
    },
};

/// An operation that was not answered in this time is sent again.
const RESEND: Duration = Duration::from_millis(700);
/// A file may take this much longer for each of its bytes, at the 10 Mbit/s of the smallest links
/// and twice over, so that what is slow to arrive is not sent once more.
const RESEND_FOR_BYTE: Duration = Duration::from_nanos(1_600);
/// Time allowed for a submission.
pub(crate) const SUBMIT_LIMIT: Duration = Duration::from_secs(10);
/// Time allowed for storing how a call ended.
pub(crate) const SETTLE_LIMIT: Duration = Duration::from_secs(120);
/// How long a claim that was given up is still released in the background.
const RELEASE_LIMIT: Duration = Duration::from_secs(120);

#[derive(Debug)]
struct Pending {
    kind: OperationKind,
    /// Who waits for the answer; nobody for a release in the background.
    call: Option<CallId>,
    deadline: Instant,
    sent: Option<Sent>,
}

impl Pending {
    /// Time after which it is sent again.
    fn resend_after(&self) -> Duration {
        let bytes = match &self.kind {
            OperationKind::Submit(submit) => submit.command.delta.len(),
            _ => 0,
        };
        RESEND + RESEND_FOR_BYTE * u32::try_from(bytes).unwrap_or(u32::MAX)
    }
}

#[derive(Debug)]
struct Sent {
    to: VmName,
    at: Instant,
}

/// Operations that are not answered yet.
#[derive(Debug)]
pub(crate) struct Operations {
    /// Number of the last one.
    last: u64,
    pending: BTreeMap<u64, Pending>,
}

impl Operations {
    /// None yet. Their numbers go on from a random one: an answer to the daemon's former run may come late,
    /// and must not be taken for that to another operation.
    pub(crate) fn numbered_from(seed: u64) -> Operations {
        Operations { last: seed, pending: BTreeMap::new() }
    }

    /// Whether an operation has not been answered, nor given up.
    pub(crate) fn is_pending(&self, number: u64) -> bool {
        self.pending.contains_key(&number)
    }

    /// Carries an operation to the leader and answers `call`, within this time.
    pub(crate) fn start(
        &mut self,
        call: CallId,
        kind: OperationKind,
        limit: Duration,
        leader: Option<&VmName>,
        now: Instant,
        out: &mut Outbox,
    ) {
        self.add(kind, Some(call), now.after(limit), leader, now, out);
    }

    /// Carries an operation that nobody waits for; returns its number.
    pub(crate) fn start_detached(
        &mut self,
        kind: OperationKind,
        limit: Duration,
        leader: Option<&VmName>,
        now: Instant,
        out: &mut Outbox,
    ) -> u64 {
        self.add(kind, None, now.after(limit), leader, now, out);
        self.last
    }

    pub(crate) fn tick(&mut self, leader: Option<&VmName>, now: Instant, out: &mut Outbox) {
        self.expire(leader, now, out);
        self.send_due(leader, now, out);
    }

    pub(crate) fn leader_changed(
        &mut self,
        leader: Option<&VmName>,
        now: Instant,
        out: &mut Outbox,
    ) {
        for pending in self.pending.values_mut() {
            pending.sent = None;
        }
        self.send_due(leader, now, out);
    }

    pub(crate) fn link_down(&mut self, vm: &VmName) {
        for pending in self.pending.values_mut() {
            pending.sent.take_if(|sent| sent.to == *vm);
        }
    }

    /// The receiver did not lead; the operation waits for the next tick.
    pub(crate) fn retry_at_next_tick(&mut self, id: u64) {
        if let Some(pending) = self.pending.get_mut(&id) {
            pending.sent = None;
        }
    }

    pub(crate) fn reply(&mut self, reply: OperationReply, out: &mut Outbox) {
        let Some(result) = reply.result else { return };
        let Some(pending) = self.pending.remove(&reply.id) else { return };
        let Some(call) = pending.call else { return };
        let answer = match result {
            OperationResult::Accepted(accepted) => NodeReply::Submitted(Ok(accepted)),
            OperationResult::RefusedFile(problem) => {
                NodeReply::Submitted(Err(SubmitError::Refused(problem)))
            }
            OperationResult::Rebase(version) => {
                NodeReply::Submitted(Err(SubmitError::Rebase(version)))
            }
            OperationResult::Claim(reply) => NodeReply::Claimed(Some(claim_result(reply))),
            OperationResult::Settled(_) => NodeReply::Settled(true),
            OperationResult::Hall(reply) => NodeReply::HallChange(Some(hall_result(&reply))),
            OperationResult::Suspects(reply) => NodeReply::SuspectCleared(Some(reply.changed)),
        };
        out.reply(call, answer);
    }

    fn add(
        &mut self,
        kind: OperationKind,
        call: Option<CallId>,
        deadline: Instant,
        leader: Option<&VmName>,
        now: Instant,
        out: &mut Outbox,
    ) {
        self.last = self.last.wrapping_add(1);
        self.pending.insert(self.last, Pending { kind, call, deadline, sent: None });
        self.send_due(leader, now, out);
    }

    fn send_due(&mut self, leader: Option<&VmName>, now: Instant, out: &mut Outbox) {
        let Some(leader) = leader else { return };
        for (id, pending) in &mut self.pending {
            let resend_after = pending.resend_after();
            let due = pending.sent.as_ref().is_none_or(|sent| resend_after <= now.since(sent.at));
            if !due {
                continue;
            }
            pending.sent = Some(Sent { to: leader.clone(), at: now });
            let operation = Operation { id: *id, kind: Some(pending.kind.clone()) };
            out.send(leader, Body::Operation(operation));
        }
    }

    fn expire(&mut self, leader: Option<&VmName>, now: Instant, out: &mut Outbox) {
        let expired: Vec<u64> =
            self.pending.iter().filter(|(_, p)| p.deadline <= now).map(|(id, _)| *id).collect();
        for id in expired {
            let Some(pending) = self.pending.remove(&id) else { continue };
            let answer = match pending.kind {
                OperationKind::Submit(_) => NodeReply::Submitted(Err(SubmitError::NoAnswer)),
                OperationKind::Claim(claim) => {
                    // It may be committed yet; nothing was sent, so it is released.
                    let kind = OperationKind::Settle(release(&claim));
                    self.add(kind, None, now.after(RELEASE_LIMIT), leader, now, out);
                    NodeReply::Claimed(None)
                }
                OperationKind::Settle(_) => NodeReply::Settled(false),
                OperationKind::Hall(_) => NodeReply::HallChange(None),
                OperationKind::Ended(_) | OperationKind::Clear(_) => {
                    NodeReply::SuspectCleared(None)
                }
            };
            if let Some(call) = pending.call {
                out.reply(call, answer);
            }
        }
    }
}

fn release(claim: &Claim) -> Settle {
    let ending = Some(Ending::NotRun(NotRun {}));
    Settle { key: claim.key.clone(), owner: claim.owner.clone(), ending }
}

fn hall_result(reply: &HallReply) -> HallResult {
    match reply.status() {
        HallStatus::Done => HallResult::Done,
        HallStatus::Repeated => HallResult::Repeated,
        HallStatus::Overtaken => HallResult::Overtaken,
        HallStatus::TooMany => HallResult::TooMany,
    }
}

fn claim_result(reply: ClaimReply) -> ClaimResult {
    match reply.status() {
        ClaimStatus::Granted => ClaimResult::Granted,
        ClaimStatus::InProgress => ClaimResult::InProgress,
        ClaimStatus::Stored => reply.answer.map_or(ClaimResult::Unknown, ClaimResult::Stored),
        ClaimStatus::Unknown => ClaimResult::Unknown,
        ClaimStatus::KeyReused => ClaimResult::KeyReused,
        ClaimStatus::KeyExpired => ClaimResult::KeyExpired,
    }
}
