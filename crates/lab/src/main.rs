//! `trayswitch-lab`: emulated endpoints, load and measurements for trayswitch.

mod cli;
mod emulate;
mod engine;
mod options;

use std::{
    net::{Ipv4Addr, SocketAddr},
    process::ExitCode,
    sync::Arc,
    thread,
};

use eyre::Result;

use crate::{
    emulate::{Endpoint, engine::EngineEmulator, service::ServiceEmulator},
    options::{EmulateOptions, Options},
};

fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info")).init();
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("trayswitch-lab: {e:#}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<()> {
    let matches = cli::command().get_matches();
    match Options::from_matches(&matches)? {
        Options::Emulate(options) => run_emulators(&options),
    }
}

fn run_emulators(options: &EmulateOptions) -> Result<()> {
    let mut servers = Vec::new();
    for i in 0..options.engines + options.services {
        let port = options.first_port + i;
        let name = format!("e{port}");
        let endpoint: Arc<dyn Endpoint> = if i < options.engines {
            let seed = options.seed.wrapping_add(u64::from(i));
            Arc::new(EngineEmulator::spawn(&name, options.spec, seed))
        } else {
            Arc::new(ServiceEmulator::new(options.delay))
        };
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        let server = emulate::bind(address, endpoint)?;
        log::info!("emulating {name} on {}", server.address());
        servers.push(server);
    }
    loop {
        thread::park();
    }
}
