//! What requests read of the node without asking it.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet, HashMap},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use tokio::sync::watch;
use trayswitch_clock as clock;
use trayswitch_core::{
    node::{ActiveConfig, CallId, EntryDaemons, Forwarders},
    registry::{EndpointChanges, RegisteredEndpoint},
    units::Instant,
};

/// State shared with requests.
#[derive(Default)]
pub struct View {
    active_config: RefCell<Option<Arc<ActiveConfig>>>,
    endpoints: RefCell<HashMap<Arc<str>, RegisteredEndpoint>>,
    by_service: RefCell<BTreeMap<Arc<str>, BTreeSet<Arc<str>>>>,
    confirmed: Cell<Option<Instant>>,
    fresh: Cell<bool>,
    /// When the daemon will have ended, once a planned stop has begun.
    ends: watch::Sender<Option<clock::Instant>>,
    daemons: Cell<u64>,
    entries: Cell<EntryDaemons>,
    forwarders: RefCell<Forwarders>,
    calls: Cell<u64>,
}

impl View {
    /// The configuration in force, if any.
    pub fn active_config(&self) -> Option<Arc<ActiveConfig>> {
        self.active_config.borrow().clone()
    }

    /// When the configuration in force was last known to be current.
    pub fn confirmed(&self) -> Option<Instant> {
        self.confirmed.get()
    }

    /// Whether that was recent enough when the node last looked.
    pub fn fresh(&self) -> bool {
        self.fresh.get()
    }

    /// The endpoint of this name.
    pub fn endpoint(&self, id: &str) -> Option<RegisteredEndpoint> {
        self.endpoints.borrow().get(id).cloned()
    }

    /// The endpoint at this address.
    pub(crate) fn endpoint_at(&self, address: SocketAddr) -> Option<RegisteredEndpoint> {
        let endpoints = self.endpoints.borrow();
        endpoints.values().find(|endpoint| endpoint.address == address).cloned()
    }

    /// The endpoints of a service that may get new work.
    pub fn open_endpoints(&self, service: &str) -> Vec<RegisteredEndpoint> {
        let endpoints = self.endpoints.borrow();
        let by_service = self.by_service.borrow();
        let ids = by_service.get(service).into_iter().flatten();
        ids.filter_map(|id| endpoints.get(id)).filter(|e| e.available).cloned().collect()
    }

    /// Any endpoint that may get new work and `is_wanted`.
    pub(crate) fn sample_endpoint(
        &self,
        is_wanted: impl Fn(&RegisteredEndpoint) -> bool,
    ) -> Option<RegisteredEndpoint> {
        let endpoints = self.endpoints.borrow();
        let wanted = endpoints.values().filter(|e| e.available && is_wanted(e));
        fastrand::choice(wanted.collect::<Vec<_>>()).cloned()
    }

    /// Whether all endpoints of a service are in data halls that are out of service.
    pub fn is_out_of_service(&self, service: &str) -> bool {
        let endpoints = self.endpoints.borrow();
        let by_service = self.by_service.borrow();
        let ids = by_service.get(service).into_iter().flatten();
        let mut known = ids.filter_map(|id| endpoints.get(id)).peekable();
        known.peek().is_some() && known.all(|endpoint| endpoint.hall_out)
    }

    /// Whether callers should be sent here.
    pub fn ready(&self) -> bool {
        !self.stopping() && self.fresh.get() && self.active_config.borrow().is_some()
    }

    /// Begins a planned stop: unready, but still serving until the daemon ends.
    pub fn begin_stop(&self, ends: clock::Instant) {
        self.ends.send_replace(Some(ends));
    }

    /// Waits until a planned stop has begun; returns when the daemon will have ended.
    pub(crate) async fn wait_for_stop(&self) -> clock::Instant {
        let mut ends = self.ends.subscribe();
        let begun = ends.wait_for(Option::is_some).await;
        begun.ok().and_then(|ends| *ends).expect("the view holds the sender")
    }

    /// Time until the daemon ends, once a planned stop has begun.
    pub fn time_to_end(&self) -> Option<Duration> {
        self.ends.borrow().map(|ends| ends.saturating_duration_since(clock::Instant::now()))
    }

    /// The chance that a caller who is sent away from this stopping daemon comes to one that goes
    /// on, if callers are spread evenly; none while no leader has told.
    pub(crate) fn chance_elsewhere(&self) -> f64 {
        let EntryDaemons { accepting, stopping } = self.entries.get();
        // This daemon is one of those that stop.
        let others = accepting + stopping.saturating_sub(1);
        if others == 0 { 0.0 } else { accepting as f64 / others as f64 }
    }

    /// Whether a planned stop has begun.
    pub fn stopping(&self) -> bool {
        self.ends.borrow().is_some()
    }

    /// Number of daemons that the leader hears; zero while not known.
    pub fn daemons(&self) -> u64 {
        self.daemons.get()
    }

    /// Some daemons that take requests which this one cannot send to their endpoints.
    pub(crate) fn forwarders(&self) -> Forwarders {
        self.forwarders.borrow().clone()
    }

    pub(super) fn set_forwarders(&self, forwarders: Forwarders) {
        *self.forwarders.borrow_mut() = forwarders;
    }

    /// A new id for a question. They start at a random number, so that the leader does not
    /// take a request of a restarted daemon for one of the daemon before.
    pub(crate) fn next_call(&self) -> CallId {
        let last = match self.calls.get() {
            0 => fastrand::u64(1..1 << 60),
            last => last,
        };
        self.calls.set(last + 1);
        CallId(last + 1)
    }

    pub(super) fn set_daemons(&self, daemons: u64, entries: EntryDaemons) {
        if 0 < daemons {
            self.daemons.set(daemons);
            self.entries.set(entries);
        }
    }

    pub(super) fn publish(&self, active_config: Arc<ActiveConfig>) {
        *self.active_config.borrow_mut() = Some(active_config);
    }

    /// Sets what is known of the configuration's age; returns whether it was fresh before.
    pub(super) fn set_confirmed(&self, fresh: bool, confirmed: Option<Instant>) -> bool {
        self.confirmed.set(confirmed);
        self.fresh.replace(fresh)
    }

    pub(super) fn update_endpoints(&self, changes: EndpointChanges) {
        let EndpointChanges { changed, removed } = changes;
        let mut endpoints = self.endpoints.borrow_mut();
        let mut by_service = self.by_service.borrow_mut();
        for id in removed {
            if let Some(endpoint) = endpoints.remove(&id) {
                remove_from_service(&mut by_service, &endpoint);
            }
        }
        for endpoint in changed {
            let known = endpoints.get(&endpoint.id);
            if known.is_none_or(|known| known.service != endpoint.service) {
                if let Some(known) = known {
                    remove_from_service(&mut by_service, known);
                }
                let ids = by_service.entry(endpoint.service.clone()).or_default();
                ids.insert(endpoint.id.clone());
            }
            endpoints.insert(endpoint.id.clone(), endpoint);
        }
    }
}

fn remove_from_service(
    by_service: &mut BTreeMap<Arc<str>, BTreeSet<Arc<str>>>,
    endpoint: &RegisteredEndpoint,
) {
    if let Some(ids) = by_service.get_mut(&endpoint.service) {
        ids.remove(&endpoint.id);
        if ids.is_empty() {
            by_service.remove(&endpoint.service);
        }
    }
}
