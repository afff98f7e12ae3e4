//! Stand-ins for the cases of this review: `stand-in CASE FOLDER` plays a case and writes
//! `record.txt` into the folder. Exits with 1 if the rule was broken, 0 if it held, and 2 if the
//! case could not run. With TROUBLE=0 the disruption is left out.

mod caller;
mod config;
mod http;
mod moved_key;
mod reborn;
mod runner;
mod site;
mod spot;
mod stopped;
mod thawed;

use std::{env, io, path::Path, process::ExitCode};

use crate::site::Record;

/// What a case has found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Verdict {
    Held,
    Broken,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = env::args().skip(1).collect();
    let result = match arguments.split_first() {
        Some((case, rest)) if case == "runner" => match runner::Options::parse(rest) {
            Some(options) => runner::run(options).map(|()| Verdict::Held),
            None => Err(io::Error::other("the runner's arguments cannot be read")),
        },
        Some((case, [folder])) => play(case, Path::new(folder)),
        _ => Err(io::Error::other("usage: stand-in CASE FOLDER")),
    };
    match result {
        Ok(Verdict::Held) => ExitCode::SUCCESS,
        Ok(Verdict::Broken) => ExitCode::from(1),
        Err(e) => {
            eprintln!("the case could not run: {e}");
            ExitCode::from(2)
        }
    }
}

fn play(case: &str, folder: &Path) -> io::Result<Verdict> {
    let has_trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::create(&folder.join("record.txt"))?;
    record.write(&format!("case {case}, with the disruption: {has_trouble}"));
    let result = match case {
        "spot" => spot::play(&record, has_trouble),
        "moved-key" => moved_key::play(&record, has_trouble),
        "reborn" => reborn::play(&record, has_trouble),
        "stopped" => stopped::play(&record, has_trouble),
        "thawed" => thawed::play(&record, has_trouble),
        _ => Err(io::Error::other("unknown case")),
    };
    match &result {
        Ok(verdict) => record.write(&format!("verdict: {verdict:?}")),
        Err(e) => record.write(&format!("the case could not run: {e}")),
    }
    result
}
