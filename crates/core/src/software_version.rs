//! Software versions of endpoints. What two versions write does not fit together in one stream.

use std::{fmt, sync::Arc};

/// Longest name of a version, in bytes.
const MAX_BYTES: usize = 256;

/// The software version of an endpoint, by the name that the endpoint gives it. Versions have no
/// order.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SoftwareVersion(Arc<str>);

/// The software versions at which a request may run. Every choice of an endpoint needs one.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum VersionConstraint {
    /// Any: its caller has received nothing.
    Any,
    /// The version that began its stream.
    Only(SoftwareVersion),
    /// None: it is not known which version began its stream.
    Unknown,
}

impl VersionConstraint {
    /// The constraint of a stream that an endpoint of this version has begun.
    pub fn begun_at(version: Option<&SoftwareVersion>) -> VersionConstraint {
        version.map_or(VersionConstraint::Unknown, |v| VersionConstraint::Only(v.clone()))
    }

    /// Whether an endpoint of this version satisfies it.
    pub fn allows(&self, version: Option<&SoftwareVersion>) -> bool {
        match self {
            VersionConstraint::Any => true,
            VersionConstraint::Only(only) => version == Some(only),
            VersionConstraint::Unknown => false,
        }
    }

    /// The version that began the stream, if there is one and it is known.
    pub fn version(&self) -> Option<&SoftwareVersion> {
        match self {
            VersionConstraint::Only(version) => Some(version),
            VersionConstraint::Any | VersionConstraint::Unknown => None,
        }
    }
}

/// Why a text names no software version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InvalidVersion {
    /// It is empty.
    Empty,
    /// It has this many bytes.
    TooLong(usize),
}

impl fmt::Display for InvalidVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            InvalidVersion::Empty => f.write_str("this is required"),
            InvalidVersion::TooLong(bytes) => {
                write!(f, "expected at most {MAX_BYTES} bytes, found {bytes}")
            }
        }
    }
}

impl SoftwareVersion {
    /// Parses the name of a version: 1 to 256 bytes.
    pub fn parse(text: &str) -> Result<SoftwareVersion, InvalidVersion> {
        match text.len() {
            0 => Err(InvalidVersion::Empty),
            length if MAX_BYTES < length => Err(InvalidVersion::TooLong(length)),
            _ => Ok(SoftwareVersion(text.into())),
        }
    }

    /// The version as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for SoftwareVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}
