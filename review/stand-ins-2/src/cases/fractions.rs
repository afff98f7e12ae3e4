//! A configuration with fractions is sent, acknowledged and read back.

use std::{io, path::Path, time::Duration};

use super::{Config, serving, sleep_ms};
use crate::{http, record::Record};

/// Times that an operator has divided by three: 320, 310, 325 and 275 ms.
const FRACTIONS: [&str; 4] =
    ["106.66666666666667", "103.33333333333333", "108.33333333333333", "91.66666666666667"];

fn config(version: u64, numbers: &[String; 4]) -> Config {
    let gap = format!(",\"gap_aim_ms\":{}", numbers[3]);
    Config::new(version)
        .route("/a/", "safe", "desk", &numbers[0], "")
        .route("/b/", "safe", "desk", &numbers[1], "")
        .route("/c/", "streaming", "desk", &numbers[2], &gap)
        .service("desk")
        .tenant("t-1", "key-of-t-1")
}

/// The numbers that follow these fields, in the order of the text.
fn numbers_of(text: &str, field: &str) -> Vec<f64> {
    let mark = format!("\"{field}\":");
    let pieces = text.split(mark.as_str()).skip(1);
    pieces.filter_map(|piece| piece.split([',', '}']).next()?.parse().ok()).collect()
}

pub fn play(root: &Path, trouble: bool, record: &Record) -> io::Result<bool> {
    let whole = ["106", "103", "108", "91"].map(str::to_owned);
    let fleet = serving(root, 1, &config(1, &whole), record)?;
    let numbers = if trouble { FRACTIONS.map(str::to_owned) } else { whole };
    let sent = config(2, &numbers).text();
    record.line(&format!("the operator sends {sent}"));
    fleet
        .put_config(&sent, 1, Duration::from_secs(10))
        .ok_or_else(|| io::Error::other("the second configuration was not acknowledged"))?;
    sleep_ms(3_000);
    let mut differ = 0;
    for n in 1..=5 {
        let limit = Duration::from_secs(2);
        let read =
            http::ask(fleet.control(n), "GET", "/-/config", &[("Host", "control")], b"", limit)?;
        let read = String::from_utf8_lossy(&read.body).into_owned();
        record.line(&format!("core-{n} answers {read}"));
        for field in ["config-version", "timeout-ms", "gap_aim_ms"] {
            let (sent, got) = (numbers_of(&sent, field), numbers_of(&read, field));
            if sent != got {
                record.line(&format!("{field}: sent {sent:?}, read back {got:?}"));
                differ += 1;
            }
        }
    }
    Ok(0 < differ)
}
