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
    fetching::{Fetching, Taken},
};
use crate::{
    config::{CheckedDocument, Config, ContentHash, Delta, Document},
    state::{AcceptedChange, ConfigChange, EncodedDelta, State},
    units::Instant,
    wire::{Piece, Update},
};

/// Stands for a file's name where an accepted configuration is checked again.
const ACCEPTED: &str = "accepted configuration";
/// Pause after a change was fetched that cannot come into force, so that a daemon which takes no
/// change asks for a whole document no more than a few times a second.
const FETCH_AGAIN: Duration = Duration::from_millis(250);

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
    fn after(&self, detours: usize) -> Option<VmName> {
        let mut sources: Vec<&VmName> =
            self.replicas.iter().filter(|vm| self.links.contains(*vm)).collect();
        sources.sort_by_cached_key(|vm| {
            let mut hasher = DefaultHasher::new();
            (&self.vm, vm).hash(&mut hasher);
            hasher.finish()
        });
        let at = detours.checked_rem(sources.len())?;
        sources.get(at).map(|vm| (*vm).clone())
    }
}

/// The configuration in force and what is missing.
pub(super) struct ConfigStore {
    active_config: Option<Arc<ActiveConfig>>,
    /// Whether this VM has a control replica, which brings it what is accepted.
    is_control: bool,
    /// The newest version that a leader has told of.
    newest: u64,
    /// The version that was current at the first confirmation in this life of the daemon: an
    /// older one may be older than what was in force before its start.
    oldest_allowed: Option<u64>,
    /// A version that this release does not take; a newer one may do.
    refused: Option<u64>,
    fetching: Option<Fetching>,
    /// How often another control VM had to be asked.
    detours: usize,
    /// Nothing is fetched before this.
    fetch_again: Instant,
}

impl ConfigStore {
    pub(super) fn new(now: Instant) -> ConfigStore {
        ConfigStore {
            active_config: None,
            is_control: false,
            newest: 0,
            oldest_allowed: None,
            refused: None,
            fetching: None,
            detours: 0,
            fetch_again: now,
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
        self.is_control = true;
    }

    /// A leader has confirmed that this version was current at some moment of this daemon's life.
    pub(super) fn confirmed_current(&mut self, version: u64) {
        self.oldest_allowed.get_or_insert(version);
        self.newest = self.newest.max(version);
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
        self.newest = self.newest.max(version);
        let current = self.version_hash().version;
        if version <= current || self.is_control {
            return false;
        }
        let delta = delta.filter(|_| id.base == current).map(EncodedDelta::read);
        let taken = match delta {
            Some(Ok(delta)) => self.apply(AcceptedChange { id, delta }, out),
            Some(Err(_)) => {
                out.push(Output::ConfigRejected { version, reason: "it cannot be read" });
                false
            }
            None => false,
        };
        self.fetch_if_missing(sources, now, out);
        taken
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
        let Some(fetching) = &mut self.fetching else { return false };
        let version = piece.change.version;
        let change = match fetching.take(piece, now, out) {
            Taken::Part => return false,
            Taken::Broken => {
                out.push(Output::ConfigRejected {
                    version,
                    reason: "a piece of it cannot be read",
                });
                None
            }
            Taken::Whole(change) => Some(change),
        };
        self.fetching = None;
        let taken = change.is_some_and(|change| self.apply(change, out));
        if !taken {
            // That control VM is behind, or this release does not take the change.
            self.detours += 1;
            self.fetch_again = now.after(FETCH_AGAIN);
        }
        self.fetch_if_missing(sources, now, out);
        taken
    }

    /// Takes what this VM's own control replica knows to be accepted. Returns whether it came
    /// into force.
    pub(super) fn load_accepted(&mut self, state: &State, out: &mut Outbox) -> bool {
        if !self.is_allowed(state.version()) {
            return false;
        }
        let nothing = Document::default();
        let before = self.active_config.as_ref().map_or(&nothing, |f| &f.document);
        let delta = before.delta_to(state.document());
        let version = VersionHash { version: state.version(), hash: state.hash() };
        self.put_in_force(version, state.document().clone(), &delta, out)
    }

    /// Fetches the change that follows the version in force, if there is a newer one.
    pub(super) fn fetch_if_missing(
        &mut self,
        sources: &ConfigSources,
        now: Instant,
        out: &mut Outbox,
    ) {
        let known = self.version_hash().version.max(self.refused.unwrap_or_default());
        // No change leads on from a version that is refused; a whole document may.
        let base = if self.refused.is_some() { 0 } else { known };
        self.fetching.take_if(|fetching| fetching.base() != base);
        // Before the first confirmation nothing may come into force.
        let is_known = self.active_config.is_some() || self.oldest_allowed.is_some();
        let is_missing = is_known && known < self.newest && !self.is_control;
        if !is_missing || self.fetching.is_some() || now < self.fetch_again {
            return;
        }
        if let Some(source) = sources.after(self.detours) {
            self.fetching = Some(Fetching::begin(source, base, now, out));
        }
    }

    /// A control VM cannot be reached any more.
    pub(super) fn source_lost(
        &mut self,
        vm: &VmName,
        sources: &ConfigSources,
        now: Instant,
        out: &mut Outbox,
    ) {
        if self.fetching.as_ref().is_some_and(|fetching| fetching.from() == vm) {
            self.fetch_elsewhere(sources, now, out);
        }
    }

    /// When [`ConfigStore::tick`] next has something to do.
    pub(super) fn next_tick(&self) -> Option<Instant> {
        self.fetching.as_ref().map(Fetching::patience_ends)
    }

    pub(super) fn tick(&mut self, sources: &ConfigSources, now: Instant, out: &mut Outbox) {
        if self.next_tick().is_some_and(|at| at <= now) {
            self.fetch_elsewhere(sources, now, out);
        }
    }

    fn fetch_elsewhere(&mut self, sources: &ConfigSources, now: Instant, out: &mut Outbox) {
        self.detours += 1;
        match (&mut self.fetching, sources.after(self.detours)) {
            (Some(fetching), Some(source)) => fetching.go_on(source, now, out),
            _ => self.fetching = None,
        }
    }

    /// Whether a version may come into force here: versions only rise, also over restarts.
    fn is_allowed(&self, version: u64) -> bool {
        if self.refused == Some(version) {
            return false;
        }
        match &self.active_config {
            Some(active_config) => active_config.version < version,
            None => 0 < version && self.oldest_allowed.is_some_and(|oldest| oldest <= version),
        }
    }

    fn document(&self) -> Document {
        self.active_config.as_ref().map(|f| f.document.clone()).unwrap_or_default()
    }

    /// Brings a change into force if it goes on from what is, or is a whole document.
    fn apply(&mut self, change: AcceptedChange, out: &mut Outbox) -> bool {
        let AcceptedChange { id, delta } = change;
        let goes_on = id.base == self.version_hash().version;
        if !self.is_allowed(id.version) || (!goes_on && id.base != 0) {
            return false;
        }
        let mut document = if goes_on { self.document() } else { Document::default() };
        document.apply(&delta);
        let hash = document.content_hash();
        if hash.0[..] != id.hash[..] {
            let reason = "its content is not what its hash says";
            out.push(Output::ConfigRejected { version: id.version, reason });
            return false;
        }
        let delta = if goes_on { delta } else { self.document().delta_to(&document) };
        self.put_in_force(VersionHash { version: id.version, hash }, document, &delta, out)
    }

    /// Brings a document into force, which the delta makes of the one before.
    fn put_in_force(
        &mut self,
        version: VersionHash,
        document: Document,
        delta: &Delta,
        out: &mut Outbox,
    ) -> bool {
        // It was checked when it was submitted; a daemon of another release may still refuse
        // it, and then shows itself stale.
        let config = match &self.active_config {
            Some(before) => before.config.updated(ACCEPTED, &document, delta),
            None => Config::check(ACCEPTED, &document),
        };
        let VersionHash { version, hash } = version;
        let Ok(config) = config else {
            self.refused = Some(version);
            out.push(Output::ConfigRejected { version, reason: "this release does not take it" });
            return false;
        };
        self.refused = None;
        self.active_config = Some(Arc::new(ActiveConfig { version, hash, document, config }));
        self.newest = self.newest.max(version);
        true
    }
}
