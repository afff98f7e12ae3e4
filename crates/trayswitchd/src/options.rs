//! Checked options of `trayswitchd`.

use std::path::PathBuf;

use clap::ArgMatches;

/// What to run.
pub(crate) struct Options {
    /// File with the settings of this VM.
    pub(crate) settings: PathBuf,
    /// Only check the settings.
    pub(crate) check_only: bool,
}

impl Options {
    /// Takes the matches of [`crate::cli::command`].
    pub(crate) fn from_matches(matches: &ArgMatches) -> Options {
        let settings = matches.get_one::<String>("settings").expect("clap requires the file");
        Options { settings: PathBuf::from(settings), check_only: matches.get_flag("check") }
    }
}
