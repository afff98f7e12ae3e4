//! `trayswitch`: submits configurations and shows the state.

mod cli;
mod client;
mod command;
mod error;
mod options;
mod output;

use std::{io, process::ExitCode};

use crate::{error::Error, options::Options};

fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("warn")).init();
    let options = Options::from_matches(&cli::command().get_matches());
    match command::run(&options, &mut io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        // The reader, `head` for example, has what it wanted.
        Err(Error::Output(e)) if e.kind() == io::ErrorKind::BrokenPipe => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("trayswitch: {e}");
            e.exit_code()
        }
    }
}
