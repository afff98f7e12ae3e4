//! Holds the configuration in force and brings newer ones in.
//!
//! A small change comes with the leader's word that it was accepted. What is missing otherwise is
//! fetched from a control VM in pieces. On a control VM it comes from its own replica.

use std::{
    collections::BTreeSet,
    hash::{DefaultHasher, Hash, Hasher},
    sync::Arc,
    time::Duration,
};

use super::{
    Outbox, Output, VersionHash, VmName,
    config_fetch::{ConfigFetch, PieceOutcome},
};
use crate::{
    config::{CheckedDocument, Config, ContentHash, Delta, Document},
    state::{AcceptedChange, ConfigChange, EncodedDelta, State},
    units::Instant,
    wire::{Piece, Update},
};

/// Stands for a file's name where an accepted configuration is checked again.
const ACCEPTED_CONFIG_NAME: &str = "accepted configuration";
/// Pause after a change was fetched that cannot come into force, so that a daemon which takes no
/// change asks for a whole document no more than a few times a second.
const FETCH_RETRY_DELAY: Duration = Duration::from_millis(250);

/// A configuration in force.
#[derive(Debug)]
pub struct ActiveConfig {
    /// Its version.
    pub version: u64,
    /// Hash of its document.
    pub hash: ContentHash,
    /// The document.
    pub document: Document,
    /// The checked configuration.
    pub config: Config,
}

impl CheckedDocument {
    /// The change that makes it of what is in force, if anything is.
    pub fn change_from(&self, active_config: Option<&ActiveConfig>) -> ConfigChange {
        let nothing = Document::default();
        let (base, before) = active_config.map_or((0, &nothing), |f| (f.version, &f.document));
        ConfigChange::new(self.version(), base, before, self.document())
    }
}

/// The control VMs that a daemon may ask.
pub(super) struct ConfigSources {
    /// The daemon's own VM.
    pub(super) vm: VmName,
    /// All control VMs.
    pub(super) replicas: Vec<VmName>,
    /// VMs that are linked.
    pub(super) links: BTreeSet<VmName>,
}

impl ConfigSources {
    pub(super) fn new(vm: &VmName, replicas: &[VmName]) -> ConfigSources {
        ConfigSources { vm: vm.clone(), replicas: replicas.to_vec(), links: BTreeSet::new() }
    }

    /// The control VM to fetch from, after so many others. Each daemon prefers them in an order of
    /// its own, so that all control VMs share the work for a fleet.
    fn nth_preferred(&self, sources_skipped: usize) -> Option<VmName> {
        let mut sources: Vec<&VmName> =
            self.replicas.iter().filter(|vm| self.links.contains(*vm)).collect();
        sources.sort_by_cached_key(|vm| {
            let mut hasher = DefaultHasher::new();
            (&self.vm, vm).hash(&mut hasher);
            hasher.finish()
        });
        let at = sources_skipped.checked_rem(sources.len())?;
        sources.get(at).map(|vm| (*vm).clone())
    }
}

/// The configuration in force and what is missing.
pub(super) struct ConfigStore {
    active_config: Option<Arc<ActiveConfig>>,
    /// Whether this VM has a control replica, which brings it what is accepted.
    has_local_replica: bool,
    /// The newest version that a leader has told of.
    newest_known: u64,
    /// The version that was current at the first confirmation in this life of the daemon: an
    /// older one may be older than what was in force before its start.
    min_version: Option<u64>,
    /// A version that this release does not take; a newer one may do.
    rejected_version: Option<u64>,
    fetch: Option<ConfigFetch>,
    /// How often another control VM had to be asked.
    sources_skipped: usize,
    /// Nothing is fetched before this.
    next_fetch_at: Instant,
}

impl ConfigStore {
    pub(super) fn new(now: Instant) -> ConfigStore {
        ConfigStore {
            active_config: None,
            has_local_replica: false,
            newest_known: 0,
            min_version: None,
            rejected_version: None,
            fetch: None,
            sources_skipped: 0,
            next_fetch_at: now,
        }
    }

    pub(super) fn active_config(&self) -> Option<&Arc<ActiveConfig>> {
        self.active_config.as_ref()
    }

    pub(super) fn version_hash(&self) -> VersionHash {
        let of = |f: &Arc<ActiveConfig>| VersionHash { version: f.version, hash: f.hash };
        self.active_config.as_ref().map(of).unwrap_or_default()
    }

    /// From now on what is accepted comes from this VM's own control replica.
    pub(super) fn use_local_replica(&mut self) {
        self.has_local_replica = true;
    }

    /// A leader has confirmed that this version was current at some moment of this daemon's life.
    pub(super) fn on_version_confirmed(&mut self, version: u64) {
        self.min_version.get_or_insert(version);
        self.newest_known = self.newest_known.max(version);
    }

    /// Takes a leader's word that a version was accepted, and what it changes if that comes with
    /// it. Returns whether it came into force.
    pub(super) fn update(
        &mut self,
        update: Update,
        sources: &ConfigSources,
        now: Instant,
        out: &mut Outbox,
    ) -> bool {
        let Update { change: id, delta } = update;
        let version = id.version;
        self.newest_known = self.newest_known.max(version);
        let current = self.version_hash().version;
        if version <= current || self.has_local_replica {
            return false;
        }
        let delta = delta.filter(|_| id.base == current).map(EncodedDelta::read);
        let activated = match delta {
            Some(Ok(delta)) => self.apply(AcceptedChange { id, delta }, out),
            Some(Err(_)) => {
                out.push(Output::ConfigRejected { version, reason: "it cannot be read" });
                false
            }
            None => false,
        };
        self.fetch_if_missing(sources, now, out);
        activated
    }

    /// Takes a piece of the change that is being fetched, also from a control VM that was given up
    /// meanwhile. Returns whether a configuration came into force.
    pub(super) fn piece(
        &mut self,
        piece: Piece,
        sources: &ConfigSources,
        now: Instant,
        out: &mut Outbox,
    ) -> bool {
        let Some(fetch) = &mut self.fetch else { return false };
        let version = piece.change.version;
        let change = match fetch.on_piece(piece, now, out) {
            PieceOutcome::Partial => return false,
            PieceOutcome::Invalid => {
                out.push(Output::ConfigRejected {
                    version,
                    reason: "a piece of it cannot be read",
                });
                None
            }
            PieceOutcome::Complete(change) => Some(change),
        };
        self.fetch = None;
        let activated = change.is_some_and(|change| self.apply(change, out));
        if !activated {
            // That control VM is behind, or this release does not take the change.
            self.sources_skipped += 1;
            self.next_fetch_at = now.after(FETCH_RETRY_DELAY);
        }
        self.fetch_if_missing(sources, now, out);
        activated
    }

    /// Takes what this VM's own control replica knows to be accepted. Returns whether it came
    /// into force.
    pub(super) fn load_accepted(&mut self, state: &State, out: &mut Outbox) -> bool {
        if !self.may_activate(state.version()) {
            return false;
        }
        let nothing = Document::default();
        let before = self.active_config.as_ref().map_or(&nothing, |f| &f.document);
        let delta = before.delta_to(state.document());
        let version = VersionHash { version: state.version(), hash: state.hash() };
        self.activate(version, state.document().clone(), &delta, out)
    }

    /// Fetches the change that follows the version in force, if there is a newer one.
    pub(super) fn fetch_if_missing(
        &mut self,
        sources: &ConfigSources,
        now: Instant,
        out: &mut Outbox,
    ) {
        let known = self.version_hash().version.max(self.rejected_version.unwrap_or_default());
        // No change leads on from a version that is refused; a whole document may.
        let base = if self.rejected_version.is_some() { 0 } else { known };
        self.fetch.take_if(|fetch| fetch.base() != base);
        // Before the first confirmation nothing may come into force.
        let is_known = self.active_config.is_some() || self.min_version.is_some();
        let is_missing = is_known && known < self.newest_known && !self.has_local_replica;
        if !is_missing || self.fetch.is_some() || now < self.next_fetch_at {
            return;
        }
        if let Some(source) = sources.nth_preferred(self.sources_skipped) {
            self.fetch = Some(ConfigFetch::start(source, base, now, out));
        }
    }

    /// A control VM cannot be reached any more.
    pub(super) fn on_source_lost(
        &mut self,
        vm: &VmName,
        sources: &ConfigSources,
        now: Instant,
        out: &mut Outbox,
    ) {
        if self.fetch.as_ref().is_some_and(|fetch| fetch.from() == vm) {
            self.fetch_from_next_source(sources, now, out);
        }
    }

    /// When [`ConfigStore::tick`] next has something to do.
    pub(super) fn next_tick(&self) -> Option<Instant> {
        self.fetch.as_ref().map(ConfigFetch::timeout_at)
    }

    pub(super) fn tick(&mut self, sources: &ConfigSources, now: Instant, out: &mut Outbox) {
        if self.next_tick().is_some_and(|at| at <= now) {
            self.fetch_from_next_source(sources, now, out);
        }
    }

    fn fetch_from_next_source(&mut self, sources: &ConfigSources, now: Instant, out: &mut Outbox) {
        self.sources_skipped += 1;
        match (&mut self.fetch, sources.nth_preferred(self.sources_skipped)) {
            (Some(fetch), Some(source)) => fetch.switch_source(source, now, out),
            _ => self.fetch = None,
        }
    }

    /// Whether a version may come into force here: versions only rise, also over restarts.
    fn may_activate(&self, version: u64) -> bool {
        if self.rejected_version == Some(version) {
            return false;
        }
        match &self.active_config {
            Some(active_config) => active_config.version < version,
            None => 0 < version && self.min_version.is_some_and(|oldest| oldest <= version),
        }
    }

    fn document(&self) -> Document {
        self.active_config.as_ref().map(|f| f.document.clone()).unwrap_or_default()
    }

    /// Brings a change into force if it goes on from what is, or is a whole document.
    fn apply(&mut self, change: AcceptedChange, out: &mut Outbox) -> bool {
        let AcceptedChange { id, delta } = change;
        let is_incremental = id.base == self.version_hash().version;
        if !self.may_activate(id.version) || (!is_incremental && id.base != 0) {
            return false;
        }
        let mut document = if is_incremental { self.document() } else { Document::default() };
        document.apply(&delta);
        let hash = document.content_hash();
        if hash.0[..] != id.hash[..] {
            let reason = "its content is not what its hash says";
            out.push(Output::ConfigRejected { version: id.version, reason });
            return false;
        }
        let delta = if is_incremental { delta } else { self.document().delta_to(&document) };
        self.activate(VersionHash { version: id.version, hash }, document, &delta, out)
    }

    /// Brings a document into force, which the delta makes of the one before.
    fn activate(
        &mut self,
        version: VersionHash,
        document: Document,
        delta: &Delta,
        out: &mut Outbox,
    ) -> bool {
        // It was checked when it was submitted; a daemon of another release may still refuse
        // it, and then shows itself stale.
        let config = match &self.active_config {
            Some(before) => before.config.updated(ACCEPTED_CONFIG_NAME, &document, delta),
            None => Config::check(ACCEPTED_CONFIG_NAME, &document),
        };
        let VersionHash { version, hash } = version;
        let Ok(config) = config else {
            self.rejected_version = Some(version);
            out.push(Output::ConfigRejected { version, reason: "this release does not take it" });
            return false;
        };
        self.rejected_version = None;
        self.active_config = Some(Arc::new(ActiveConfig { version, hash, document, config }));
        self.newest_known = self.newest_known.max(version);
        true
    }
}
