//! What endpoints say of themselves in the heads of their answers.
//!
//! Every answer is read for it here, whatever was asked, so that no signal is passed on to a caller unheard.

use std::{fmt, time::Duration};

use http::response;
use trayswitch_core::{
    backoff::{BadRetryAfter, Rejection, RetryAfter},
    node::Input,
    registry::Registered,
    throttle::{BadLimit, RateLimit},
    units,
};

use super::{Relay, limited};
use crate::telemetry::EventId;

/// What an endpoint says of itself in the head of an answer.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Signals {
    /// How many requests a second it takes from all daemons together.
    pub limit: Result<Option<RateLimit>, BadLimit>,
    /// How long it wants nothing from this daemon, where it rejects a request.
    pub retry_after: Result<Option<RetryAfter>, BadRetryAfter>,
    /// Whether it is about to end.
    pub leaving: Result<bool, BadFlag>,
    /// For how much longer it is slow after its start.
    pub cold_for: Result<Option<Duration>, BadMillis>,
}

impl Default for Signals {
    fn default() -> Signals {
        Signals { limit: Ok(None), retry_after: Ok(None), leaving: Ok(false), cold_for: Ok(None) }
    }
}

/// A flag that is neither `1` nor `0`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BadFlag;

/// A text that is no whole number of milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BadMillis;

impl fmt::Display for BadFlag {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("it is neither 1 nor 0")
    }
}

impl fmt::Display for BadMillis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("it is no whole number of milliseconds")
    }
}

impl Signals {
    /// The limit that it names, as lines of the log tell it.
    pub(super) fn describe_limit(&self) -> String {
        limited::describe(self.limit.ok().flatten())
    }

    /// The back-off that it asks for, as lines of the log tell it.
    pub(super) fn describe_backoff(&self) -> String {
        let backoff = self.retry_after.ok().flatten();
        backoff.map_or_else(|| "-".to_owned(), |backoff| backoff.time().as_millis().to_string())
    }

    /// Whether it says that it is about to end.
    pub(super) fn is_leaving(&self) -> bool {
        self.leaving.unwrap_or_default()
    }
}

impl Relay {
    /// Takes what an endpoint says of itself in an answer to a request that was sent at `asked`.
    pub(super) fn on_answer(
        &self,
        service: &str,
        endpoint: &Registered,
        asked: units::Instant,
        head: &response::Parts,
    ) -> Signals {
        let signals = self.read_signals(service, endpoint, head);
        self.note_limit(service, endpoint, asked, &signals);
        if signals.is_leaving() {
            self.note_leaving(endpoint);
        }
        if let Ok(Some(left)) = signals.cold_for {
            let (endpoint, started_at) = (endpoint.id.clone(), endpoint.born);
            self.node.input(Input::Cold { endpoint, started_at, left });
        }
        if let Ok(Some(_)) = signals.retry_after {
            self.note_rejection(endpoint, &signals);
        }
        signals
    }

    /// The same of an answer that rejects the request.
    pub(super) fn on_rejection(
        &self,
        service: &str,
        endpoint: &Registered,
        asked: units::Instant,
        head: &response::Parts,
    ) -> Signals {
        let signals = self.on_answer(service, endpoint, asked, head);
        if !matches!(signals.retry_after, Ok(Some(_))) {
            self.note_rejection(endpoint, &signals);
        }
        signals
    }

    fn note_leaving(&self, endpoint: &Registered) {
        let known = self.node.view().endpoint(&endpoint.id);
        if known.is_some_and(|known| known.open) {
            let (endpoint, started_at) = (endpoint.id.clone(), endpoint.born);
            self.node.input(Input::Leaving { endpoint, started_at });
        }
    }

    fn note_rejection(&self, endpoint: &Registered, signals: &Signals) {
        self.node.input(Input::Rejected(Rejection {
            endpoint: endpoint.id.clone(),
            started_at: endpoint.born,
            retry_after: signals.retry_after.ok().flatten().map(RetryAfter::time),
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
