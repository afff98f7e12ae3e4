//! Carries out what the replica hands out: messages, writes, committed entries, reads.

use super::{
    Batch, Control, Proposed,
    answers::{claim_reply, reply},
};
use crate::{
    agreement::{Entry, Outgoing, Payload, Persist, Ready, Snapshot, Synced},
    config::Config,
    node::{Clocks, Outbox, Output, SentChange, VmName, dispatcher::Dispatcher, keeper::ACCEPTED},
    state::{Applied, Command, ConfigChange, ConfigResult, EncodedDelta, State, command},
    units::Instant,
    wire::{Body, Done, OperationResult},
};

/// The log is compacted when its entries take this many bytes more than the snapshot.
const COMPACT_BYTES: usize = 4 * 1024 * 1024;

impl Control {
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
            self.install(&snapshot);
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

    fn install(&mut self, snapshot: &Snapshot) {
        self.snapshot_bytes = snapshot.data.len();
        self.log_bytes = 0;
        // A snapshot that passed its checksum and cannot be read was written by a newer release.
        let state = State::decode(snapshot.data.clone());
        self.state = state.expect("a snapshot of a newer release: update this daemon");
    }

    fn apply(&mut self, entry: Entry, clocks: Clocks, out: &mut Outbox) {
        self.log_bytes += match &entry.payload {
            Some(Payload::Command(bytes)) => bytes.len() + 32,
            _ => 64,
        };
        let applied = self.state.apply(&entry);
        if applied == Applied::Config(ConfigResult::Accepted) {
            self.accepted(&entry, out);
        }
        let proposed = self.proposed.remove(&entry.index);
        let Some(Proposed { term, asker, submit }) = proposed else { return };
        if term != entry.term {
            return self.not_leader(&asker.vm, Some(asker.operation), out);
        }
        let result = match (applied, submit) {
            (Applied::Config(result), Some(submit)) => self.config_result(&submit, result),
            (Applied::Claim(result), _) => OperationResult::Claim(claim_reply(result)),
            _ => OperationResult::Settled(Done {}),
        };
        reply(&asker, result, out);
        self.next_submission(clocks, out);
    }

    /// An accepted configuration goes to every daemon at once.
    fn accepted(&mut self, entry: &Entry, out: &mut Outbox) {
        let Some(Payload::Command(bytes)) = &entry.payload else { return };
        let command = <Command as prost::Message>::decode(bytes.clone());
        let Ok(Command { kind: Some(command::Kind::Config(change)) }) = command else { return };
        self.updates.push(change.clone());
        if !self.leads() {
            return;
        }
        self.update_config(&change);
        let behind = self.daemons.iter().filter(|(_, d)| d.version == change.base);
        let behind: Vec<VmName> = behind.map(|(vm, _)| vm.clone()).collect();
        for vm in &behind {
            out.send(vm, Body::Update(change.clone()));
        }
        out.push(Output::SentChange(SentChange::new(&change, behind, false)));
    }

    /// Brings an accepted configuration into the scheduler.
    fn update_config(&mut self, change: &ConfigChange) {
        let delta = EncodedDelta::read(change.delta.clone()).unwrap_or_default();
        let document = self.state.document();
        let config = match &self.config {
            Some(config) => config.updated(ACCEPTED, document, &delta),
            None => Config::check(ACCEPTED, document),
        };
        let Ok(config) = config else { return };
        let endpoints_changed =
            self.config.as_ref().is_none_or(|old| old.endpoints != config.endpoints);
        self.config = Some(config);
        if endpoints_changed {
            self.configure_dispatcher();
        }
    }

    fn judge_leadership(&mut self, now: Instant, out: &mut Outbox) {
        let leads = self.replica.is_established();
        if leads == self.dispatcher.is_some() {
            return;
        }
        if leads {
            self.config = Config::check(ACCEPTED, self.state.document()).ok();
            self.dispatcher = Some(Dispatcher::new(self.disabled, now));
            self.configure_dispatcher();
            return;
        }
        self.dispatcher = None;
        self.config = None;
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
