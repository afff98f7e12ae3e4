//! Asks the endpoints that the leader has assigned to this daemon for their load.

use std::{
    collections::BTreeMap,
    sync::{Arc, mpsc},
    thread,
    time::Duration,
};

use eyre::Result;
use trayswitch_core::{
    config::EndpointTarget,
    node::Input,
    wire::{HealthNews, Report},
};

use super::{Load, Reply};
use crate::{callers::Callers, telemetry::EventId};

const EVERY: Duration = Duration::from_millis(500);
/// Failed asks in a row after which an endpoint counts as failed.
const PATIENCE: u32 = 2;
const STACK: usize = 256 * 1024;

struct Asked {
    endpoint: String,
    reply: Reply<Load>,
}

/// Starts the thread that asks.
pub(crate) fn spawn(callers: Arc<Callers>) -> Result<()> {
    let run = move || {
        let mut failures = BTreeMap::new();
        loop {
            thread::sleep(EVERY);
            for asked in ask_all(&callers) {
                judge(&callers, asked, &mut failures);
            }
        }
    };
    thread::Builder::new().name("watcher".into()).spawn(run)?;
    Ok(())
}

/// Asks all at once, so that a frozen endpoint does not hold the others up.
fn ask_all(callers: &Arc<Callers>) -> Vec<Asked> {
    let Some(active_config) = callers.node().view().active_config() else { return Vec::new() };
    let (tx, rx) = mpsc::channel();
    for endpoint in callers.node().view().watched() {
        let Some(spec) = active_config.config.endpoints.get(&endpoint) else { continue };
        if matches!(spec.target, EndpointTarget::Service(_)) {
            // Plain services have no load report of their own.
            continue;
        }
        let (callers, address, tx) = (callers.clone(), spec.address, tx.clone());
        let ask = move || {
            let reply = callers.engine().load(address);
            let _ = tx.send(Asked { endpoint, reply });
        };
        let thread = thread::Builder::new().name("load".into()).stack_size(STACK);
        if let Err(e) = thread.spawn(ask) {
            log::warn!("no thread to ask an endpoint: {e}");
        }
    }
    drop(tx);
    rx.into_iter().collect()
}

fn judge(callers: &Callers, asked: Asked, failures: &mut BTreeMap<String, u32>) {
    callers.note_own_answer(&asked.endpoint.as_str().into(), &asked.reply);
    match asked.reply.result {
        Ok(load) => {
            failures.remove(&asked.endpoint);
            callers.node().input(Input::Load(report(asked.endpoint, load)));
        }
        Err(error) => {
            let count = failures.entry(asked.endpoint.clone()).or_default();
            *count += 1;
            if PATIENCE <= *count {
                log::debug!("{} {}: {error}", EventId::EndpointFailed, asked.endpoint);
                let endpoint = asked.endpoint.as_str().into();
                callers.node().input(Input::Health(endpoint, HealthNews::Failed));
            }
        }
    }
}

fn report(endpoint: String, load: Load) -> Report {
    Report {
        endpoint,
        running: load.running,
        waiting: load.waiting,
        kv_used: load.kv_used,
        age_ms: load.age_ms,
        leaving: load.leaving,
    }
}
