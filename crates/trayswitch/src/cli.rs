//! The command line of `trayswitch`.

use clap::{Arg, ArgAction, Command, value_parser};
use clap_complete::Shell;
use trayswitch_core::quarantine::ContentDigest;

/// Builds the command.
pub(crate) fn command() -> Command {
    Command::new("trayswitch")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Submits configurations to trayswitch and shows its state")
        .after_help(
            "Exit codes: 0 done; 1 failed; 2 wrong usage; 3 the file was refused;\n\
             4 no answer, so that it is not known whether a file or an order was accepted.",
        )
        .subcommand_required(true)
        .arg_required_else_help(true)
        .arg(
            Arg::new("operators")
                .long("operators")
                .global(true)
                .value_name("IP:PORT")
                .default_value("127.0.0.1:8081")
                .help("Operators' address of any daemon"),
        )
        .arg(
            Arg::new("key-file")
                .long("key-file")
                .global(true)
                .value_name("FILE")
                .help("File with the operator key"),
        )
        .arg(
            Arg::new("json")
                .long("json")
                .global(true)
                .action(ArgAction::SetTrue)
                .help("Print JSON"),
        )
        .subcommand(config())
        .subcommand(Command::new("status").about("Show one daemon and its histograms"))
        .subcommand(
            Command::new("endpoints").about("Show the endpoints as the scheduler sees them"),
        )
        .subcommand(
            Command::new("load").about(
                "Show who waits and who is rejected, and the capacity, as the leader sees it",
            ),
        )
        .subcommand(Command::new("workspaces").about("Show the workspaces in force"))
        .subcommand(
            Command::new("control")
                .about("Look after the control replicas")
                .subcommand_required(true)
                .subcommand(Command::new("status").about("Show the control replicas and daemons")),
        )
        .subcommand(hall())
        .subcommand(suspects())
        .subcommand(
            Command::new("explain")
                .about("Tell a request's story from the log files of several VMs")
                .arg(Arg::new("id").value_name("ID").required(true).help("Name of the request"))
                .arg(
                    Arg::new("files")
                        .value_name("FILE")
                        .required(true)
                        .num_args(1..)
                        .help("Log files"),
                ),
        )
        .subcommand(
            Command::new("completions")
                .about("Print completions for a shell")
                .arg(Arg::new("shell").required(true).value_parser(value_parser!(Shell))),
        )
}

fn hall() -> Command {
    let name = || Arg::new("name").value_name("NAME").required(true).help("Name of the data hall");
    Command::new("hall")
        .about("Take data halls out of service and give them back")
        .subcommand_required(true)
        .subcommand(
            Command::new("out").about("Send nothing more to the endpoints of a hall").arg(name()),
        )
        .subcommand(Command::new("back").about("Give a hall back to service").arg(name()))
        .subcommand(Command::new("list").about("Show the data halls"))
}

fn suspects() -> Command {
    let digest =
        Arg::new("request").value_name("DIGEST").required(true).help("Digest of the request");
    let digest = digest.value_parser(|text: &str| {
        ContentDigest::parse(text).ok_or("expected 32 hexadecimal digits")
    });
    Command::new("suspects")
        .about("Look after requests under which endpoints have ended")
        .subcommand_required(true)
        .subcommand(Command::new("list").about("Show them, as a control VM knows them"))
        .subcommand(
            Command::new("clear").about("Let a request be sent to endpoints again").arg(digest),
        )
}

fn config() -> Command {
    let file = || Arg::new("file").value_name("FILE").required(true).help("Configuration file");
    Command::new("config")
        .about("Check, submit and show configurations")
        .subcommand_required(true)
        .subcommand(Command::new("check").about("Check a file without any daemon").arg(file()))
        .subcommand(
            Command::new("submit").about("Submit a file").arg(file()).arg(
                Arg::new("wait")
                    .long("wait")
                    .action(ArgAction::SetTrue)
                    .help("Wait until it is in force on every daemon that the leader hears"),
            ),
        )
        .subcommand(Command::new("show").about("Print the configuration in force"))
        .subcommand(
            Command::new("diff")
                .about("Compare a file with the configuration in force")
                .arg(file()),
        )
        .subcommand(
            Command::new("key")
                .about("Print the key_sha256 of a workspace key read from standard input"),
        )
}
