//! Stand-ins of clients, runners and the operator, and the cases of the review that run as scripts.
//!
//! `review-stand-ins-2 CASE FOLDER` plays a case and writes `record.txt` to FOLDER. It exits with 1 if the
//! rule was broken, 0 if it held and 2 if the case could not run. With TROUBLE=0 the disruption is left out.

mod cases;
mod fleet;
mod http;
mod proxy;
mod record;
mod runner;

use std::{path::Path, process::ExitCode};

use crate::record::Record;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, folder] = &args[..] else {
        eprintln!("usage: review-stand-ins-2 CASE FOLDER");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = match Record::create(Path::new(folder)) {
        Ok(record) => record,
        Err(e) => {
            eprintln!("cannot write record.txt: {e}");
            return ExitCode::from(2);
        }
    };
    let Ok(root) = std::env::current_dir() else { return ExitCode::from(2) };
    match cases::play(case, &root, trouble, &record) {
        Ok(broken) => {
            record.line(if broken { "the rule is broken" } else { "the rule held" });
            ExitCode::from(u8::from(broken))
        }
        Err(e) => {
            record.line(&format!("the case could not run: {e}"));
            ExitCode::from(2)
        }
    }
}
