//! Carries out the work that consensus hands out: messages, log writes, committed entries and reads.

use super::{
    ControlReplica, PendingProposal, WriteBatch,
    answers::{encode_claim_reply, encode_hall_reply, send_reply},
    suspects::{SuspectCoordinator, encode_suspects_reply},
};
use crate::{
    agreement::{Entry, Outgoing, Persist, Ready, Snapshot, Synced},
    node::{Clocks, Outbox, Output, ReplicaRole, SentChange, dispatcher::Dispatcher},
    placement::LoadSnapshot,
    state::{AcceptedChange, Applied, ConfigResult, HallResult, State},
    units::Instant,
    wire::{Body, Done, OperationResult, Update},
};

/// The log is compacted once it is this much larger than the last snapshot.
const COMPACTION_THRESHOLD_BYTES: usize = 4 * 1024 * 1024;

impl ControlReplica {
    /// Processes the replica's work until none is left.
    pub(super) fn process_ready(&mut self, clocks: Clocks, out: &mut Outbox) {
        loop {
            let ready = self.replica.take_ready();
            let idle = ready.messages.is_empty()
                && ready.persist.is_empty()
                && ready.messages_after_persist.is_empty()
                && ready.install.is_none()
                && ready.committed.is_empty()
                && ready.reads.is_empty()
                && ready.failed_reads.is_empty();
            self.update_leadership(clocks.now, out);
            self.report_role(out);
            if idle && (self.write_in_progress.is_some() || self.queued_write.is_none()) {
                return;
            }
            self.handle_ready(ready, clocks, out);
        }
    }

    fn handle_ready(&mut self, ready: Ready, clocks: Clocks, out: &mut Outbox) {
        self.send_messages(ready.messages, out);
        self.queue_write(ready.persist, ready.messages_after_persist, ready.synced);
        if let Some(snapshot) = ready.install {
            self.install_snapshot(&snapshot, clocks.now, out);
        }
        for entry in ready.committed {
            self.apply_entry(entry, clocks, out);
        }
        for read in ready.reads {
            self.answer_poll(read, clocks.now, out);
        }
        for token in ready.failed_reads {
            if let Some((vm, _)) = self.pending_polls.remove(&token) {
                self.reply_not_leader(&vm, None, out);
            }
        }
        self.write_next(clocks.now, out);
        self.compact_if_due();
    }

    fn queue_write(&mut self, persist: Persist, after: Vec<Outgoing>, synced: Synced) {
        if persist.is_empty() && after.is_empty() {
            return;
        }
        let batch = self.queued_write.get_or_insert_with(WriteBatch::default);
        batch.persist.extend(persist);
        batch.after.extend(after);
        batch.synced = synced;
    }

    /// Starts the queued write unless one is in progress. Writes queued meanwhile share one sync.
    fn write_next(&mut self, now: Instant, out: &mut Outbox) {
        while self.write_in_progress.is_none() {
            let Some(mut batch) = self.queued_write.take() else { return };
            if batch.persist.is_empty() {
                self.complete_write(batch, now, out);
                continue;
            }
            self.last_write += 1;
            out.push(Output::Persist(self.last_write, std::mem::take(&mut batch.persist)));
            self.write_in_progress = Some(batch);
        }
    }

    pub(super) fn complete_write(&mut self, batch: WriteBatch, now: Instant, out: &mut Outbox) {
        self.send_messages(batch.after, out);
        self.replica.persisted(batch.synced, now);
    }

    fn send_messages(&self, messages: Vec<Outgoing>, out: &mut Outbox) {
        for Outgoing { to, message } in messages {
            if let Some(vm) = self.vm_of(to) {
                out.send(&vm, Body::Agreement(message));
            }
        }
    }

    fn install_snapshot(&mut self, snapshot: &Snapshot, now: Instant, out: &mut Outbox) {
        self.snapshot_bytes = snapshot.data.len();
        self.log_bytes = 0;
        // The checksum matched, so an unreadable snapshot comes from a newer release.
        let state = State::decode(snapshot.data.clone());
        self.state = state.expect("snapshot was written by a newer release: upgrade this daemon");
        self.answer_waiting_fetches(now, out);
    }

    fn apply_entry(&mut self, entry: Entry, clocks: Clocks, out: &mut Outbox) {
        /// Bytes of an entry on disk in addition to its command.
        const ENTRY_OVERHEAD: usize = 64;
        let bytes = entry.payload_bytes() + ENTRY_OVERHEAD;
        self.log_bytes += bytes;
        let applied = match self.state.apply(&entry) {
            Applied::Accepted(change) => {
                self.on_config_accepted(*change, bytes, clocks.now, out);
                Applied::Config(ConfigResult::Accepted)
            }
            Applied::Hall(HallResult::Done) => {
                self.broadcast_halls_out(out);
                Applied::Hall(HallResult::Done)
            }
            Applied::Suspects(change) => {
                self.on_suspects_changed(&change, clocks.now, out);
                Applied::Suspects(change)
            }
            applied => applied,
        };
        let proposal = self.proposals.remove(&entry.index);
        let Some(PendingProposal { term, reply_to, submit }) = proposal else { return };
        if term != entry.term {
            return self.reply_not_leader(&reply_to.vm, Some(reply_to.operation), out);
        }
        let result = match (applied, submit) {
            (Applied::Config(result), Some(submit)) => self.config_result(&submit, result),
            (Applied::Claim(result), _) => OperationResult::Claim(encode_claim_reply(result)),
            (Applied::Hall(result), _) => OperationResult::Hall(encode_hall_reply(result)),
            (Applied::Suspects(change), _) => {
                OperationResult::Suspects(encode_suspects_reply(&change))
            }
            _ => OperationResult::Settled(Done {}),
        };
        send_reply(&reply_to, result, out);
        self.propose_next_submission(clocks, out);
    }

    /// Announces an accepted configuration to every daemon, with its delta if that fits in one piece.
    /// Daemons fetch larger deltas themselves, so that they do not delay heartbeats and grants on the
    /// leader's links.
    fn on_config_accepted(
        &mut self,
        change: AcceptedChange,
        bytes: usize,
        now: Instant,
        out: &mut Outbox,
    ) {
        let id = change.id.clone();
        self.config_changes.push(change, bytes);
        if self.leads() {
            let update = Update { change: id, delta: self.config_changes.latest_if_small() };
            for (vm, _) in self.daemons.iter() {
                out.send(vm, Body::Update(update.clone()));
            }
            out.push(Output::SentChange(SentChange::pushed(&update, self.daemons.len())));
        }
        self.answer_waiting_fetches(now, out);
    }

    /// Sends every daemon the data halls that are out of service. Poll replies repeat them in case the
    /// message is lost.
    fn broadcast_halls_out(&self, out: &mut Outbox) {
        if !self.leads() {
            return;
        }
        for (vm, _) in self.daemons.iter() {
            out.send(vm, Body::HallsOut(self.state.halls_out().clone()));
        }
    }

    /// Reports the role for logs when it or the term has changed.
    fn report_role(&mut self, out: &mut Outbox) {
        let replica = &self.replica;
        let current = (replica.role(), replica.term(), replica.is_established());
        if self.reported_role.replace(current) == Some(current) {
            return;
        }
        let (role, term, established) = current;
        out.push(Output::Role(ReplicaRole {
            role,
            term,
            established,
            last_index: replica.log().last_index(),
            commit: replica.commit(),
            voters: replica.membership().voters().count(),
            linked: self.peers.len(),
        }));
    }

    /// Starts the scheduler when this replica becomes leader; stops it and rejects pending operations
    /// when it steps down.
    fn update_leadership(&mut self, now: Instant, out: &mut Outbox) {
        let leads = self.replica.is_established();
        if leads == self.dispatcher.is_some() {
            return;
        }
        if leads {
            self.dispatcher = Some(Dispatcher::new(self.dispatcher_options, now));
            self.suspect_coordinator = SuspectCoordinator::new(now);
            self.needs_engines = true;
            return;
        }
        self.dispatcher = None;
        out.push(Output::Load(LoadSnapshot::default()));
        self.daemons.clear();
        let proposals = std::mem::take(&mut self.proposals);
        let submissions = std::mem::take(&mut self.submissions);
        let waiting = proposals.into_values().map(|proposal| proposal.reply_to);
        for reply_to in waiting.chain(submissions.into_iter().map(|(reply_to, _)| reply_to)) {
            self.reply_not_leader(&reply_to.vm, Some(reply_to.operation), out);
        }
    }

    fn compact_if_due(&mut self) {
        if self.log_bytes < self.snapshot_bytes + COMPACTION_THRESHOLD_BYTES {
            return;
        }
        let data = self.state.encode();
        self.snapshot_bytes = data.len();
        self.log_bytes = 0;
        self.replica.compact(self.replica.commit(), data);
    }
}
