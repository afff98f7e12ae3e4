//! Takes what endpoints say of themselves in the heads of their answers.
//!
//! Every answer comes by here, whatever was asked, so that no signal is passed on to a caller unheard.

use std::fmt;

use http::response;
use trayswitch_core::{
    backoff::Rejection, node::Input, registry::Registered, signals::Signals, units,
};

use super::Relay;
use crate::telemetry::EventId;

impl Relay {
    /// Takes what an endpoint says of itself in an answer to a caller's request that was sent at `asked`.
    pub(super) fn on_response(
        &self,
        service: &str,
        endpoint: &Registered,
        asked: units::Instant,
        head: &response::Parts,
    ) -> Signals {
        let signals = self.read_signals(service, endpoint, head);
        self.report_rate_limit(service, endpoint, asked, &signals);
        self.report_state(endpoint, &signals);
        signals
    }

    /// The same of an answer to a question of this daemon's own, or of one that is not the request's. An endpoint may
    /// name its limit to requests only, so one that is not named here still holds.
    pub(super) fn on_control_response(
        &self,
        service: &str,
        endpoint: &Registered,
        asked: units::Instant,
        head: &response::Parts,
    ) {
        let signals = self.read_signals(service, endpoint, head);
        if signals.limit != Ok(None) {
            self.report_rate_limit(service, endpoint, asked, &signals);
        }
        self.report_state(endpoint, &signals);
    }

    fn report_state(&self, endpoint: &Registered, signals: &Signals) {
        if signals.is_leaving() {
            self.report_leaving(endpoint);
        }
        if let Ok(Some(left)) = signals.cold_for {
            let (endpoint, started_at) = (endpoint.id.clone(), endpoint.born);
            self.node.input(Input::Cold { endpoint, started_at, left });
        }
        if signals.backoff().is_some() {
            self.report_rejection(endpoint, signals);
        }
    }

    /// The same of an answer that rejects the request.
    pub(super) fn on_rejection(
        &self,
        service: &str,
        endpoint: &Registered,
        asked: units::Instant,
        head: &response::Parts,
    ) -> Signals {
        let signals = self.on_response(service, endpoint, asked, head);
        if signals.backoff().is_none() {
            self.report_rejection(endpoint, &signals);
        }
        signals
    }

    fn report_leaving(&self, endpoint: &Registered) {
        let known = self.node.view().endpoint(&endpoint.id);
        if known.is_some_and(|known| known.open) {
            let (endpoint, started_at) = (endpoint.id.clone(), endpoint.born);
            self.node.input(Input::Leaving { endpoint, started_at });
        }
    }

    fn report_rejection(&self, endpoint: &Registered, signals: &Signals) {
        self.node.input(Input::Rejected(Rejection {
            endpoint: endpoint.id.clone(),
            started_at: endpoint.born,
            retry_after: signals.backoff(),
        }));
    }

    /// Reads what an endpoint says of itself in an answer. A signal that cannot be read is logged and changes
    /// nothing.
    fn read_signals(
        &self,
        service: &str,
        endpoint: &Registered,
        head: &response::Parts,
    ) -> Signals {
        let signals = self.protocol.signals(head);
        let read = |name: &str, is_given: Result<bool, &dyn fmt::Display>| match is_given {
            Ok(false) => {}
            Ok(true) => self.metrics.signal_read(service, name, "read"),
            Err(problem) => {
                self.metrics.signal_read(service, name, "unreadable");
                log::warn!(
                    event = EventId::SignalUnreadable.number(), endpoint = &*endpoint.id,
                    signal = name, detail = problem.to_string().as_str();
                    "an endpoint's signal cannot be read"
                );
            }
        };
        read("backoff", given(&signals.retry_after));
        read("leaving", signals.leaving.as_ref().copied().map_err(|e| e as &dyn fmt::Display));
        read("cold", given(&signals.cold_for));
        signals
    }
}

/// Whether a signal is given.
fn given<T, E: fmt::Display>(signal: &Result<Option<T>, E>) -> Result<bool, &dyn fmt::Display> {
    signal.as_ref().map(Option::is_some).map_err(|e| e as &dyn fmt::Display)
}
