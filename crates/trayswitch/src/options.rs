//! Checked options of `trayswitch`.

use std::{fs, net::SocketAddr, path::PathBuf};

use clap::ArgMatches;
use clap_complete::Shell;
use trayswitch_core::quarantine::ContentDigest;

use crate::error::Error;

/// What to do.
pub(crate) enum Action {
    /// Check a file.
    Check(PathBuf),
    /// Submit a file.
    Submit {
        /// The file.
        file: PathBuf,
        /// Wait until it is in force everywhere.
        wait: bool,
    },
    /// Print the configuration in force.
    Show,
    /// Compare a file with the configuration in force.
    Diff(PathBuf),
    /// Hash a workspace key.
    Key,
    /// Show one daemon.
    Status,
    /// Show the endpoints.
    Endpoints,
    /// Show the load.
    Load,
    /// Show the workspaces.
    Workspaces,
    /// Show the control replicas.
    Control,
    /// Take a data hall out of service or give it back.
    Hall {
        /// Its name.
        hall: String,
        /// Whether it is to be out of service.
        out: bool,
    },
    /// Show the data halls.
    Halls,
    /// Show the requests under which endpoints have ended.
    Suspects,
    /// Let one of them be sent to endpoints again.
    ClearSuspect(ContentDigest),
    /// Tell a request's story from log files.
    Explain {
        /// The caller's name for the request.
        id: String,
        /// Log files of any number of VMs.
        files: Vec<PathBuf>,
    },
    /// Print completions.
    Completions(Shell),
}

/// How to reach a daemon.
pub(crate) struct Server {
    /// Operators' address.
    pub(crate) address: SocketAddr,
    /// The operator key.
    pub(crate) key: String,
}

/// Everything that was asked on the command line.
pub(crate) struct Options {
    /// What to do.
    pub(crate) action: Action,
    /// Print JSON.
    pub(crate) json: bool,
    address: String,
    key_file: Option<PathBuf>,
}

impl Options {
    /// Takes the matches of [`crate::cli::command`].
    pub(crate) fn from_matches(matches: &ArgMatches) -> Options {
        Options {
            action: action(matches),
            json: matches.get_flag("json"),
            address: matches.get_one::<String>("operators").cloned().unwrap_or_default(),
            key_file: matches.get_one::<String>("key-file").map(PathBuf::from),
        }
    }

    /// The daemon to ask, for actions that need one.
    pub(crate) fn server(&self) -> Result<Server, Error> {
        let address = self.address.parse().map_err(|_| Error::Address(self.address.clone()))?;
        let path = self.key_file.as_ref().ok_or(Error::NoKeyFile)?;
        let key = fs::read_to_string(path).map_err(|e| Error::Read(path.clone(), e))?;
        let key = key.trim().to_owned();
        if key.is_empty() || !key.chars().all(|c| c.is_ascii_graphic()) {
            return Err(Error::BadKey(path.clone()));
        }
        Ok(Server { address, key })
    }
}

fn action(matches: &ArgMatches) -> Action {
    let file = |m: &ArgMatches| PathBuf::from(m.get_one::<String>("file").expect("required"));
    match matches.subcommand().expect("clap requires a command") {
        ("config", m) => match m.subcommand().expect("clap requires a command") {
            ("check", m) => Action::Check(file(m)),
            ("submit", m) => Action::Submit { file: file(m), wait: m.get_flag("wait") },
            ("diff", m) => Action::Diff(file(m)),
            ("key", _) => Action::Key,
            _ => Action::Show,
        },
        ("explain", m) => Action::Explain {
            id: m.get_one::<String>("id").expect("required").clone(),
            files: m.get_many::<String>("files").expect("required").map(PathBuf::from).collect(),
        },
        ("hall", m) => match m.subcommand().expect("clap requires a command") {
            ("list", _) => Action::Halls,
            (verb, m) => Action::Hall {
                hall: m.get_one::<String>("name").expect("required").clone(),
                out: verb == "out",
            },
        },
        ("suspects", m) => match m.subcommand().expect("clap requires a command") {
            ("clear", m) => {
                Action::ClearSuspect(*m.get_one::<ContentDigest>("request").expect("required"))
            }
            _ => Action::Suspects,
        },
        ("endpoints", _) => Action::Endpoints,
        ("load", _) => Action::Load,
        ("workspaces", _) => Action::Workspaces,
        ("control", _) => Action::Control,
        ("completions", m) => Action::Completions(*m.get_one::<Shell>("shell").expect("required")),
        _ => Action::Status,
    }
}
