//! Everything that can go wrong, with what to do about it.

use std::{fmt, io, net::SocketAddr, path::PathBuf, process::ExitCode};

use trayswitch_core::config::ConfigErrors;

/// An error of the command line.
#[derive(Debug)]
pub(crate) enum Error {
    /// `--operators` is not an address.
    Address(String),
    /// A daemon is needed and no key was given.
    NoKeyFile,
    /// A key file does not hold a key; its content is not shown.
    BadKey(PathBuf),
    /// A name that no data hall can have.
    BadHall(String),
    /// A file cannot be read.
    Read(PathBuf, io::Error),
    /// The file has faults.
    Faults(ConfigErrors),
    /// The daemon refused the file.
    Refused(String),
    /// The daemon could not be reached; nothing was sent.
    Unreachable(SocketAddr, String),
    /// No answer came, or the daemon does not know.
    NoAnswer(String),
    /// The daemon refused the request.
    Failed(String),
    /// Waiting took too long.
    NotEverywhere {
        /// The version waited for.
        version: u64,
        /// Daemons that do not have it.
        missing: Vec<String>,
    },
    /// No line of the files tells of the request.
    UnknownRequest(String),
    /// Output failed.
    Output(io::Error),
}

impl Error {
    /// The exit code, as the help lists them.
    pub(crate) fn exit_code(&self) -> ExitCode {
        match self {
            Error::Address(_) | Error::NoKeyFile | Error::BadKey(_) | Error::BadHall(_) => {
                ExitCode::from(2)
            }
            Error::Faults(_) | Error::Refused(_) => ExitCode::from(3),
            Error::NoAnswer(_) => ExitCode::from(4),
            _ => ExitCode::FAILURE,
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Address(text) => {
                write!(
                    f,
                    "--operators {text}: expected an IP number and port such as 10.0.0.7:8081"
                )
            }
            Error::NoKeyFile => f.write_str("give the operator key with --key-file FILE"),
            Error::BadKey(path) => write!(
                f,
                "{} does not hold an operator key: expected one line of printable characters",
                path.display()
            ),
            Error::Read(path, e) => write!(f, "cannot read {}: {e}", path.display()),
            Error::Faults(faults) => write!(f, "{faults}"),
            Error::BadHall(problem) | Error::Refused(problem) | Error::Failed(problem) => {
                f.write_str(problem)
            }
            Error::Unreachable(address, problem) => {
                write!(f, "cannot reach {address}, try another daemon: {problem}")
            }
            Error::NoAnswer(problem) => {
                write!(f, "{problem}; sending the same again is safe and tells what became of it")
            }
            Error::NotEverywhere { version, missing } => write!(
                f,
                "version {version} is accepted, but not yet in force on {}",
                missing.join(", ")
            ),
            Error::UnknownRequest(id) => write!(
                f,
                "no line tells of request {id}; give the log files of all entry VMs, and look for \
                 lines of event 107, which count what was left out"
            ),
            Error::Output(e) => write!(f, "cannot print: {e}"),
        }
    }
}

impl std::error::Error for Error {}
