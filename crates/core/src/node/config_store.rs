//! Holds the active configuration and updates it.
//!
//! The leader's announcement of an accepted version includes its delta if that is small. Otherwise the
//! daemon fetches the change from a control VM. On a control VM, the local replica provides it.

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

/// Used as the file name when an accepted configuration is checked.
const ACCEPTED_CONFIG_NAME: &str = "accepted configuration";
/// Delay after fetching a change that could not be activated, so that a daemon which rejects changes
/// does not keep fetching the whole document.
const FETCH_RETRY_DELAY: Duration = Duration::from_millis(250);

/// A checked configuration that is active on this daemon.
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
    /// The change from the active configuration, or from an empty one, to this document.
    pub fn change_from(&self, active_config: Option<&ActiveConfig>) -> ConfigChange {
        let nothing = Document::default();
        let (base, before) = active_config.map_or((0, &nothing), |f| (f.version, &f.document));
        ConfigChange::new(self.version(), base, before, self.document())
    }
}

/// The control VMs that a daemon can fetch from.
pub(super) struct ConfigSources {
    /// The daemon's own VM.
    pub(super) vm: VmName,
    /// All control VMs.
    pub(super) replicas: Vec<VmName>,
    /// VMs with an established link.
    pub(super) links: BTreeSet<VmName>,
}

impl ConfigSources {
    pub(super) fn new(vm: &VmName, replicas: &[VmName]) -> ConfigSources {
        ConfigSources { vm: vm.clone(), replicas: replicas.to_vec(), links: BTreeSet::new() }
    }

    /// The control VM to fetch from after skipping this many. Each daemon orders them by its own hash,
    /// which spreads a fleet's fetches over all control VMs.
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

/// The active configuration and the fetch of a newer one.
pub(super) struct ConfigStore {
    active_config: Option<Arc<ActiveConfig>>,
    /// Whether accepted configurations come from a control replica on this VM.
    has_local_replica: bool,
    /// Newest version announced by a leader.
    newest_known: u64,
    /// The version confirmed first since the daemon started. An older one could roll back what was
    /// active before a restart.
    min_version: Option<u64>,
    /// A version that this release cannot use.
    rejected_version: Option<u64>,
    fetch: Option<ConfigFetch>,
    /// Number of times the source was changed.
    sources_skipped: usize,
    /// No fetch starts before this.
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

    /// From now on, accepted configurations come from the control replica on this VM.
    pub(super) fn use_local_replica(&mut self) {
        self.has_local_replica = true;
    }

    /// Handles a leader's confirmation that this version was current at some time since the daemon started.
    pub(super) fn on_version_confirmed(&mut self, version: u64) {
        self.min_version.get_or_insert(version);
        self.newest_known = self.newest_known.max(version);
    }

    /// Handles the leader's announcement of an accepted version. Returns whether it was activated.
    pub(super) fn on_update(
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

    /// Adds a piece to the current fetch, even if it comes from an earlier source. Returns whether a
    /// configuration was activated.
    pub(super) fn on_piece(
        &mut self,
        from: &VmName,
        piece: Piece,
        sources: &ConfigSources,
        now: Instant,
        out: &mut Outbox,
    ) -> bool {
        let Some(fetch) = &mut self.fetch else { return false };
        let version = piece.change.version;
        let change = match fetch.on_piece(from, piece, now, out) {
            PieceOutcome::Partial => return false,
            PieceOutcome::Invalid => {
                out.push(Output::ConfigRejected {
                    version,
                    reason: "a piece of it cannot be read",
                });
                None
            }
            PieceOutcome::Complete(change) => {
                out.push(Output::ConfigFetched(fetch.summary(now)));
                Some(change)
            }
        };
        self.fetch = None;
        let activated = change.is_some_and(|change| self.apply(change, out));
        if !activated {
            // The source is behind, or this release cannot use the change.
            self.sources_skipped += 1;
            self.next_fetch_at = now.after(FETCH_RETRY_DELAY);
        }
        self.fetch_if_missing(sources, now, out);
        activated
    }

    /// Activates the version accepted by the control replica on this VM if it is newer. Returns whether
    /// it was activated.
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

    /// Starts to fetch the change to the newest version if that is not active and no fetch is running.
    pub(super) fn fetch_if_missing(
        &mut self,
        sources: &ConfigSources,
        now: Instant,
        out: &mut Outbox,
    ) {
        let known = self.version_hash().version.max(self.rejected_version.unwrap_or_default());
        // Deltas do not apply on top of a rejected version, so the whole document is fetched.
        let base = if self.rejected_version.is_some() { 0 } else { known };
        if let Some(mut outdated) = self.fetch.take_if(|fetch| fetch.base() != base) {
            outdated.cancel(out);
        }
        // Nothing may be activated before the first confirmation.
        let is_known = self.active_config.is_some() || self.min_version.is_some();
        let is_missing = is_known && known < self.newest_known && !self.has_local_replica;
        if !is_missing || self.fetch.is_some() || now < self.next_fetch_at {
            return;
        }
        if let Some(source) = sources.nth_preferred(self.sources_skipped) {
            let at_least = (known + 1).max(self.min_version.unwrap_or_default());
            self.fetch = Some(ConfigFetch::start(source, base, at_least, now, out));
        }
    }

    /// Handles the loss of the link to a control VM.
    pub(super) fn on_source_lost(
        &mut self,
        vm: &VmName,
        sources: &ConfigSources,
        now: Instant,
        out: &mut Outbox,
    ) {
        let Some(fetch) = &mut self.fetch else { return };
        fetch.on_source_lost(vm);
        if fetch.tried_last() == vm {
            self.fetch_from_next_source(sources, now, out);
        }
    }

    /// Time in which this daemon did not run is no silence of a control VM.
    pub(super) fn on_held_up(&mut self, time: Duration, now: Instant) {
        if let Some(fetch) = &mut self.fetch {
            fetch.on_held_up(time, now);
        }
    }

    /// When [`ConfigStore::tick`] must be called next.
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
            (Some(fetch), Some(source)) => fetch.try_source(source, now, out),
            _ => self.fetch = None,
        }
    }

    /// Whether a version may be activated. Versions never decrease, not even across restarts.
    fn may_activate(&self, version: u64) -> bool {
        if self.rejected_version == Some(version) {
            return false;
        }
        match &self.active_config {
            Some(active_config) => active_config.version < version,
            None => 0 < version && self.min_version.is_some_and(|min| min <= version),
        }
    }

    fn document(&self) -> Document {
        self.active_config.as_ref().map(|f| f.document.clone()).unwrap_or_default()
    }

    /// Activates a change if it applies to the active version or is a whole document.
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

    /// Checks and activates a document; `delta` is its difference from the active one.
    fn activate(
        &mut self,
        version: VersionHash,
        document: Document,
        delta: &Delta,
        out: &mut Outbox,
    ) -> bool {
        // The document was checked on submission, but a daemon of another release may reject it. It
        // then reports its configuration as stale.
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
