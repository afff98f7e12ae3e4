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
}

fn emulate() -> Command {
    Command::new("emulate")
        .about("Run emulated engines and plain services on loopback")
        .arg(number("engines", "Number of engines", "0"))
        .arg(number("services", "Number of plain services", "0"))
        .arg(number("port", "First port; each endpoint takes the next", "9101"))
        .arg(number("seed", "Seed of output lengths", "1"))
        .arg(number("kv-tokens", "Memory of an engine, in tokens", "40000"))
        .arg(number("slots", "Most streams in an engine's batch", "64"))
        .arg(number("step-us", "Time of an empty engine step, in microseconds", "15000"))
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
