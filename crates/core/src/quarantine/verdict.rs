//! Decides from crash histories how a request may be sent.

use super::{ContentDigest, CrashCounts, suspect_record::CrashedRun};

/// Crash histories of suspects.
pub(crate) trait CrashHistory {
    /// Crashes counted against a content.
    fn crash_counts(&self, content: &ContentDigest) -> CrashCounts;

    /// The most recent crashes counted against a content.
    fn crashed_runs(&self, content: &ContentDigest) -> Vec<CrashedRun>;

    /// Whether requests with a content were interrupted by a crash.
    fn was_present(&self, content: &ContentDigest, run: &CrashedRun) -> bool;

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

/// Whether another content, which the request lacks, was present at all crashes of this one. Sound
/// contents that all requests with a crashing one have in common must not be quarantined with it. The
/// reports on the newest crash may not be complete.
fn is_explained(
    content: &ContentDigest,
    contents: &[ContentDigest],
    history: &impl CrashHistory,
) -> bool {
    let mut runs = history.crashed_runs(content);
    runs.pop();
    let was_present_at_all =
        |other: &ContentDigest| runs.iter().all(|run| history.was_present(other, run));
    !runs.is_empty()
        && history
            .suspects()
            .iter()
            .any(|other| !contents.contains(other) && was_present_at_all(other))
}
