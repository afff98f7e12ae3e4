//! Sends operations on the replicated state to the leader and retries them until they are answered.

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

/// Time without a reply after which an operation is sent again.
const RETRY_DELAY: Duration = Duration::from_millis(700);
/// Added to [`RETRY_DELAY`] for each byte of a file: twice its transfer time at 10 Mbit/s.
const RETRY_DELAY_PER_BYTE: Duration = Duration::from_nanos(1_600);
/// Timeout of a configuration submission.
pub(crate) const SUBMIT_TIMEOUT: Duration = Duration::from_secs(10);
/// Timeout for storing the result of a claimed call.
pub(crate) const SETTLE_TIMEOUT: Duration = Duration::from_secs(120);
/// Timeout for releasing an expired claim in the background.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(120);

/// An operation that waits for its reply.
#[derive(Debug)]
struct Pending {
    kind: OperationKind,
    /// The call to answer; `None` for a detached operation.
    call: Option<CallId>,
    deadline: Instant,
    sent: Option<Sent>,
}

impl Pending {
    fn retry_delay(&self) -> Duration {
        let bytes = match &self.kind {
            OperationKind::Submit(submit) => submit.command.delta.len(),
            _ => 0,
        };
        RETRY_DELAY + RETRY_DELAY_PER_BYTE * u32::try_from(bytes).unwrap_or(u32::MAX)
    }
}

#[derive(Debug)]
struct Sent {
    to: VmName,
    at: Instant,
}

/// Operations in flight.
#[derive(Debug)]
pub(crate) struct Operations {
    /// Number of the last operation.
    last_number: u64,
    pending: BTreeMap<u64, Pending>,
}

impl Operations {
    /// Numbers operations from a random seed, so that a late reply to a previous run of the daemon is not
    /// matched to a new operation.
    pub(crate) fn numbered_from(seed: u64) -> Operations {
        Operations { last_number: seed, pending: BTreeMap::new() }
    }

    /// Whether an operation is neither answered nor expired.
    pub(crate) fn is_pending(&self, number: u64) -> bool {
        self.pending.contains_key(&number)
    }

    /// Starts an operation whose result is the reply to `call`.
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

    /// Starts an operation that no call waits for; returns its number.
    pub(crate) fn start_detached(
        &mut self,
        kind: OperationKind,
        limit: Duration,
        leader: Option<&VmName>,
        now: Instant,
        out: &mut Outbox,
    ) -> u64 {
        self.add(kind, None, now.after(limit), leader, now, out);
        self.last_number
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

    /// Handles a rejection by a replica that does not lead.
    pub(crate) fn retry_at_next_tick(&mut self, id: u64) {
        if let Some(pending) = self.pending.get_mut(&id) {
            pending.sent = None;
        }
    }

    pub(crate) fn on_reply(&mut self, reply: OperationReply, out: &mut Outbox) {
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
        self.last_number = self.last_number.wrapping_add(1);
        self.pending.insert(self.last_number, Pending { kind, call, deadline, sent: None });
        self.send_due(leader, now, out);
    }

    fn send_due(&mut self, leader: Option<&VmName>, now: Instant, out: &mut Outbox) {
        let Some(leader) = leader else { return };
        for (id, pending) in &mut self.pending {
            let retry_delay = pending.retry_delay();
            let due = pending.sent.as_ref().is_none_or(|sent| retry_delay <= now.since(sent.at));
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
                    // The claim may still be committed. The call was not sent, so it is released.
                    let kind = OperationKind::Settle(release(&claim));
                    self.add(kind, None, now.after(RELEASE_TIMEOUT), leader, now, out);
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
