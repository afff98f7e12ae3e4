//! Checked options of `trayswitch-lab`.

use std::{
    net::{IpAddr, SocketAddr},
    time::Duration,
};

use clap::ArgMatches;
use eyre::{Result, WrapErr, bail};

use crate::{engine::EngineSpec, load::LoadOptions};

/// What to run.
pub(crate) enum Options {
    /// Emulated endpoints.
    Emulate(EmulateOptions),
    /// One generation, printed.
    Ask(AskOptions),
    /// Load with a check.
    Load(LoadOptions),
    /// A fault to switch on.
    Fault {
        /// The emulated endpoint.
        endpoint: SocketAddr,
        /// The fault, as JSON.
        fault: String,
    },
}

/// What to ask.
pub(crate) struct AskOptions {
    pub(crate) callers: SocketAddr,
    pub(crate) key: String,
    pub(crate) model: String,
    pub(crate) prompt: String,
}

/// Which endpoints to emulate.
pub(crate) struct EmulateOptions {
    pub(crate) ip: IpAddr,
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
            Some(("ask", m)) => Ok(Options::Ask(AskOptions {
                callers: address(&text(m, "callers"))?,
                key: text(m, "key"),
                model: text(m, "model"),
                prompt: text(m, "prompt"),
            })),
            Some(("load", m)) => Ok(Options::Load(load(m)?)),
            Some(("fault", m)) => Ok(Options::Fault {
                endpoint: address(&text(m, "endpoint"))?,
                fault: text(m, "fault"),
            }),
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
    let ip = text(m, "ip");
    let ip = ip.parse().wrap_err_with(|| format!("\"{ip}\" is no IP number"))?;
    Ok(EmulateOptions {
        ip,
        engines: engines as u16,
        services: services as u16,
        first_port: first_port as u16,
        seed: number(m, "seed"),
        spec,
        delay: Duration::from_millis(number(m, "delay-ms")),
    })
}

fn load(m: &ArgMatches) -> Result<LoadOptions> {
    let call = Some(text(m, "call")).filter(|call| !call.is_empty());
    let options = LoadOptions {
        callers: addresses(&text(m, "callers"))?,
        key: text(m, "key"),
        model: text(m, "model"),
        streams: number(m, "streams"),
        length: Some(number(m, "length")).filter(|length| 0 < *length),
        prompt: number(m, "prompt") as usize,
        call,
        calls: number(m, "calls"),
        concurrency: number(m, "concurrency").max(1),
        emulators: addresses(&text(m, "emulators"))?,
        seed: number(m, "seed"),
    };
    if options.callers.is_empty() {
        bail!("--callers needs at least one address");
    }
    if 0 < options.streams && options.model.is_empty() {
        bail!("--streams needs --model");
    }
    if 0 < options.calls && options.call.is_none() {
        bail!("--calls needs --call SERVICE/CALL");
    }
    Ok(options)
}

fn text(m: &ArgMatches, name: &str) -> String {
    m.get_one::<String>(name).cloned().unwrap_or_default()
}

fn address(text: &str) -> Result<SocketAddr> {
    text.parse().wrap_err_with(|| format!("\"{text}\" is no IP number and port"))
}

fn addresses(list: &str) -> Result<Vec<SocketAddr>> {
    list.split(',').map(str::trim).filter(|item| !item.is_empty()).map(address).collect()
}

fn number(m: &ArgMatches, name: &str) -> u64 {
    *m.get_one::<u64>(name).expect("clap fills in the default")
}
