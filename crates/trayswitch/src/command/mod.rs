//! What the commands do.

mod config;
mod explain;
mod hall;
mod load;
mod show;
mod suspects;

use std::io::{self, Write};

use clap_complete::generate;

use crate::{
    cli,
    client::Client,
    error::Error,
    options::{Action, Options},
};

/// Carries out what was asked and prints to `out`.
pub(crate) fn run(options: &Options, out: &mut dyn Write) -> Result<(), Error> {
    let client = || options.server().map(Client::new);
    match &options.action {
        Action::Check(file) => config::check(file, options.json, out),
        Action::Submit { file, wait } => config::submit(&client()?, file, *wait, options.json, out),
        Action::Show => config::show(&client()?, out),
        Action::Diff(file) => config::diff(&client()?, file, out),
        Action::Key => config::key(&mut io::stdin().lock(), out),
        Action::Status => show::status(&client()?, options.json, out),
        Action::Endpoints => show::endpoints(&client()?, options.json, out),
        Action::Load => load::load(&client()?, options.json, out),
        Action::Workspaces => show::workspaces(&client()?, options.json, out),
        Action::Control => show::control(&client()?, options.json, out),
        Action::Hall { hall, out: gone } => hall::order(&client()?, hall, *gone, options.json, out),
        Action::Halls => hall::list(&client()?, options.json, out),
        Action::Suspects => suspects::list(&client()?, options.json, out),
        Action::ClearSuspect(request) => suspects::clear(&client()?, *request, options.json, out),
        Action::Explain { id, files } => explain::explain(id, files, options.json, out),
        Action::Completions(shell) => {
            let mut buf = Vec::new();
            generate(*shell, &mut cli::command(), "trayswitch", &mut buf);
            out.write_all(&buf).map_err(Error::Output)
        }
    }
}
