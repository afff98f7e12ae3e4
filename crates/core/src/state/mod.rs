//! The replicated state: the accepted configuration, the data halls that are out of service, and the
//! claims.

mod halls;
#[cfg(test)]
mod halls_tests;
mod snapshot;
#[cfg(test)]
mod tests;

use std::{collections::BTreeMap, sync::Arc};

use bytes::Bytes;
use prost::Message;

use self::halls::Halls;
pub use self::halls::{HallOrder, HallResult, HallsOut, check_hall_name};
use crate::{
    agreement::{Entry, Payload},
    config::{ContentHash, Delta, Document, HashedSection, Section, SectionName},
    once::{Claim, ClaimResult, Claims, Settle},
    quarantine::{SuspectTable, SuspectUpdate},
    units::UnixMillis,
};

/// Accepted versions whose hashes are kept, to know a resent file again.
const MAX_HISTORY: usize = 10_000;

/// One key of a section.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct KeyValue {
    /// The key.
    #[prost(string, tag = "1")]
    pub key: String,
    /// Its value.
    #[prost(string, tag = "2")]
    pub value: String,
}

/// One section.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct EncodedSection {
    /// Full name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Its keys.
    #[prost(message, repeated, tag = "2")]
    pub keys: Vec<KeyValue>,
}

/// A [`Delta`] between two documents.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct EncodedDelta {
    /// Sections that are new or differ.
    #[prost(message, repeated, tag = "1")]
    pub changed: Vec<EncodedSection>,
    /// Names of the sections that are gone.
    #[prost(string, repeated, tag = "2")]
    pub removed: Vec<String>,
}

impl EncodedSection {
    /// A section of this name.
    pub fn new(name: &str, section: &Section) -> EncodedSection {
        let pair =
            |(key, value): (&String, &String)| KeyValue { key: key.clone(), value: value.clone() };
        EncodedSection { name: name.to_owned(), keys: section.iter().map(pair).collect() }
    }
}

impl From<&Delta> for EncodedDelta {
    fn from(delta: &Delta) -> EncodedDelta {
        let section = |(name, section): (&SectionName, &Arc<HashedSection>)| {
            EncodedSection::new(name, section.keys())
        };
        let changed = delta.changed.iter().map(section).collect();
        let removed = delta.removed.iter().map(|name| name.to_string()).collect();
        EncodedDelta { changed, removed }
    }
}

impl From<EncodedDelta> for Delta {
    fn from(encoded: EncodedDelta) -> Delta {
        let section = |section: EncodedSection| {
            let keys = section.keys.into_iter().map(|pair| (pair.key, pair.value)).collect();
            let hashed = HashedSection::new(&section.name, keys);
            (section.name.into(), Arc::new(hashed))
        };
        Delta {
            changed: encoded.changed.into_iter().map(section).collect(),
            removed: encoded.removed.into_iter().map(Into::into).collect(),
        }
    }
}

impl EncodedDelta {
    /// Reads a delta from bytes.
    pub fn read(bytes: Bytes) -> Result<Delta, prost::DecodeError> {
        EncodedDelta::decode(bytes).map(Delta::from)
    }

    /// Writes a delta as bytes.
    pub fn write(delta: &Delta) -> Bytes {
        Bytes::from(EncodedDelta::from(delta).encode_to_vec())
    }
}

/// Names a change of the configuration.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct ChangeId {
    /// The version that it makes.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// The accepted version that it goes on from; zero for the empty document.
    #[prost(uint64, tag = "2")]
    pub base: u64,
    /// Content hash of the version.
    #[prost(bytes = "bytes", tag = "3")]
    pub hash: Bytes,
}

/// A configuration as a delta on an accepted one: what a file proposes and what the log holds.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct ConfigChange {
    /// The version that the file makes.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// The accepted version that the delta applies to; zero for the empty document.
    #[prost(uint64, tag = "2")]
    pub base: u64,
    /// Content hash of the result.
    #[prost(bytes = "bytes", tag = "3")]
    pub hash: Bytes,
    /// The delta, an encoded [`EncodedDelta`].
    #[prost(bytes = "bytes", tag = "4")]
    pub delta: Bytes,
}

/// Lets what is known of suspects age to the time of its entry.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct AgeSuspects {}

/// A command of the log.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Command {
    /// What it does.
    #[prost(oneof = "command::Kind", tags = "1, 2, 3, 4, 5, 6, 7")]
    pub kind: Option<command::Kind>,
}

/// Parts of [`Command`].
pub mod command {
    use super::{AgeSuspects, Claim, ConfigChange, HallOrder, Settle};
    use crate::quarantine::{ClearRequest, CrashReport};

    /// What a command does.
    #[derive(Clone, PartialEq, Eq, prost::Oneof)]
    pub enum Kind {
        /// Proposes a configuration.
        #[prost(message, tag = "1")]
        Config(ConfigChange),
        /// Claims a call.
        #[prost(message, tag = "2")]
        Claim(Claim),
        /// Ends a claim.
        #[prost(message, tag = "3")]
        Settle(Settle),
        /// Takes a data hall out of service, or gives it back.
        #[prost(message, tag = "4")]
        Hall(HallOrder),
        /// Counts the end of an endpoint under a request.
        #[prost(message, tag = "5")]
        Ended(CrashReport),
        /// Forgets the ends under a request.
        #[prost(message, tag = "6")]
        Clear(ClearRequest),
        /// Lets what is known of suspects age.
        #[prost(message, tag = "7")]
        Age(AgeSuspects),
    }
}

impl ConfigChange {
    /// The change that turns `base`, accepted as `base_version`, into `document`.
    pub fn new(version: u64, base_version: u64, base: &Document, document: &Document) -> Self {
        ConfigChange {
            version,
            base: base_version,
            hash: Bytes::copy_from_slice(&document.content_hash().0),
            delta: EncodedDelta::write(&base.delta_to(document)),
        }
    }
}

impl Command {
    /// The command as the payload of an entry.
    pub fn payload(kind: command::Kind) -> Payload {
        Payload::Command(Bytes::from(Command { kind: Some(kind) }.encode_to_vec()))
    }
}

/// What a proposed configuration came to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConfigResult {
    /// It is accepted, and in force from here on.
    Accepted,
    /// The same file was accepted before.
    Repeated,
    /// Another file was accepted as this version.
    OtherContent {
        /// Hash of the winner.
        winner: ContentHash,
    },
    /// A later version is accepted.
    TooLow {
        /// The accepted version.
        current: u64,
    },
    /// Another version was accepted in between; the delta no longer applies.
    Rebase,
}

/// An accepted configuration, as what it changes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AcceptedChange {
    /// Its name.
    pub id: ChangeId,
    /// What it changes.
    pub delta: Delta,
}

/// What applying an entry came to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Applied {
    /// Nothing that anybody waits for.
    Nothing,
    /// A configuration was accepted.
    Accepted(Box<AcceptedChange>),
    /// A configuration was not accepted.
    Config(ConfigResult),
    /// A claim.
    Claim(ClaimResult),
    /// The end of a claim.
    Settled,
    /// An order about a data hall.
    Hall(HallResult),
    /// A change of what is known of suspects.
    Suspects(SuspectUpdate),
}

/// The state that the log makes.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct State {
    document: Document,
    /// Accepted versions; the last is in force.
    history: BTreeMap<u64, ContentHash>,
    claims: Claims,
    halls: Halls,
    suspects: SuspectTable,
    now: UnixMillis,
}

impl State {
    /// The accepted version; zero before the first.
    pub fn version(&self) -> u64 {
        self.history.last_key_value().map_or(0, |(version, _)| *version)
    }

    /// Content hash of the accepted document.
    pub fn hash(&self) -> ContentHash {
        self.history.last_key_value().map(|(_, hash)| *hash).unwrap_or_default()
    }

    /// The accepted document.
    pub fn document(&self) -> &Document {
        &self.document
    }

    /// The claims.
    pub fn claims(&self) -> &Claims {
        &self.claims
    }

    /// The data halls that are out of service.
    pub fn halls_out(&self) -> &HallsOut {
        self.halls.out()
    }

    /// The requests under which endpoints have ended.
    pub fn suspects(&self) -> &SuspectTable {
        &self.suspects
    }

    /// What a file of this version and content would come to now.
    pub fn judge(&self, version: u64, hash: ContentHash) -> ConfigResult {
        match self.history.get(&version) {
            Some(winner) if *winner == hash => ConfigResult::Repeated,
            Some(winner) => ConfigResult::OtherContent { winner: *winner },
            None if version < self.version() => ConfigResult::TooLow { current: self.version() },
            None => ConfigResult::Accepted,
        }
    }

    /// Applies a committed entry.
    pub fn apply(&mut self, entry: &Entry) -> Applied {
        self.now = UnixMillis(entry.at_ms);
        let Some(Payload::Command(bytes)) = &entry.payload else { return Applied::Nothing };
        let Ok(Command { kind: Some(kind) }) = Command::decode(bytes.clone()) else {
            // All replicas run a version that knows all commands, or none of them does.
            return Applied::Nothing;
        };
        match kind {
            command::Kind::Config(config) => match self.apply_config(config) {
                Ok(change) => Applied::Accepted(Box::new(change)),
                Err(result) => Applied::Config(result),
            },
            command::Kind::Claim(claim) => Applied::Claim(self.claims.claim(&claim, self.now)),
            command::Kind::Settle(settle) => {
                self.claims.settle(&settle);
                Applied::Settled
            }
            command::Kind::Hall(order) => Applied::Hall(self.halls.order(&order)),
            command::Kind::Ended(ended) => {
                Applied::Suspects(self.suspects.record_crash(&ended, self.now))
            }
            command::Kind::Clear(clear) => Applied::Suspects(self.suspects.clear(&clear)),
            command::Kind::Age(AgeSuspects {}) => Applied::Suspects(self.suspects.expire(self.now)),
        }
    }

    /// Accepts a configuration, or tells why it is not accepted.
    fn apply_config(&mut self, config: ConfigChange) -> Result<AcceptedChange, ConfigResult> {
        let ConfigChange { version, base, .. } = config;
        let hash = ContentHash::from_slice(&config.hash).unwrap_or_default();
        let result = self.judge(version, hash);
        if result != ConfigResult::Accepted {
            return Err(result);
        }
        if base != self.version() {
            return Err(ConfigResult::Rebase);
        }
        let Ok(delta) = EncodedDelta::read(config.delta) else { return Err(ConfigResult::Rebase) };
        let undo = self.document.apply(&delta);
        if self.document.content_hash() != hash {
            self.document.apply(&undo);
            return Err(ConfigResult::Rebase);
        }
        self.history.insert(version, hash);
        if MAX_HISTORY < self.history.len() {
            self.history.pop_first();
        }
        Ok(AcceptedChange { id: ChangeId { version, base, hash: config.hash }, delta })
    }
}
