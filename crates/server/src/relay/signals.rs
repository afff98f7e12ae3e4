//! Processes the signals that endpoints send in response headers: rate limit, back-off, leaving and
//! cold start.
//!
//! Every response passes through here, including those to the daemon's own requests.

use std::{fmt, rc::Rc, time::Duration};

use http::response;
use trayswitch_core::{
    backoff::Rejection, node::Input, registry::RegisteredEndpoint, signals::EndpointSignals, units,
};

use super::{Job, RejectionReason, Relay, ResponseClass};
use crate::{telemetry::EventId, upstream::LateResponse};

impl Relay {
    /// Processes the signals in the response to a caller's request that was sent at `sent_at`.
    pub(super) fn on_response(
        &self,
        service: &str,
        endpoint: &RegisteredEndpoint,
        sent_at: units::Instant,
        head: &response::Parts,
    ) -> EndpointSignals {
        let signals = self.decode_signals(service, endpoint, head);
        self.report_rate_limit(service, endpoint, sent_at, &signals);
        self.report_state(endpoint, &signals);
        signals
    }

    /// Processes the signals in a response to the daemon's own request, or in one that does not
    /// belong to the request. Endpoints may report rate limits only to callers' requests, so a
    /// missing limit does not clear the known one.
    pub(super) fn on_control_response(
        &self,
        service: &str,
        endpoint: &RegisteredEndpoint,
        sent_at: units::Instant,
        head: &response::Parts,
    ) {
        let signals = self.decode_signals(service, endpoint, head);
        if signals.limit != Ok(None) {
            self.report_rate_limit(service, endpoint, sent_at, &signals);
        }
        self.report_state(endpoint, &signals);
    }

    /// Processes the signals in a response to an attempt of `job` that is not needed any more.
    pub(super) fn late_response(
        self: &Rc<Self>,
        job: &Job,
        endpoint: &RegisteredEndpoint,
        sent_at: units::Instant,
    ) -> LateResponse {
        let (relay, endpoint) = (self.clone(), endpoint.clone());
        let (service, id) = (job.service.clone(), job.caller.id.clone());
        let read = move |head: &response::Parts| {
            relay.on_unclassified_response(&id, &service, &endpoint, sent_at, head);
        };
        LateResponse { timeout: self.options.late_response_timeout, read: Box::new(read) }
    }

    /// Processes the signals in the response to request `id`, whatever it says of the request.
    pub(super) fn on_unclassified_response(
        &self,
        id: &str,
        service: &str,
        endpoint: &RegisteredEndpoint,
        sent_at: units::Instant,
        head: &response::Parts,
    ) {
        match self.protocol.classify_response(id, head) {
            ResponseClass::Rejected(RejectionReason::Overloaded) => {
                self.on_rejection(service, endpoint, sent_at, head);
            }
            ResponseClass::Executed { .. } => {
                self.on_response(service, endpoint, sent_at, head);
            }
            ResponseClass::Rejected(RejectionReason::WrongEndpoint) => {}
            ResponseClass::Invalid(_) => {
                self.on_control_response(service, endpoint, sent_at, head);
            }
        }
    }

    fn report_state(&self, endpoint: &RegisteredEndpoint, signals: &EndpointSignals) {
        if signals.is_leaving() {
            self.report_leaving(endpoint);
        }
        if let Ok(Some(left)) = signals.cold_for {
            let (endpoint, started_at) = (endpoint.id.clone(), endpoint.started_at);
            self.node.input(Input::Cold { endpoint, started_at, left });
        }
        if signals.backoff().is_some() {
            self.report_rejection(endpoint, signals.backoff());
        }
    }

    /// Processes the signals in a response that rejects the request.
    pub(super) fn on_rejection(
        &self,
        service: &str,
        endpoint: &RegisteredEndpoint,
        sent_at: units::Instant,
        head: &response::Parts,
    ) -> EndpointSignals {
        let signals = self.on_response(service, endpoint, sent_at, head);
        if signals.backoff().is_none() {
            self.report_rejection(endpoint, None);
        }
        signals
    }

    fn report_leaving(&self, endpoint: &RegisteredEndpoint) {
        let known = self.node.view().endpoint(&endpoint.id);
        if known.is_some_and(|known| known.available) {
            let (endpoint, started_at) = (endpoint.id.clone(), endpoint.started_at);
            self.node.input(Input::Leaving { endpoint, started_at });
        }
    }

    /// Tells the node that an endpoint has rejected a request, and for how long this daemon is to back off.
    pub(super) fn report_rejection(
        &self,
        endpoint: &RegisteredEndpoint,
        retry_after: Option<Duration>,
    ) {
        self.node.input(Input::Rejected(Rejection {
            endpoint: endpoint.id.clone(),
            started_at: endpoint.started_at,
            retry_after,
        }));
    }

    /// Decodes the signals of a response. An invalid signal is logged and ignored.
    fn decode_signals(
        &self,
        service: &str,
        endpoint: &RegisteredEndpoint,
        head: &response::Parts,
    ) -> EndpointSignals {
        let signals = self.protocol.signals(head);
        let record_signal = |name: &str, presence: Result<bool, &dyn fmt::Display>| match presence {
            Ok(false) => {}
            Ok(true) => self.metrics.signal_read(service, name, "read"),
            Err(error) => {
                self.metrics.signal_read(service, name, "unreadable");
                log::warn!(
                    event = EventId::SignalUnreadable.number(), endpoint = &*endpoint.id,
                    signal = name, detail = error.to_string().as_str();
                    "an endpoint sent an invalid signal"
                );
            }
        };
        record_signal("backoff", is_present(&signals.retry_after));
        record_signal(
            "leaving",
            signals.leaving.as_ref().copied().map_err(|e| e as &dyn fmt::Display),
        );
        record_signal("cold", is_present(&signals.cold_for));
        signals
    }
}

fn is_present<T, E: fmt::Display>(
    signal: &Result<Option<T>, E>,
) -> Result<bool, &dyn fmt::Display> {
    signal.as_ref().map(Option::is_some).map_err(|e| e as &dyn fmt::Display)
}
