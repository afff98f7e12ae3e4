//! Checked options of `trayswitch-lab`.

use std::time::Duration;

use clap::ArgMatches;
use eyre::{Result, bail};

use crate::engine::EngineSpec;

/// What to run.
pub(crate) enum Options {
    /// Emulated endpoints.
    Emulate(EmulateOptions),
}

/// Which endpoints to emulate.
pub(crate) struct EmulateOptions {
    pub(crate) engines: u16,
    pub(crate) services: u16,
    pub(crate) first_port: u16,
    pub(crate) seed: u64,
    pub(crate) spec: EngineSpec,
    pub(crate) delay: Duration,
}

impl Options {
    /// Checks the matches of [`crate::cli::command`].
    pub(crate) fn from_matches(matches: &ArgMatches) -> Result<Options> {
        match matches.subcommand() {
            Some(("emulate", m)) => Ok(Options::Emulate(emulate(m)?)),
            _ => bail!("unknown command; see --help"),
        }
    }
}

fn emulate(m: &ArgMatches) -> Result<EmulateOptions> {
    let engines = number(m, "engines");
    let services = number(m, "services");
    let first_port = number(m, "port");
    if engines + services == 0 {
        bail!("nothing to emulate; give --engines or --services");
    }
    if u16::MAX as u64 <= first_port + engines + services {
        bail!("--port {first_port} leaves no room for {} ports", engines + services);
    }
    let spec = EngineSpec {
        slots: number(m, "slots") as usize,
        kv_tokens: number(m, "kv-tokens"),
        step_base: Duration::from_micros(number(m, "step-us")),
        ..EngineSpec::default()
    };
    Ok(EmulateOptions {
        engines: engines as u16,
        services: services as u16,
        first_port: first_port as u16,
        seed: number(m, "seed"),
        spec,
        delay: Duration::from_millis(number(m, "delay-ms")),
    })
}

fn number(m: &ArgMatches, name: &str) -> u64 {
    *m.get_one::<u64>(name).expect("clap fills in the default")
}
