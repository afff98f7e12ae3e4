//! Carries out what the replica hands out: messages, writes, committed entries, reads.

use super::{
    Batch, ControlReplica, Proposed,
    answers::{claim_reply, hall_reply, reply},
    suspects::{Suspects, suspects_reply},
};
use crate::{
    agreement::{Entry, Outgoing, Persist, Ready, Snapshot, Synced},
    node::{Clocks, Outbox, Output, SentChange, dispatcher::Dispatcher},
    state::{AcceptedChange, Applied, ConfigResult, HallResult, State},
    units::Instant,
    wire::{Body, Done, OperationResult, Update},
};

/// The log is compacted when its entries take this many bytes more than the snapshot.
const COMPACT_BYTES: usize = 4 * 1024 * 1024;

impl ControlReplica {
    pub(super) fn pump(&mut self, clocks: Clocks, out: &mut Outbox) {
        loop {
            let ready = self.replica.take_ready();
            let idle = ready.messages.is_empty()
                && ready.persist.is_empty()
                && ready.messages_after_persist.is_empty()
                && ready.install.is_none()
                && ready.committed.is_empty()
                && ready.reads.is_empty()
                && ready.failed_reads.is_empty();
            self.judge_leadership(clocks.now, out);
            if idle && (self.writing.is_some() || self.queued.is_none()) {
                return;
            }
            self.take(ready, clocks, out);
        }
    }

    fn take(&mut self, ready: Ready, clocks: Clocks, out: &mut Outbox) {
        self.send_all(ready.messages, out);
        self.queue(ready.persist, ready.messages_after_persist, ready.synced);
        if let Some(snapshot) = ready.install {
            self.install(&snapshot, clocks.now, out);
        }
        for entry in ready.committed {
            self.apply(entry, clocks, out);
        }
        for read in ready.reads {
            self.answer_poll(read, clocks.now, out);
        }
        for token in ready.failed_reads {
            if let Some((vm, _)) = self.polls.remove(&token) {
                self.not_leader(&vm, None, out);
            }
        }
        self.write_next(clocks.now, out);
        self.compact_if_due();
    }

    fn queue(&mut self, persist: Persist, after: Vec<Outgoing>, synced: Synced) {
        if persist.is_empty() && after.is_empty() {
            return;
        }
        let batch = self.queued.get_or_insert_with(Batch::default);
        batch.persist.extend(persist);
        batch.after.extend(after);
        batch.synced = synced;
    }

    /// Starts the next write, unless one is on its way; all that queues up meanwhile shares
    /// the next sync.
    fn write_next(&mut self, now: Instant, out: &mut Outbox) {
        while self.writing.is_none() {
            let Some(mut batch) = self.queued.take() else { return };
            if batch.persist.is_empty() {
                self.release(batch, now, out);
                continue;
            }
            self.written += 1;
            out.push(Output::Persist(self.written, std::mem::take(&mut batch.persist)));
            self.writing = Some(batch);
        }
    }

    pub(super) fn release(&mut self, batch: Batch, now: Instant, out: &mut Outbox) {
        self.send_all(batch.after, out);
        self.replica.persisted(batch.synced, now);
    }

    fn send_all(&self, messages: Vec<Outgoing>, out: &mut Outbox) {
        for Outgoing { to, message } in messages {
            if let Some(vm) = self.vm_of(to) {
                out.send(&vm, Body::Agreement(message));
            }
        }
    }

    fn install(&mut self, snapshot: &Snapshot, now: Instant, out: &mut Outbox) {
        self.snapshot_bytes = snapshot.data.len();
        self.log_bytes = 0;
        // A snapshot that passed its checksum and cannot be read was written by a newer release.
        let state = State::decode(snapshot.data.clone());
        self.state = state.expect("a snapshot of a newer release: update this daemon");
        self.answer_fetches(now, out);
    }

    fn apply(&mut self, entry: Entry, clocks: Clocks, out: &mut Outbox) {
        /// Bytes of an entry on disk beside its command.
        const ENTRY_OVERHEAD: usize = 64;
        let bytes = entry.payload_bytes() + ENTRY_OVERHEAD;
        self.log_bytes += bytes;
        let applied = match self.state.apply(&entry) {
            Applied::Accepted(change) => {
                self.accepted(*change, bytes, clocks.now, out);
                Applied::Config(ConfigResult::Accepted)
            }
            Applied::Hall(HallResult::Done) => {
                self.tell_halls_out(out);
                Applied::Hall(HallResult::Done)
            }
            Applied::Suspects(change) => {
                self.suspects_changed(&change, clocks.now, out);
                Applied::Suspects(change)
            }
            applied => applied,
        };
        let proposed = self.proposed.remove(&entry.index);
        let Some(Proposed { term, asker, submit }) = proposed else { return };
        if term != entry.term {
            return self.not_leader(&asker.vm, Some(asker.operation), out);
        }
        let result = match (applied, submit) {
            (Applied::Config(result), Some(submit)) => self.config_result(&submit, result),
            (Applied::Claim(result), _) => OperationResult::Claim(claim_reply(result)),
            (Applied::Hall(result), _) => OperationResult::Hall(hall_reply(result)),
            (Applied::Suspects(change), _) => OperationResult::Suspects(suspects_reply(&change)),
            _ => OperationResult::Settled(Done {}),
        };
        reply(&asker, result, out);
        self.next_submission(clocks, out);
    }

    /// The leader tells every daemon of an accepted configuration at once, and what it changes if
    /// that is small. Daemons fetch what is large, each from a control VM of its own choice and as
    /// fast as it can: sent to all at once by the leader, 645 kB for 63 daemons stood before its
    /// heartbeats and their grants for half a second and more.
    fn accepted(&mut self, change: AcceptedChange, bytes: usize, now: Instant, out: &mut Outbox) {
        let id = change.id.clone();
        self.changes.push(change, bytes);
        if self.leads() {
            let update = Update { change: id, delta: self.changes.latest_if_small() };
            for vm in self.daemons.keys() {
                out.send(vm, Body::Update(update.clone()));
            }
            out.push(Output::SentChange(SentChange::pushed(&update, self.daemons.len())));
        }
        self.answer_fetches(now, out);
    }

    /// The leader tells every daemon at once which data halls are out of service; its answers to
    /// polls tell those that the message does not reach.
    fn tell_halls_out(&self, out: &mut Outbox) {
        if !self.leads() {
            return;
        }
        for vm in self.daemons.keys() {
            out.send(vm, Body::HallsOut(self.state.halls_out().clone()));
        }
    }

    fn judge_leadership(&mut self, now: Instant, out: &mut Outbox) {
        let leads = self.replica.is_established();
        if leads == self.dispatcher.is_some() {
            return;
        }
        if leads {
            self.dispatcher = Some(Dispatcher::new(self.disabled, now));
            self.suspects = Suspects::new(now);
            self.configure_dispatcher(now);
            return;
        }
        self.dispatcher = None;
        self.daemons.clear();
        let proposed = std::mem::take(&mut self.proposed);
        let submissions = std::mem::take(&mut self.submissions);
        let askers = proposed.into_values().map(|p| p.asker);
        for asker in askers.chain(submissions.into_iter().map(|(asker, _)| asker)) {
            self.not_leader(&asker.vm, Some(asker.operation), out);
        }
    }

    fn compact_if_due(&mut self) {
        if self.log_bytes < self.snapshot_bytes + COMPACT_BYTES {
            return;
        }
        let data = self.state.encode();
        self.snapshot_bytes = data.len();
        self.log_bytes = 0;
        self.replica.compact(self.replica.commit(), data);
    }
}
