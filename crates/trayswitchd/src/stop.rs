//! A planned stop: unready first, then no new requests, then out once all have ended.

use std::{process, thread, time::Duration};

use eyre::Result;
use signal_hook::{
    consts::{SIGINT, SIGTERM},
    iterator::Signals,
};
use trayswitch_clock::Instant;
use trayswitch_core::node::Input;

use crate::{node::NodeHandle, settings::Timing, telemetry::EventId};

const CHECK: Duration = Duration::from_millis(50);
/// Time for the last answers to leave, and for another leader to take over.
const LAST: Duration = Duration::from_millis(300);

/// Waits for a signal and carries out the stop; returns when the process may end.
pub(crate) fn wait(node: &NodeHandle, timing: &Timing) -> Result<()> {
    let mut signals = Signals::new([SIGTERM, SIGINT])?;
    signals.forever().next();
    let view = node.view();
    view.begin_stop();
    log::info!("{} {} requests in progress", EventId::StopBegun, view.requests());
    // A second signal ends the process at once.
    thread::spawn(move || {
        if signals.forever().next().is_some() {
            process::exit(130);
        }
    });
    thread::sleep(timing.drain_delay);
    view.begin_drain();
    let began = Instant::now();
    while 0 < view.requests() && began.elapsed() < timing.drain_limit {
        thread::sleep(CHECK);
    }
    match view.requests() {
        0 => log::info!("{} nothing left running", EventId::StopEnded),
        n => log::warn!("{} {n} requests still running", EventId::StopForced),
    }
    node.input(Input::Stop);
    thread::sleep(LAST);
    Ok(())
}
