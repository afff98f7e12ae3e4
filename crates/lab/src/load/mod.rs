//! Load: many callers at once, with an independent check of what they saw against what
//! the emulated endpoints ran.

mod call;
mod chat;
mod check;
mod report;
#[cfg(test)]
mod tests;

use std::{
    net::SocketAddr,
    sync::{
        Mutex,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use ureq::{Agent, AgentBuilder};

use self::{call::CallSeen, check::Checked};
pub(crate) use self::{
    chat::{ChatSeen, ask},
    report::LoadReport,
};

/// What load to make.
#[derive(Debug, Clone)]
pub(crate) struct LoadOptions {
    /// Callers' addresses of the daemons; used in turn.
    pub(crate) callers: Vec<SocketAddr>,
    /// The workspace's key.
    pub(crate) key: String,
    /// Model to ask.
    pub(crate) model: String,
    /// Number of generations.
    pub(crate) streams: u64,
    /// Length of each generation; drawn by the endpoint when absent.
    pub(crate) length: Option<u64>,
    /// Characters in each prompt.
    pub(crate) prompt: usize,
    /// Service and call, as `SERVICE/CALL`.
    pub(crate) call: Option<String>,
    /// Number of calls.
    pub(crate) calls: u64,
    /// Requests at once.
    pub(crate) concurrency: u64,
    /// Whether to send only to daemons that say that they are ready.
    pub(crate) balance: bool,
    /// Emulated endpoints whose journals are compared.
    pub(crate) emulators: Vec<SocketAddr>,
    /// Seed of what is random.
    pub(crate) seed: u64,
}

/// What one request came to.
#[derive(Debug)]
enum Seen {
    Chat(ChatSeen),
    Call(CallSeen),
}

/// Makes the load and checks it.
pub(crate) fn run(options: &LoadOptions) -> LoadReport {
    let began = Instant::now();
    let total = options.streams + options.calls;
    let next = AtomicU64::new(0);
    let seen = Mutex::new(Vec::new());
    thread::scope(|scope| {
        for _ in 0..options.concurrency.min(total) {
            scope.spawn(|| work(options, total, &next, &seen));
        }
    });
    let seen = seen.into_inner().expect("no worker panics");
    let took = began.elapsed();
    let mut report = LoadReport::new(took);
    let journals = check::journals(&options.emulators);
    let checked = Checked::new(&seen, &journals);
    for seen in &seen {
        report.add(seen);
    }
    report.finish(checked);
    report
}

fn work(options: &LoadOptions, total: u64, next: &AtomicU64, seen: &Mutex<Vec<Seen>>) {
    let agent = agent();
    loop {
        let number = next.fetch_add(1, Ordering::Relaxed);
        if total <= number {
            return;
        }
        // Calls and generations are spread evenly over the run.
        let is_call = number * options.calls / total != (number + 1) * options.calls / total;
        let one = if is_call {
            Seen::Call(call::make(&agent, options, number))
        } else {
            Seen::Chat(chat::make(&agent, options, number))
        };
        seen.lock().expect("no worker panics").push(one);
    }
}

fn agent() -> Agent {
    AgentBuilder::new()
        .timeout_connect(Duration::from_secs(3))
        .timeout_read(Duration::from_secs(60))
        .max_idle_connections(0)
        .build()
}

/// The daemon for a request, or for a later attempt at it. With `balance`, the next one that
/// says that it is ready, as a balancer would choose.
fn daemon(agent: &Agent, options: &LoadOptions, number: u64, attempt: u64) -> SocketAddr {
    const TRIES: usize = 1_000;
    const PAUSE: Duration = Duration::from_millis(20);
    let first = (number + attempt) as usize;
    let at = |i: usize| options.callers[i % options.callers.len()];
    if !options.balance {
        return at(first);
    }
    for i in first..first + TRIES {
        if agent.get(&format!("http://{}/ready", at(i))).call().is_ok() {
            return at(i);
        }
        thread::sleep(PAUSE);
    }
    at(first)
}
