//! One machine that serves control is killed once while the whole system starts for the first time.

use std::{io, path::Path, time::Duration};

use super::{Config, sleep_ms};
use crate::{fleet::Fleet, record::Record};

/// For how long the operator sends the first configuration again: the time after which the core counts as
/// stable (`contact-ms`, 3 s), `ack-ms` (4 s), and much more.
const OPERATOR_TRIES: Duration = Duration::from_secs(45);
/// `recovery-s` of the settings.
const BOUND: Duration = Duration::from_secs(12);

pub fn play(root: &Path, trouble: bool, record: &Record) -> io::Result<bool> {
    let mut fleet = Fleet::new(root, 5, 2, record.clone())?;
    for name in ["core-1", "core-2", "core-4", "core-5", "front-1", "front-2"] {
        fleet.start(name, true)?;
    }
    sleep_ms(100);
    if trouble {
        fleet.kill("core-1");
    }
    sleep_ms(150);
    // Machines start within 0.3 s of each other, in any order.
    fleet.start("core-3", true)?;
    if trouble {
        sleep_ms(250);
        // The first start is over for it: it comes back as every killed process does.
        fleet.start("core-1", false)?;
    }
    let config = Config::new(1)
        .route("/hold/", "safe", "desk", "5000", "")
        .service("desk")
        .tenant("t-1", "key-of-t-1");
    let acknowledged = fleet.put_config(&config.text(), 2, OPERATOR_TRIES);
    for name in fleet.names() {
        if !fleet.runs(&name) {
            return Err(io::Error::other(format!("{name} does not run")));
        }
    }
    let ready = (1..=2).filter(|n| fleet.wait_ready(*n, Duration::from_secs(1))).count();
    record.line(&match acknowledged {
        Some(after) => format!("acknowledged {} ms after it was sent first", after.as_millis()),
        None => "not acknowledged in 45 s, while all five machines of the core ran".to_owned(),
    });
    record.line(&format!("{ready} of 2 entries are ready"));
    Ok(acknowledged.is_none_or(|after| BOUND < after))
}
