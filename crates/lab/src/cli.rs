//! The command line of `trayswitch-lab`.

use clap::{Arg, Command, value_parser};

/// Builds the command.
pub(crate) fn command() -> Command {
    Command::new("trayswitch-lab")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Emulated endpoints, load and measurements for trayswitch")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(emulate())
        .subcommand(ask())
        .subcommand(load())
        .subcommand(fault())
        .subcommand(changes())
        .subcommand(experiment())
        .subcommand(fleet())
        .subcommand(control_plane())
        .subcommand(
            Command::new("configurations")
                .about("Time taking configurations in at several numbers of routes")
                .arg(text("sizes", "Numbers of routes", Some("50,1450,2850,4250,18000"))),
        )
        .subcommand(
            Command::new("suspects")
                .about("Time the look for suspects, and count the endpoints that end under one")
                .arg(text("daemons", "Daemons, separated by commas", Some("7,64,300"))),
        )
        .subcommand(
            Command::new("limits")
                .about("Compare who keeps the limits that endpoints name")
                .arg(text("daemons", "Daemons, separated by commas", Some("1,7,64,300"))),
        )
        .subcommand(
            Command::new("backoff")
                .about("Compare what daemons make of endpoints that reject requests")
                .arg(text("daemons", "Daemons, separated by commas", Some("1,7,64,300"))),
        )
        .subcommand(
            Command::new("decisions").about("Time scheduling decisions at several sizes").arg(
                text(
                    "sizes",
                    "Endpoints of one model, separated by commas",
                    Some("10,30,150,600,1800"),
                ),
            ),
        )
}

fn experiment() -> Command {
    Command::new("experiment")
        .about("Compare policies on the same arrivals against emulated engines in virtual time")
        .arg(text("mix", "magnolia or abay", Some("magnolia")))
        .arg(number("engines", "Number of engines", "10"))
        .arg(text("loads", "Loads in percent of capacity, separated by commas", Some("70,95,120")))
        .arg(number("first-seed", "First seed; tune below 1000, report from 1000 on", "1000"))
        .arg(number("seeds", "Number of seeds", "20"))
        .arg(number("seconds", "Virtual time of each run", "300"))
        .arg(text(
            "policies",
            "Policies, separated by commas",
            Some("forecast,round-robin,least-outstanding,first-fit"),
        ))
        .arg(text("trouble", "none, engine-death or old-load", Some("none")))
        .arg(text("plot", "SVG file to draw", Some("")))
        .arg(flag("json", "Print JSON"))
}

fn fleet() -> Command {
    Command::new("fleet")
        .about(
            "Play a whole deployment in virtual time: hundreds of entries and engines that leave",
        )
        .arg(number("entries", "Entry VMs", "295"))
        .arg(number("engines", "Engines", "122"))
        .arg(number("rate", "Generations a second; 0 takes 1.31 for each engine", "0"))
        .arg(number("seconds", "Virtual time in which requests come", "16"))
        .arg(number("warm-up", "Seconds at the begin that are not counted", "4"))
        .arg(text("burst", "More traffic for a time, as 7..11x1.6", Some("")))
        .arg(text("lost", "Seconds without a scheduler, as 5..11", Some("")))
        .arg(text(
            "alone",
            "What entries do then: share, two-drawn, reports, reserved, last-known, standby or all",
            Some("reserved"),
        ))
        .arg(flag("leaving", "A sixth of the engines leaves every 3.3 s, and others come"))
        .arg(text("without", "Mechanisms to switch off, separated by commas", Some("")))
        .arg(number("first-seed", "First seed", "1"))
        .arg(number("seeds", "Number of seeds", "4"))
        .arg(flag("json", "Print JSON"))
}

fn control_plane() -> Command {
    Command::new("control-plane")
        .about("Play all daemons of a deployment in virtual time and measure what each role costs")
        .arg(number("entries", "Entry VMs", "985"))
        .arg(number("control", "Control VMs", "10"))
        .arg(number("engines", "Model engines", "9242"))
        .arg(number("plain", "Endpoints of a plain service", "760"))
        .arg(number("heartbeat-ms", "Interval of the endpoints' heartbeats", "5000"))
        .arg(number("start-s", "Seconds in which all endpoints start", "23"))
        .arg(number("phase-s", "Seconds of each phase after the start", "8"))
        .arg(number("rate", "Generations a second", "96"))
        .arg(number("replaced-percent", "Share of the endpoints that is replaced", "5"))
        .arg(number("workspaces", "Workspaces", "333"))
        .arg(number("seed", "Seed of all random choices", "1"))
        .arg(flag("json", "Print JSON"))
}

fn ask() -> Command {
    Command::new("ask")
        .about("Ask a daemon for one generation and print it token by token")
        .arg(text("callers", "Callers' address of a daemon", Some("127.0.0.1:8080")))
        .arg(text("key", "Workspace key", None))
        .arg(text("model", "Model", None))
        .arg(Arg::new("prompt").required(true).help("The prompt"))
}

fn load() -> Command {
    Command::new("load")
        .about("Make load and check what callers saw against what the endpoints ran")
        .arg(text("callers", "Callers' addresses of the daemons, separated by commas", None))
        .arg(text("key", "Workspace key", None))
        .arg(text("model", "Model", Some("")))
        .arg(text("call", "Call that may not be repeated, as SERVICE/CALL", Some("")))
        .arg(text("emulators", "Emulated endpoints whose journals are compared", Some("")))
        .arg(flag(
            "balance",
            "Send only to daemons that say that they are ready, as a balancer does",
        ))
        .arg(number("streams", "Number of generations", "0"))
        .arg(number("length", "Tokens of each generation; 0 lets the endpoint draw it", "0"))
        .arg(number("prompt", "Characters of each prompt", "200"))
        .arg(number("calls", "Number of calls", "0"))
        .arg(number("concurrency", "Requests at once", "50"))
        .arg(number("seed", "Seed", "1"))
}

fn changes() -> Command {
    Command::new("changes")
        .about("Submit configurations and time them until they are in force everywhere")
        .arg(text("operators", "Operators' addresses, the control replicas' first", None))
        .arg(text("key-file", "File with the operator key", None))
        .arg(text("file", "A valid configuration; its version is replaced", None))
        .arg(number("count", "Number of changes", "100"))
        .arg(number("pause-ms", "Pause between changes", "0"))
}

fn fault() -> Command {
    Command::new("fault")
        .about("Switch a fault on in an emulated endpoint")
        .arg(text("endpoint", "Address of the emulated endpoint", None))
        .arg(Arg::new("fault").required(true).help(
            "JSON, for example {\"fault\":\"leave\"}; `turned-away` prints what came after that",
        ))
}

fn text(name: &'static str, help: &'static str, default: Option<&'static str>) -> Arg {
    let arg = Arg::new(name).long(name).help(help).value_name("TEXT");
    match default {
        Some(default) => arg.default_value(default),
        None => arg.required(true),
    }
}

fn flag(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).action(clap::ArgAction::SetTrue).help(help)
}

fn emulate() -> Command {
    Command::new("emulate")
        .about("Run emulated engines and plain services on loopback")
        .arg(text("ip", "Address that the endpoints take", Some("127.0.0.1")))
        .arg(number("engines", "Number of engines", "0"))
        .arg(number("services", "Number of plain services", "0"))
        .arg(number("port", "First port; each endpoint takes the next", "9101"))
        .arg(number("seed", "Seed of output lengths", "1"))
        .arg(number("kv-tokens", "Memory of an engine, in tokens", "40000"))
        .arg(number("slots", "Most streams in an engine's batch", "64"))
        .arg(number("step-us", "Time of an empty engine step, in microseconds", "15000"))
        .arg(number("stream-us", "Time that each stream adds to a step, in microseconds", "250"))
        .arg(number(
            "prefill-us",
            "Time that each prompt token adds to a step, in microseconds",
            "50",
        ))
        .arg(number("delay-ms", "Time that each call of a plain service takes", "2"))
}

fn number(name: &'static str, help: &'static str, default: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .help(help)
        .value_name("N")
        .default_value(default)
        .value_parser(value_parser!(u64))
}
