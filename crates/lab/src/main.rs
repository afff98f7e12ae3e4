//! `trayswitch-lab`: emulated endpoints, load and measurements for trayswitch.

mod backoff;
mod changes;
mod cli;
mod control_plane;
mod emulate;
mod engine;
mod experiment;
mod fleet;
mod limits;
mod load;
mod options;
mod suspects;

use std::{
    io::{self, Write},
    net::SocketAddr,
    process::ExitCode,
    sync::Arc,
    thread,
};

use eyre::{Result, bail};

use crate::{
    emulate::{Endpoint, engine::EngineEmulator, service::ServiceEmulator},
    options::{AskOptions, EmulateOptions, Options},
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
        Options::Ask(options) => ask(&options),
        Options::Load(options) => {
            let report = load::run(&options);
            println!("{}", serde_json::to_string_pretty(&report)?);
            match report.violations() {
                0 => Ok(()),
                n => bail!("{n} promises were broken"),
            }
        }
        Options::Changes(options) => {
            println!("{}", serde_json::to_string(&changes::run(&options)?)?);
            Ok(())
        }
        Options::Experiment { options, json } => {
            let report = experiment::run(&options)?;
            if json {
                println!("{}", serde_json::to_string_pretty(&report)?);
            } else {
                print!("{}", report.table());
            }
            Ok(())
        }
        Options::Fleet { options, json } => {
            for options in &options {
                let report = fleet::run(options);
                match json {
                    true => println!("{}", serde_json::to_string(&report)?),
                    false => print!("{}:\n{}", options.alone.name(), report.table()),
                }
            }
            Ok(())
        }
        Options::ControlPlane { options, json } => {
            let report = control_plane::run(&options);
            match json {
                true => println!("{}", serde_json::to_string(&report)?),
                false => print!("{}", report.table()),
            }
            Ok(())
        }
        Options::Decisions(sizes) => {
            for cost in experiment::decision_costs(&sizes) {
                println!("{}", serde_json::to_string(&cost)?);
            }
            Ok(())
        }
        Options::Suspects(daemons) => {
            for cost in suspects::costs() {
                println!("{}", serde_json::to_string(&cost)?);
            }
            for ends in suspects::ends(&daemons) {
                println!("{}", serde_json::to_string(&ends)?);
            }
            for outcome in suspects::outcomes(&daemons) {
                println!("{}", serde_json::to_string(&outcome)?);
            }
            Ok(())
        }
        Options::Limits(daemons) => {
            for kept in limits::compare(&daemons) {
                println!("{}", serde_json::to_string(&kept)?);
            }
            Ok(())
        }
        Options::Backoff(daemons) => {
            for outcome in backoff::compare(&daemons) {
                println!("{}", serde_json::to_string(&outcome)?);
            }
            Ok(())
        }
        Options::Configurations(sizes) => {
            for cost in changes::config_costs(&sizes) {
                println!("{}", serde_json::to_string(&cost)?);
            }
            Ok(())
        }
        Options::Fault { endpoint, fault } if fault == "turned-away" => {
            let url = format!("http://{endpoint}/emulator/turned-away");
            println!("{}", ureq::get(&url).call()?.into_string()?);
            Ok(())
        }
        Options::Fault { endpoint, fault } => {
            let url = format!("http://{endpoint}/emulator/faults");
            match ureq::post(&url).send_string(&fault) {
                Ok(_) => Ok(()),
                // An endpoint that was told to die gives no answer.
                Err(ureq::Error::Transport(_)) if fault.contains("die") => Ok(()),
                Err(e) => bail!("{endpoint} did not take the fault: {e}"),
            }
        }
    }
}

fn ask(options: &AskOptions) -> Result<()> {
    let mut out = io::stdout().lock();
    let seen = load::ask(options.callers, &options.key, &options.model, &options.prompt, &mut out);
    writeln!(out)?;
    match (seen.count, seen.outcome, seen.status) {
        (Some(count), _, _) => {
            writeln!(out, "({count} tokens)")?;
            Ok(())
        }
        (None, Some(outcome), _) => bail!("the daemon answered: {outcome}"),
        (None, None, Some(status)) => bail!("the answer broke off, status {status}"),
        (None, None, None) => bail!("no answer from {}", options.callers),
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
        let address = SocketAddr::new(options.ip, port);
        let server = emulate::bind(address, endpoint)?;
        log::info!("emulating {name} on {}", server.address());
        servers.push(server);
    }
    loop {
        thread::park();
    }
}
