//! An INI file as named sections of keys, its content hash, and deltas between two files.

use std::{collections::BTreeMap, fmt, sync::Arc};

use ini::{EscapePolicy, Ini, ParseOption};
use sha2::{Digest, Sha256};

use crate::units::Hex;

/// Full name of a section, for example `workspace studio-1`.
pub type SectionName = Arc<str>;

/// One fault in a file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConfigError {
    /// Name of the file as the operator gave it.
    pub file: String,
    /// The section, or empty when the fault lies outside all sections.
    pub section: String,
    /// The key, or empty when the fault concerns the section itself.
    pub key: String,
    /// What is wrong and what is expected.
    pub message: String,
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.file)?;
        if !self.section.is_empty() {
            write!(f, ": [{}]", self.section)?;
        }
        if !self.key.is_empty() {
            write!(f, " {}", self.key)?;
        }
        write!(f, ": {}", self.message)
    }
}

/// Every fault found in a file; never empty when returned as an error.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConfigErrors(pub Vec<ConfigError>);

impl fmt::Display for ConfigErrors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, error) in self.0.iter().enumerate() {
            if 0 < i {
                writeln!(f)?;
            }
            write!(f, "{error}")?;
        }
        Ok(())
    }
}

impl std::error::Error for ConfigErrors {}

/// The keys and values of one section.
pub type Section = BTreeMap<String, String>;

/// A section with the hash of its name and content, shared between documents.
#[derive(Debug, PartialEq, Eq)]
pub struct HashedSection {
    keys: Section,
    hash: [u8; 32],
}

impl HashedSection {
    /// Hashes a section.
    pub fn new(name: &str, keys: Section) -> HashedSection {
        let mut hasher = Sha256::new();
        let mut field = |text: &str| {
            hasher.update((text.len() as u64).to_be_bytes());
            hasher.update(text.as_bytes());
        };
        field(name);
        for (key, value) in &keys {
            field(key);
            field(value);
        }
        HashedSection { keys, hash: hasher.finalize().into() }
    }

    /// Its keys and values.
    pub fn keys(&self) -> &Section {
        &self.keys
    }
}

/// SHA-256 over the canonical form of a [`Document`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default, PartialOrd, Ord)]
pub struct ContentHash(pub [u8; 32]);

impl fmt::Display for ContentHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", Hex(&self.0))
    }
}

impl ContentHash {
    /// Reads a hash from exactly 32 bytes.
    pub fn from_slice(bytes: &[u8]) -> Option<ContentHash> {
        bytes.try_into().ok().map(ContentHash)
    }
}

/// The sections that change between two documents.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Delta {
    /// Sections that are new or differ.
    pub changed: BTreeMap<SectionName, Arc<HashedSection>>,
    /// Sections that are gone.
    pub removed: Vec<SectionName>,
}

impl Delta {
    /// What several deltas, each of which goes on from the one before, come to merged. A section
    /// that came and went again is removed, also where it never was; [`Document::apply`] allows it.
    pub fn merge<'a>(deltas: impl IntoIterator<Item = &'a Delta>) -> Delta {
        let mut last = BTreeMap::new();
        for delta in deltas {
            last.extend(delta.removed.iter().map(|name| (name, None)));
            last.extend(delta.changed.iter().map(|(name, section)| (name, Some(section))));
        }
        let mut merged = Delta::default();
        for (name, section) in last {
            match section {
                Some(section) => drop(merged.changed.insert(name.clone(), section.clone())),
                None => merged.removed.push(name.clone()),
            }
        }
        merged
    }

    /// Names of all sections that it touches.
    pub fn section_names(&self) -> impl Iterator<Item = &SectionName> {
        self.changed.keys().chain(&self.removed)
    }
}

/// A parsed file: its sections by name.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Document {
    sections: BTreeMap<SectionName, Arc<HashedSection>>,
}

impl Document {
    /// The sections by full name.
    pub fn sections(&self) -> &BTreeMap<SectionName, Arc<HashedSection>> {
        &self.sections
    }

    /// The keys of one section.
    pub fn section(&self, name: &str) -> Option<&Section> {
        self.sections.get(name).map(|section| section.keys())
    }

    /// Adds or replaces a section.
    pub fn insert(&mut self, name: &str, keys: Section) {
        self.sections.insert(name.into(), Arc::new(HashedSection::new(name, keys)));
    }

    /// Parses INI text; reports syntax errors, keys outside sections, and repeated names.
    pub fn parse(file: &str, text: &str) -> Result<Document, ConfigErrors> {
        let error = |section: &str, key: &str, message: String| ConfigError {
            file: file.to_owned(),
            section: section.to_owned(),
            key: key.to_owned(),
            message,
        };
        // Values are taken as they stand, so that what was written is what is read.
        let option =
            ParseOption { enabled_quote: false, enabled_escape: false, ..ParseOption::default() };
        let ini = Ini::load_from_str_opt(text, option)
            .map_err(|e| ConfigErrors(vec![error("", "", format!("not a valid INI file: {e}"))]))?;
        let mut errors = Vec::new();
        let mut document = Document::default();
        for (name, properties) in ini.iter() {
            let Some(name) = name else {
                for (key, _) in properties.iter() {
                    errors.push(error("", key, "this key stands before any section".into()));
                }
                continue;
            };
            let name = name.split_whitespace().collect::<Vec<_>>().join(" ");
            let mut section = Section::new();
            for (key, value) in properties.iter() {
                if section.insert(key.to_owned(), value.to_owned()).is_some() {
                    errors.push(error(&name, key, "this key is given twice".into()));
                }
            }
            if document.sections.contains_key(&*name) {
                errors.push(error(&name, "", "this section is given twice".into()));
            }
            document.insert(&name, section);
        }
        if !errors.is_empty() {
            return Err(ConfigErrors(errors));
        }
        Ok(document)
    }

    /// The canonical INI text, which parses to the same document.
    pub fn to_ini(&self) -> String {
        let mut ini = Ini::new();
        for (name, section) in &self.sections {
            let mut setter = ini.with_section(Some(&**name));
            // A section without keys still has to be written.
            let mut setter = &mut setter;
            for (key, value) in section.keys() {
                setter = setter.set(key.as_str(), value.as_str());
            }
            if section.keys().is_empty() {
                ini.entry(Some(name.to_string())).or_insert(Default::default());
            }
        }
        let mut buf = Vec::new();
        ini.write_to_policy(&mut buf, EscapePolicy::Nothing)
            .expect("writing to memory does not fail");
        String::from_utf8(buf).expect("INI text is UTF-8")
    }

    /// Hash over the hashes of all sections in order of their names; equal content has an
    /// equal hash in any order of sections.
    pub fn content_hash(&self) -> ContentHash {
        let mut hasher = Sha256::new();
        for section in self.sections.values() {
            hasher.update(section.hash);
        }
        ContentHash(hasher.finalize().into())
    }

    /// The delta that turns this document into `newer`.
    pub fn delta_to(&self, newer: &Document) -> Delta {
        let changed = newer
            .sections
            .iter()
            .filter(|(name, section)| self.sections.get(*name) != Some(*section))
            .map(|(name, section)| (name.clone(), section.clone()))
            .collect();
        let removed = self
            .sections
            .keys()
            .filter(|name| !newer.sections.contains_key(*name))
            .cloned()
            .collect();
        Delta { changed, removed }
    }

    /// Applies a delta in place and returns the delta that undoes it.
    pub fn apply(&mut self, delta: &Delta) -> Delta {
        let mut undo = Delta::default();
        for name in &delta.removed {
            if let Some(old) = self.sections.remove(name) {
                undo.changed.insert(name.clone(), old);
            }
        }
        for (name, section) in &delta.changed {
            match self.sections.insert(name.clone(), section.clone()) {
                Some(old) => drop(undo.changed.insert(name.clone(), old)),
                None => undo.removed.push(name.clone()),
            }
        }
        undo
    }
}
