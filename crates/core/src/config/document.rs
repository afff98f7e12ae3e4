//! Parsed INI files: sections by name, content hashes, and deltas between documents.

use std::{collections::BTreeMap, fmt, sync::Arc};

use ini::{EscapePolicy, Ini, ParseOption};
use sha2::{Digest, Sha256};

use crate::units::Hex;

/// Full name of a section, such as `workspace studio-1`.
pub type SectionName = Arc<str>;

/// An error in a configuration file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConfigError {
    /// File name as given by the operator.
    pub file: String,
    /// Section name; empty if the error is outside all sections.
    pub section: String,
    /// Key; empty if the error concerns the section as a whole.
    pub key: String,
    /// What is wrong and what was expected.
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

/// All errors found in a file; never empty when returned as an error.
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

/// Keys and values of a section.
pub type Section = BTreeMap<String, String>;

/// A section with the SHA-256 of its name and content; immutable, so that documents can share it.
#[derive(Debug, PartialEq, Eq)]
pub struct HashedSection {
    keys: Section,
    hash: [u8; 32],
}

impl HashedSection {
    /// Computes the hash; each text is prefixed with its length to keep the encoding unambiguous.
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

    /// Keys and values of the section.
    pub fn keys(&self) -> &Section {
        &self.keys
    }
}

/// SHA-256 of the content of a [`Document`]; see [`Document::content_hash`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default, PartialOrd, Ord)]
pub struct ContentHash(pub [u8; 32]);

impl fmt::Display for ContentHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", Hex(&self.0))
    }
}

impl ContentHash {
    /// Returns `None` unless `bytes` is exactly 32 bytes long.
    pub fn from_slice(bytes: &[u8]) -> Option<ContentHash> {
        bytes.try_into().ok().map(ContentHash)
    }
}

/// The difference between two documents, by section.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Delta {
    /// Sections that were added or changed.
    pub changed: BTreeMap<SectionName, Arc<HashedSection>>,
    /// Sections that were removed.
    pub removed: Vec<SectionName>,
}

impl Delta {
    /// Merges consecutive deltas into one. A section that was added and removed again is listed as
    /// removed; [`Document::apply`] ignores the removal of a missing section.
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

    /// Names of all changed and removed sections.
    pub fn section_names(&self) -> impl Iterator<Item = &SectionName> {
        self.changed.keys().chain(&self.removed)
    }
}

/// A parsed configuration file.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Document {
    sections: BTreeMap<SectionName, Arc<HashedSection>>,
}

impl Document {
    /// All sections by full name.
    pub fn sections(&self) -> &BTreeMap<SectionName, Arc<HashedSection>> {
        &self.sections
    }

    /// Keys and values of a section, if it exists.
    pub fn section(&self, name: &str) -> Option<&Section> {
        self.sections.get(name).map(|section| section.keys())
    }

    /// Adds or replaces a section.
    pub fn insert(&mut self, name: &str, keys: Section) {
        self.sections.insert(name.into(), Arc::new(HashedSection::new(name, keys)));
    }

    /// Parses INI text; reports syntax errors, keys outside sections, and duplicate names.
    pub fn parse(file: &str, text: &str) -> Result<Document, ConfigErrors> {
        let error = |section: &str, key: &str, message: String| ConfigError {
            file: file.to_owned(),
            section: section.to_owned(),
            key: key.to_owned(),
            message,
        };
        // Values are literal: neither quotes nor escapes are interpreted.
        let option =
            ParseOption { enabled_quote: false, enabled_escape: false, ..ParseOption::default() };
        let ini = Ini::load_from_str_opt(text, option)
            .map_err(|e| ConfigErrors(vec![error("", "", format!("not a valid INI file: {e}"))]))?;
        let mut errors = Vec::new();
        let mut document = Document::default();
        for (name, properties) in ini.iter() {
            let Some(name) = name else {
                for (key, _) in properties.iter() {
                    errors.push(error("", key, "this key is outside any section".into()));
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

    /// The canonical INI text. Parsing it returns an equal document.
    pub fn to_ini(&self) -> String {
        let mut ini = Ini::new();
        for (name, section) in &self.sections {
            let mut setter = ini.with_section(Some(&**name));
            let mut setter = &mut setter;
            for (key, value) in section.keys() {
                setter = setter.set(key.as_str(), value.as_str());
            }
            // The setter creates a section only with its first key.
            if section.keys().is_empty() {
                ini.entry(Some(name.to_string())).or_insert(Default::default());
            }
        }
        let mut buf = Vec::new();
        ini.write_to_policy(&mut buf, EscapePolicy::Nothing)
            .expect("writing to memory does not fail");
        String::from_utf8(buf).expect("INI text is UTF-8")
    }

    /// Hash over the section hashes in order of section names, so that the order of sections in the
    /// file does not matter.
    pub fn content_hash(&self) -> ContentHash {
        let mut hasher = Sha256::new();
        for section in self.sections.values() {
            hasher.update(section.hash);
        }
        ContentHash(hasher.finalize().into())
    }

    /// The delta from this document to `newer`.
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
