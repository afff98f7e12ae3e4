//! Small types that carry a unit.

use std::{fmt, time::Duration};

/// A point in time, in microseconds since a start that the caller chooses.
///
/// The daemon counts from its own start on the monotonic clock; tests and
/// experiments count from zero.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Instant(pub u64);

impl Instant {
    /// The time `d` after this one.
    pub fn after(self, d: Duration) -> Instant {
        Instant(self.0.saturating_add(d.as_micros() as u64))
    }

    /// This time minus a duration, or the beginning of time.
    pub fn before(self, d: Duration) -> Instant {
        Instant(self.0.saturating_sub(d.as_micros() as u64))
    }

    /// Time passed since `earlier`, zero if `earlier` lies ahead.
    pub fn since(self, earlier: Instant) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

/// A wall-clock time in milliseconds since the Unix epoch.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct UnixMillis(pub u64);

/// Reads a duration such as `250ms`, `5s`, `2m` or `1h`.
pub fn parse_duration(text: &str) -> Option<Duration> {
    let split = text.find(|c: char| !c.is_ascii_digit())?;
    let (digits, unit) = text.split_at(split);
    let n: u64 = digits.parse().ok()?;
    let millis = match unit {
        "ms" => 1,
        "s" => 1_000,
        "m" => 60_000,
        "h" => 3_600_000,
        _ => return None,
    };
    n.checked_mul(millis).map(Duration::from_millis)
}

/// Bytes shown as lower-case hexadecimal.
pub struct Hex<'a>(pub &'a [u8]);

impl fmt::Display for Hex<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for byte in self.0 {
            write!(f, "{byte:02x}")?;
        }
        Ok(())
    }
}
