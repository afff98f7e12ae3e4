//! Decides from crash histories how a request may be sent.

use std::collections::BTreeSet;

use super::{ContentDigest, CrashCounts, suspect_record::CrashedRun};

/// Crashes of a content at which each of two others that explain them together was present. A request
/// that crashed one endpoint is present at that crash, whatever the cause was.
const MIN_CRASHES_OF_CAUSE: usize = 2;

/// Crash histories of suspects.
pub(crate) trait CrashHistory {
    /// Crashes counted against a content.
    fn crash_counts(&self, content: &ContentDigest) -> CrashCounts;

    /// The most recent crashes counted against a content.
    fn crashed_runs(&self, content: &ContentDigest) -> Vec<CrashedRun>;

    /// All contents with crashes.
    fn suspects(&self) -> Vec<ContentDigest>;

    /// Number of quarantined contents.
    fn count_quarantined(&self) -> usize {
        let suspects = self.suspects();
        suspects.iter().filter(|content| self.crash_counts(content).is_quarantined()).count()
    }
}

/// How a request may be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Like any other.
    Sound,
    /// As a trial of this content.
    Trial {
        /// The most suspect of its contents.
        content: ContentDigest,
        /// Crashes counted against that.
        crashes: CrashCounts,
    },
    /// To no endpoint.
    Quarantined {
        /// The content that is in quarantine.
        content: ContentDigest,
        /// Crashes counted against it.
        crashes: CrashCounts,
    },
}

impl Verdict {
    /// Judges a request by its contents: the digest of the whole request, then those of the parts of
    /// its prompt in order.
    pub(crate) fn of(contents: &[ContentDigest], history: &impl CrashHistory) -> Verdict {
        let mut worst: Option<(CrashCounts, ContentDigest)> = None;
        for content in contents {
            let crashes = history.crash_counts(content);
            if !crashes.is_suspect() {
                continue;
            }
            if crashes.is_quarantined() && !is_explained(content, contents, history) {
                return Verdict::Quarantined { content: *content, crashes };
            }
            // Of equally suspect ones the last: fewer requests share the later parts of a prompt.
            if worst.is_none_or(|(most, _)| most.total <= crashes.total) {
                worst = Some((crashes, *content));
            }
        }
        match worst {
            Some((crashes, content)) => Verdict::Trial { content, crashes },
            None => Verdict::Sound,
        }
    }

    /// Whether the request must not be sent like any other.
    pub fn is_suspect(self) -> bool {
        self != Verdict::Sound
    }
}

/// Whether other contents, which the request lacks, were present at all crashes of this one: one at
/// all, or two of which each was present at several. Sound contents that all requests with a crashing
/// one have in common must not be quarantined with it, also where two causes come together. The reports
/// on the newest crash may not be complete.
fn is_explained(
    content: &ContentDigest,
    contents: &[ContentDigest],
    history: &impl CrashHistory,
) -> bool {
    let mut runs = history.crashed_runs(content);
    runs.pop();
    if runs.is_empty() {
        return false;
    }
    // The crashes that another content was present at.
    let present_at = |other: &ContentDigest| -> BTreeSet<usize> {
        let present = history.crashed_runs(other);
        let is_present = |n: &usize| present.iter().any(|run| run.is_same(&runs[*n]));
        (0..runs.len()).filter(is_present).collect()
    };
    let suspects = history.suspects();
    let others = suspects.iter().filter(|other| !contents.contains(other));
    let mut causes: BTreeSet<BTreeSet<usize>> = others.map(present_at).collect();
    if causes.iter().any(|crashes| crashes.len() == runs.len()) {
        return true;
    }
    causes.retain(|crashes| MIN_CRASHES_OF_CAUSE <= crashes.len());
    let is_rest = |cause: &BTreeSet<usize>| {
        causes.iter().any(|other| cause.union(other).count() == runs.len())
    };
    causes.iter().any(is_rest)
}
