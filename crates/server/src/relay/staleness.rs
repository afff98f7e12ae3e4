//! Since when the active configuration is not current.

use std::cell::Cell;

use trayswitch_clock::Instant;
use trayswitch_core::units;

/// A period without a current configuration.
#[derive(Debug, Clone, Copy)]
struct Period {
    since: Instant,
    /// The last confirmation before the period.
    confirmed: Option<units::Instant>,
}

/// Tracks since when the active configuration is missing or unconfirmed.
#[derive(Debug)]
pub(super) struct Staleness(Cell<Option<Period>>);

impl Staleness {
    /// A daemon that starts at `now` has no configuration yet.
    pub(super) fn starting_at(now: Instant) -> Staleness {
        Staleness(Cell::new(Some(Period { since: now, confirmed: None })))
    }

    /// Since when the configuration is not current, given its last confirmation; `None` if it is.
    ///
    /// A confirmation ends the period even if no request saw the configuration current.
    pub(super) fn since(
        &self,
        current: bool,
        confirmed: Option<units::Instant>,
        now: Instant,
    ) -> Option<Instant> {
        if current {
            self.0.set(None);
            return None;
        }
        let period = self.0.get().filter(|period| period.confirmed == confirmed);
        let period = period.unwrap_or(Period { since: now, confirmed });
        self.0.set(Some(period));
        Some(period.since)
    }
}
