//! Serves requests of daemons: polls, configuration fetches and operations on the replicated state.

use bytes::Bytes;

use super::{ControlReplica, PendingProposal, ReplyTo, daemons::DaemonState};
use crate::{
    agreement::ConfirmedRead,
    config::ContentHash,
    node::{Clocks, Outbox, VmName},
    once::ClaimResult,
    quarantine::SuspectCacheState,
    state::{Command, ConfigChange, ConfigResult, HallResult, command},
    units::Instant,
    wire::{
        AcceptedVersion, Body, ClaimReply, ClaimStatus, Fetch, HallReply, HallStatus, NotLeader,
        Operation, OperationKind, OperationReply, OperationResult, Poll, PollReply, Submit,
    },
};

impl ControlReplica {
    /// Registers a poll; it is answered once a quorum confirms that this replica still leads.
    pub(super) fn on_poll(&mut self, from: &VmName, poll: Poll, clocks: Clocks, out: &mut Outbox) {
        if !self.leads() {
            return self.reply_not_leader(from, None, out);
        }
        let before = self.daemons.get(from).and_then(|daemon| daemon.stopping_since);
        let daemon = DaemonState {
            version: poll.version,
            last_poll: clocks.now,
            takes_callers: poll.takes_callers,
            accepts_forwarded: poll.accepts_forwarded && !poll.stopping,
            suspects: SuspectCacheState { revision: poll.suspects, initializing: poll.filling },
            stopping_since: poll.stopping.then(|| before.unwrap_or(clocks.now)),
        };
        self.daemons.on_poll(from, daemon, &poll.hall, clocks.now);
        self.last_read_token += 1;
        self.pending_polls.insert(self.last_read_token, (from.clone(), poll));
        self.replica.read(self.last_read_token, clocks.now);
        self.process_ready(clocks, out);
    }

    /// Answers a poll that a quorum has confirmed.
    pub(super) fn answer_poll(&mut self, read: ConfirmedRead, now: Instant, out: &mut Outbox) {
        let Some((vm, poll)) = self.pending_polls.remove(&read.token) else { return };
        let entries = self.daemons.entries(now);
        let daemons = self.daemons.live(now).len() as u64;
        let forwarders = self.daemons.next_forwarders(&vm, &poll.hall, now);
        let slow = self.dispatcher.as_mut().map(|dispatcher| dispatcher.next_slow_endpoints(now));
        let limits = self.dispatcher.as_mut().map(|dispatcher| dispatcher.next_rate_limits(now));
        let reply = PollReply {
            nonce: poll.nonce,
            version: self.state.version(),
            hash: Bytes::copy_from_slice(&self.state.hash().0),
            term: self.replica.term(),
            daemons,
            taking: entries.accepting,
            stopping: entries.stopping,
            slow: slow.unwrap_or_default(),
            halls: Some(self.state.halls_out().clone()),
            suspects: self.suspect_news_for(&vm),
            limits: limits.unwrap_or_default(),
            near_forwarders: forwarders.near,
            far_forwarders: forwarders.far,
        };
        out.send(&vm, Body::PollReply(reply));
    }

    /// Starts to send a change. A fetch of a version that this replica has not applied yet waits for it:
    /// followers apply entries slightly later than the leader.
    pub(super) fn on_fetch(&mut self, from: &VmName, fetch: Fetch, now: Instant, out: &mut Outbox) {
        self.config_streams.start(from, fetch);
        self.send_pieces(from, now, out);
    }

    /// Goes on with a change once the link has taken a piece of it.
    pub(crate) fn on_piece_written(&mut self, vm: &VmName, now: Instant, out: &mut Outbox) {
        self.config_streams.on_written(vm);
        self.send_pieces(vm, now, out);
    }

    /// Answers the fetches that waited for the version applied last.
    pub(super) fn answer_waiting_fetches(&mut self, now: Instant, out: &mut Outbox) {
        for vm in self.config_streams.waiting() {
            self.send_pieces(&vm, now, out);
        }
    }

    fn send_pieces(&mut self, vm: &VmName, now: Instant, out: &mut Outbox) {
        self.config_streams.send(vm, &mut self.config_changes, &self.state, now, out);
    }

    /// Proposes the command for an operation.
    pub(super) fn on_operation(
        &mut self,
        from: &VmName,
        operation: Operation,
        clocks: Clocks,
        out: &mut Outbox,
    ) {
        let reply_to = ReplyTo { vm: from.clone(), operation: operation.id };
        if !self.leads() {
            return self.reply_not_leader(from, Some(operation.id), out);
        }
        let kind = match operation.kind {
            Some(OperationKind::Submit(submit)) => {
                self.submissions.push_back((reply_to, submit));
                self.propose_next_submission(clocks, out);
                return self.process_ready(clocks, out);
            }
            Some(OperationKind::Claim(claim)) => command::Kind::Claim(claim),
            Some(OperationKind::Settle(settle)) => command::Kind::Settle(settle),
            Some(OperationKind::Hall(order)) => command::Kind::Hall(order),
            Some(OperationKind::Ended(ended)) => command::Kind::Ended(ended),
            Some(OperationKind::Clear(clear)) => command::Kind::Clear(clear),
            None => return,
        };
        self.propose(reply_to, kind, None, clocks, out);
        self.process_ready(clocks, out);
    }

    /// Proposes the next submitted file. Only one is in flight at a time, since each is a delta on its
    /// predecessor.
    pub(super) fn propose_next_submission(&mut self, clocks: Clocks, out: &mut Outbox) {
        if self.proposals.values().any(|proposal| proposal.submit.is_some()) {
            return;
        }
        while let Some((reply_to, submit)) = self.submissions.pop_front() {
            match self.validate_submission(&submit) {
                Ok(command) => {
                    let kind = command::Kind::Config(command);
                    return self.propose(reply_to, kind, Some(submit), clocks, out);
                }
                Err(result) => send_reply(&reply_to, result, out),
            }
        }
    }

    /// The change to propose for a submitted file, or the result if there is nothing to propose.
    fn validate_submission(&self, submit: &Submit) -> Result<ConfigChange, OperationResult> {
        let command = &submit.command;
        let hash = ContentHash::from_slice(&command.hash).unwrap_or_default();
        match self.state.judge(command.version, hash) {
            ConfigResult::Accepted if command.base == self.state.version() => Ok(command.clone()),
            ConfigResult::Accepted => Err(OperationResult::Rebase(self.state.version())),
            result => Err(self.config_result(submit, result)),
        }
    }

    /// Translates the state machine's verdict on a submitted file for the daemon that sent it.
    pub(super) fn config_result(&self, submit: &Submit, result: ConfigResult) -> OperationResult {
        let Submit { file, command, or_newer } = submit;
        let version = command.version;
        match result {
            ConfigResult::OtherContent { .. } | ConfigResult::TooLow { .. } if *or_newer => {
                OperationResult::Accepted(AcceptedVersion {
                    version,
                    hash: Bytes::copy_from_slice(&self.state.hash().0),
                    repeated: true,
                    current: self.state.version(),
                })
            }
            ConfigResult::Accepted | ConfigResult::Repeated => {
                let repeated = result == ConfigResult::Repeated;
                OperationResult::Accepted(AcceptedVersion {
                    version,
                    hash: command.hash.clone(),
                    repeated,
                    current: self.state.version(),
                })
            }
            ConfigResult::OtherContent { winner } => OperationResult::RefusedFile(format!(
                "{file}: [deployment] version: version {version} was already accepted with other \
                 content (hash {winner}); fetch it with `trayswitch config show` and submit a \
                 higher version"
            )),
            ConfigResult::TooLow { current } => OperationResult::RefusedFile(format!(
                "{file}: [deployment] version: {version} is lower than the accepted version \
                 {current}; submit a higher one"
            )),
            ConfigResult::Rebase => OperationResult::Rebase(self.state.version()),
        }
    }

    /// Proposes a command; its result is sent once the entry is applied.
    fn propose(
        &mut self,
        reply_to: ReplyTo,
        kind: command::Kind,
        submit: Option<Submit>,
        clocks: Clocks,
        out: &mut Outbox,
    ) {
        let payload = Command::payload(kind);
        match self.replica.propose(payload, clocks.wall, clocks.now) {
            Ok(index) => {
                let term = self.replica.term();
                self.proposals.insert(index, PendingProposal { term, reply_to, submit });
            }
            Err(_) => self.reply_not_leader(&reply_to.vm.clone(), Some(reply_to.operation), out),
        }
    }

    /// Tells a daemon that this replica does not lead, and which VM does, if known.
    pub(super) fn reply_not_leader(&self, to: &VmName, operation: Option<u64>, out: &mut Outbox) {
        let leader = self.replica.leader().filter(|id| *id != self.replica.id());
        let leader = leader.and_then(|id| self.vm_of(id)).map(|vm| vm.to_string());
        out.send(to, Body::NotLeader(NotLeader { leader, operation }));
    }
}

pub(super) fn send_reply(reply_to: &ReplyTo, result: OperationResult, out: &mut Outbox) {
    let reply = OperationReply { id: reply_to.operation, result: Some(result) };
    out.send(&reply_to.vm, Body::OperationReply(reply));
}

pub(super) fn encode_claim_reply(result: ClaimResult) -> ClaimReply {
    let (status, answer) = match result {
        ClaimResult::Granted => (ClaimStatus::Granted, None),
        ClaimResult::InProgress => (ClaimStatus::InProgress, None),
        ClaimResult::Stored(answer) => (ClaimStatus::Stored, Some(answer)),
        ClaimResult::Unknown => (ClaimStatus::Unknown, None),
        ClaimResult::KeyReused => (ClaimStatus::KeyReused, None),
        ClaimResult::KeyExpired => (ClaimStatus::KeyExpired, None),
    };
    ClaimReply { status: status.into(), answer }
}

pub(super) fn encode_hall_reply(result: HallResult) -> HallReply {
    let status = match result {
        HallResult::Done => HallStatus::Done,
        HallResult::Repeated => HallStatus::Repeated,
        HallResult::Overtaken => HallStatus::Overtaken,
        HallResult::TooMany => HallStatus::TooMany,
    };
    HallReply { status: status.into() }
}
