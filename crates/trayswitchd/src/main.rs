//! `trayswitchd`: serves callers and operators of one VM.

mod callers;
mod cli;
mod endpoint;
mod link;
mod node;
mod operators;
mod options;
mod settings;
mod stop;
mod telemetry;

use std::{process::ExitCode, sync::Arc};

use eyre::Result;

use crate::{
    callers::Callers, link::Identity, node::NodeHandle, options::Options, settings::Settings,
    telemetry::EventId,
};

fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info")).init();
    let options = Options::from_matches(&cli::command().get_matches());
    match run(&options) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("trayswitchd: {e:#}");
            ExitCode::FAILURE
        }
    }
}

fn run(options: &Options) -> Result<()> {
    let settings = Settings::load(&options.settings)?;
    if options.check_only {
        println!("{}: the settings are sound", options.settings.display());
        return Ok(());
    }
    let node = NodeHandle::spawn(&settings)?;
    if let Some(address) = settings.peers {
        let identity =
            Identity { vm: settings.vm.as_str().into(), key: settings.keys.peer.clone() };
        link::accept(address, identity, node.clone())?;
    }
    link::dial_all(&settings, &node)?;
    let callers = Arc::new(Callers::new(settings.clone(), node.clone())?);
    let operators = operators::bind(&settings, &callers)?;
    let server = callers::bind(&callers)?;
    endpoint::watcher::spawn(callers.clone())?;
    log::info!(
        "{} {} in {}: callers {}, operators {}",
        EventId::DaemonStarted,
        settings.vm,
        settings.hall,
        server.address(),
        operators.address()
    );
    stop::wait(&node, &settings.timing)?;
    server.close();
    operators.close();
    Ok(())
}
