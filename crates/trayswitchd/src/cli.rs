//! The command line of `trayswitchd`.

use clap::{Arg, Command};

/// Builds the command.
pub(crate) fn command() -> Command {
    Command::new("trayswitchd")
        .version(env!("CARGO_PKG_VERSION"))
        .about("The trayswitch daemon: serves callers and operators of one VM")
        .arg(
            Arg::new("settings")
                .help("Settings of this VM, an INI file")
                .value_name("FILE")
                .required(true),
        )
        .arg(
            Arg::new("check")
                .long("check")
                .help("Check the settings and exit")
                .action(clap::ArgAction::SetTrue),
        )
}
