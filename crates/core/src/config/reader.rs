//! Typed access to the keys of a section; collects all errors instead of stopping at the first.

use std::{collections::BTreeSet, net::SocketAddr, time::Duration};

use super::document::{ConfigError, Section};
use crate::units::parse_duration;

/// Key that holds the original text of a section that an adapter translated from another format.
/// Allowed in every section.
pub const SOURCE_KEY: &str = "source";

/// Maximum weight or share.
pub(super) const MAX_WEIGHT: u64 = 1_000;
/// Maximum number of requests or connections.
pub(super) const MAX_COUNT: u64 = 1_000_000;
/// Maximum KV cache capacity of an endpoint, in tokens.
pub(super) const MAX_TOKENS: u64 = 1_000_000_000;

/// Reads the keys of a section and tracks which keys are known, to report the others.
pub struct SectionReader<'a> {
    file: &'a str,
    name: &'a str,
    section: &'a Section,
    known: BTreeSet<&'static str>,
    errors: &'a mut Vec<ConfigError>,
}

impl<'a> SectionReader<'a> {
    /// Creates a reader of `section` that appends to `errors`.
    pub fn new(
        file: &'a str,
        name: &'a str,
        section: &'a Section,
        errors: &'a mut Vec<ConfigError>,
    ) -> SectionReader<'a> {
        SectionReader { file, name, section, known: BTreeSet::from([SOURCE_KEY]), errors }
    }

    /// Adds an error at `key`.
    pub fn add_error(&mut self, key: &str, message: impl Into<String>) {
        self.errors.push(ConfigError {
            file: self.file.to_owned(),
            section: self.name.to_owned(),
            key: key.to_owned(),
            message: message.into(),
        });
    }

    /// The raw value of an optional key.
    pub fn raw(&mut self, key: &'static str) -> Option<&'a str> {
        self.known.insert(key);
        self.section.get(key).map(String::as_str)
    }

    /// A required, non-empty text.
    pub fn text(&mut self, key: &'static str) -> String {
        match self.raw(key) {
            Some(text) if !text.is_empty() => text.to_owned(),
            _ => {
                self.add_error(key, "this key is required");
                String::new()
            }
        }
    }

    /// A whole number from `min` to `max`. The key is required if `default` is `None`.
    pub fn number(&mut self, key: &'static str, default: Option<u64>, min: u64, max: u64) -> u64 {
        let expected = format!("expected a whole number from {min} to {max}");
        let parse = |text: &str| text.parse().ok().filter(|n| (min..=max).contains(n));
        self.parsed(key, default, parse, &expected).unwrap_or(min)
    }

    /// A duration with a unit. The key is required if `default` is `None`.
    pub fn duration(&mut self, key: &'static str, default: Option<Duration>) -> Duration {
        let expected = "expected a duration such as 250ms, 5s or 2m";
        self.parsed(key, default, parse_duration, expected).unwrap_or_default()
    }

    /// `yes` or `no`. The key is required if `default` is `None`.
    pub fn flag(&mut self, key: &'static str, default: Option<bool>) -> bool {
        let parse = |text: &str| match text {
            "yes" => Some(true),
            "no" => Some(false),
            _ => None,
        };
        self.parsed(key, default, parse, "expected yes or no").unwrap_or_default()
    }

    /// A required IP address and port; `None` if missing or invalid.
    pub fn address(&mut self, key: &'static str) -> Option<SocketAddr> {
        let expected = "expected an IP address and port such as 10.0.0.7:9000";
        self.parsed(key, None, |text| text.parse().ok(), expected)
    }

    /// Reports every unknown key.
    pub fn finish(mut self) {
        let unknown: Vec<&str> = self
            .section
            .keys()
            .map(String::as_str)
            .filter(|key| !self.known.contains(key))
            .collect();
        let known = self
            .known
            .iter()
            .copied()
            .filter(|key| *key != SOURCE_KEY)
            .collect::<Vec<_>>()
            .join(", ");
        for key in unknown {
            self.add_error(key, format!("unknown key; expected one of {known}"));
        }
    }

    fn parsed<T>(
        &mut self,
        key: &'static str,
        default: Option<T>,
        parse: impl Fn(&str) -> Option<T>,
        expected: &str,
    ) -> Option<T> {
        let Some(text) = self.raw(key) else {
            if default.is_none() {
                self.add_error(key, format!("this key is required: {expected}"));
            }
            return default;
        };
        let value = parse(text);
        if value.is_none() {
            self.add_error(key, format!("\"{text}\" is not valid: {expected}"));
        }
        value
    }
}
