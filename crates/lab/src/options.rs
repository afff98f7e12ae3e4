//! Checked options of `trayswitch-lab`.

use std::{
    net::{IpAddr, SocketAddr},
    path::PathBuf,
    str::FromStr,
    time::Duration,
};

use clap::ArgMatches;
use eyre::{Result, WrapErr, bail, eyre};

use crate::{
    changes::ChangeOptions,
    control_plane::ControlPlaneOptions,
    engine::EngineSpec,
    experiment::{ExperimentOptions, Mix, Trouble},
    fleet::{Alone, Burst, FleetOptions},
    load::LoadOptions,
};

/// What to run.
pub(crate) enum Options {
    /// Emulated endpoints.
    Emulate(EmulateOptions),
    /// One generation, printed.
    Ask(AskOptions),
    /// Load with a check.
    Load(LoadOptions),
    /// Configuration changes.
    Changes(ChangeOptions),
    /// An experiment.
    Experiment {
        /// What to compare.
        options: ExperimentOptions,
        /// Print JSON.
        json: bool,
    },
    /// A deployment in virtual time, once for each way to place without a scheduler.
    Fleet {
        /// The deployment.
        options: Vec<FleetOptions>,
        /// Print JSON.
        json: bool,
    },
    /// All daemons of a deployment in virtual time.
    ControlPlane {
        /// The deployment.
        options: ControlPlaneOptions,
        /// Print JSON.
        json: bool,
    },
    /// Costs of looking for suspects, and endpoints that end under one with so many daemons.
    Suspects(Vec<usize>),
    /// How limits are kept with so many daemons.
    Limits(Vec<usize>),
    /// What becomes of requests where endpoints reject some, with so many daemons.
    Backoff(Vec<usize>),
    /// Costs of decisions at these sizes.
    Decisions(Vec<usize>),
    /// Time taking configurations in at these numbers of routes.
    Configurations(Vec<usize>),
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
            Some(("changes", m)) => Ok(Options::Changes(ChangeOptions {
                operators: addresses(&text(m, "operators"))?,
                key_file: PathBuf::from(text(m, "key-file")),
                file: PathBuf::from(text(m, "file")),
                count: number(m, "count"),
                pause: Duration::from_millis(number(m, "pause-ms")),
            })),
            Some(("experiment", m)) => {
                let json = m.get_flag("json");
                Ok(Options::Experiment { options: experiment(m)?, json })
            }
            Some(("fleet", m)) => {
                Ok(Options::Fleet { options: fleet(m)?, json: m.get_flag("json") })
            }
            Some(("control-plane", m)) => {
                let json = m.get_flag("json");
                Ok(Options::ControlPlane { options: control_plane(m)?, json })
            }
            Some(("suspects", m)) => Ok(Options::Suspects(numbers(&text(m, "daemons"))?)),
            Some(("limits", m)) => Ok(Options::Limits(numbers(&text(m, "daemons"))?)),
            Some(("backoff", m)) => Ok(Options::Backoff(numbers(&text(m, "daemons"))?)),
            Some(("decisions", m)) => Ok(Options::Decisions(numbers(&text(m, "sizes"))?)),
            Some(("configurations", m)) => Ok(Options::Configurations(numbers(&text(m, "sizes"))?)),
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
        step_per_stream: Duration::from_micros(number(m, "stream-us")),
        step_per_prefill: Duration::from_micros(number(m, "prefill-us")),
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

fn control_plane(m: &ArgMatches) -> Result<ControlPlaneOptions> {
    let count = |name| number(m, name) as usize;
    let seconds = |name| Duration::from_secs(number(m, name));
    let options = ControlPlaneOptions {
        entries: count("entries"),
        control: count("control"),
        engines: count("engines"),
        plain: count("plain"),
        heartbeat: Duration::from_millis(number(m, "heartbeat-ms")),
        start: seconds("start-s"),
        phase: seconds("phase-s"),
        rate: number(m, "rate") as f64,
        replaced: number(m, "replaced-percent") as f64 / 100.0,
        workspaces: count("workspaces"),
        seed: number(m, "seed"),
    };
    if options.entries == 0 || options.control == 0 || options.engines == 0 {
        bail!("--entries, --control and --engines must be at least 1");
    }
    if options.rate <= 0.0 || options.workspaces == 0 || options.heartbeat.is_zero() {
        bail!("--rate, --workspaces and --heartbeat-ms must be at least 1");
    }
    if 1.0 < options.replaced {
        bail!("--replaced-percent must be at most 100");
    }
    Ok(options)
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
        balance: m.get_flag("balance"),
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

fn experiment(m: &ArgMatches) -> Result<ExperimentOptions> {
    let mix = match text(m, "mix").as_str() {
        "magnolia" => Mix::Magnolia,
        "abay" => Mix::Abay,
        other => bail!("--mix {other}: expected magnolia or abay"),
    };
    let trouble = match text(m, "trouble").as_str() {
        "none" => Trouble::None,
        "engine-death" => Trouble::EngineDeath,
        "old-load" => Trouble::OldLoad,
        other => bail!("--trouble {other}: expected none, engine-death or old-load"),
    };
    let options = ExperimentOptions {
        mix,
        engines: number(m, "engines").max(1) as usize,
        loads: numbers(&text(m, "loads"))?,
        first_seed: number(m, "first-seed"),
        seeds: number(m, "seeds").max(1),
        length: Duration::from_secs(number(m, "seconds").max(1)),
        policies: text(m, "policies").split(',').map(str::to_owned).collect(),
        trouble,
        plot: Some(text(m, "plot")).filter(|path| !path.is_empty()).map(PathBuf::from),
    };
    Ok(options)
}

fn fleet(m: &ArgMatches) -> Result<Vec<FleetOptions>> {
    /// Generations a second for each engine, as the users' largest deployment has them.
    const RATE_FOR_ENGINE: f64 = 1.31;
    let engines = number(m, "engines").max(1) as usize;
    let rate = match number(m, "rate") {
        0 => RATE_FOR_ENGINE * engines as f64,
        rate => rate as f64,
    };
    let burst = match text(m, "burst").as_str() {
        "" => None,
        burst => {
            let (span, times) = burst.split_once('x').unwrap_or((burst, "1"));
            let (from, until) = span_of("--burst", span)?;
            Some(Burst { from, until, times: times.parse().wrap_err("--burst")? })
        }
    };
    let lost = match text(m, "lost").as_str() {
        "" => None,
        span => Some(span_of("--lost", span)?),
    };
    let ways = match text(m, "alone").as_str() {
        "all" => Alone::ALL.to_vec(),
        name => {
            let way = Alone::ALL.into_iter().find(|way| way.name() == name);
            vec![way.ok_or_else(|| eyre!("--alone {name}: no such way; see --help"))?]
        }
    };
    let options = FleetOptions {
        entries: number(m, "entries").max(1) as usize,
        engines,
        rate,
        length: Duration::from_secs(number(m, "seconds").max(1)),
        warm_up: Duration::from_secs(number(m, "warm-up")),
        burst,
        lost,
        alone: Alone::Reserved,
        leaving: m.get_flag("leaving"),
        disabled: text(m, "without").parse()?,
        first_seed: number(m, "first-seed"),
        seeds: number(m, "seeds").max(1),
    };
    Ok(ways.into_iter().map(|alone| FleetOptions { alone, ..options.clone() }).collect())
}

/// A span of time such as `5..11`, in seconds.
fn span_of(name: &str, span: &str) -> Result<(Duration, Duration)> {
    let seconds = |text: &str| Duration::try_from_secs_f64(text.parse().ok()?).ok();
    let ends =
        span.split_once("..").and_then(|(from, until)| Some((seconds(from)?, seconds(until)?)));
    ends.ok_or_else(|| eyre!("{name} {span}: expected two numbers of seconds, as 5..11"))
}

fn numbers<T: FromStr>(list: &str) -> Result<Vec<T>> {
    let parse = |item: &str| item.trim().parse().map_err(|_| eyre!("\"{item}\" is no number"));
    list.split(',').map(parse).collect()
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
