//! Finds out when endpoints can be reached directly again.

use std::{rc::Weak, time::Duration};

use trayswitch_core::{reachability::ReachabilityTracker, registry::RegisteredEndpoint};

use crate::relay::Relay;

/// Interval between connection attempts to unreachable endpoints.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);
/// The same after one has succeeded, since others likely do as well.
const RECOVERY_PROBE_INTERVAL: Duration = Duration::from_millis(20);

/// Connects to unreachable endpoints from time to time, so that they are used directly again.
pub(in crate::relay) fn spawn_probes(relay: Weak<Relay>) {
    tokio::task::spawn_local(async move {
        let mut pause = PROBE_INTERVAL;
        loop {
            tokio::time::sleep(pause).await;
            let Some(relay) = relay.upgrade() else { return };
            let has_recovered = match relay.next_probe() {
                Some(endpoint) => {
                    relay.connect(&endpoint, relay.options.connect_timeout).await.is_ok()
                }
                None => false,
            };
            pause = if has_recovered { RECOVERY_PROBE_INTERVAL } else { PROBE_INTERVAL };
        }
    });
}

impl Relay {
    /// The next unreachable endpoint to probe.
    fn next_probe(&self) -> Option<RegisteredEndpoint> {
        let view = self.node.view();
        let is_current = |id: &str, started_at: u64| {
            view.endpoint(id).is_some_and(|known| known.started_at == started_at && known.available)
        };
        let mut next = None;
        self.update_reachability(|tracker: &mut ReachabilityTracker| {
            next = tracker.next_probe(is_current);
        });
        next.and_then(|id| view.endpoint(&id))
    }
}
