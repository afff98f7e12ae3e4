//! Faults that can be switched on in an emulated endpoint.

use std::{
    process,
    sync::{Mutex, MutexGuard},
    thread,
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};

/// Exit code of a process that a fault ends.
const EXIT: i32 = 9;

/// One fault, as posted to `/emulator/faults`.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(tag = "fault", rename_all = "snake_case")]
pub(crate) enum Fault {
    /// No progress and no bytes for this long.
    Freeze {
        /// Length in milliseconds.
        ms: u64,
    },
    /// Every stream and answer now open or among the next `count` is cut without a proper end.
    Cut {
        /// Number of connections to cut.
        count: u64,
    },
    /// The next `count` requests run, but their answers are never sent.
    DropAnswer {
        /// Number of requests.
        count: u64,
    },
    /// The next `count` requests are refused before they run.
    Refuse {
        /// Number of requests.
        count: u64,
    },
    /// All generations are forgotten.
    Forget,
    /// In need: answers name how many requests a second it takes, until this is set without a number.
    Limit {
        /// Requests a second.
        per_second: Option<f64>,
    },
    /// Overloaded: new requests are rejected with this back-off, until this is set without a time.
    Backoff {
        /// Seconds for which it wants nothing from the daemon.
        retry_after: Option<f64>,
    },
    /// Leaving: what runs goes on, new requests are refused.
    Leave,
    /// Back from leaving.
    Return,
    /// The process ends at once.
    Die,
    /// The process ends when it begins to run a request whose text holds this.
    DieUnder {
        /// The text.
        text: String,
    },
}

#[derive(Debug, Default)]
struct State {
    frozen_until: Option<Instant>,
    cuts: u64,
    drops: u64,
    refusals: u64,
    left_at: Option<Instant>,
    turned_away: TurnedAway,
    forget: bool,
    deadly: Option<String>,
    limit: Option<String>,
    retry_after: Option<String>,
    /// Since when requests are rejected with back-off.
    rejects_since: Option<Instant>,
}

/// New work that came to an endpoint after it began to leave, or to ask for back-off.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub(crate) struct TurnedAway {
    /// Number of requests.
    count: u64,
    /// When the last came, in milliseconds after that.
    last_ms: u64,
}

impl State {
    /// Counts a request that is turned away, if the reason for that has begun; tells whether it has.
    fn count_turned_away(&mut self, since: Option<Instant>) -> bool {
        let Some(since) = since else { return false };
        self.turned_away.count += 1;
        self.turned_away.last_ms = since.elapsed().as_millis() as u64;
        true
    }
}

/// The faults in force.
#[derive(Debug, Default)]
pub(crate) struct Faults {
    state: Mutex<State>,
}

impl Faults {
    /// Switches a fault on.
    pub(crate) fn set(&self, fault: Fault) {
        let mut state = self.state();
        match fault {
            Fault::Freeze { ms } => {
                state.frozen_until = Some(Instant::now() + Duration::from_millis(ms));
            }
            Fault::Cut { count } => state.cuts = count,
            Fault::DropAnswer { count } => state.drops = count,
            Fault::Refuse { count } => state.refusals = count,
            Fault::Forget => state.forget = true,
            Fault::Limit { per_second } => {
                state.limit = per_second.map(|limit| limit.to_string());
            }
            Fault::Backoff { retry_after } => {
                state.retry_after = retry_after.map(|seconds| seconds.to_string());
                state.rejects_since = retry_after.map(|_| Instant::now());
                state.turned_away = TurnedAway::default();
            }
            Fault::Leave => {
                state.left_at = Some(Instant::now());
                state.turned_away = TurnedAway::default();
            }
            Fault::Return => state.left_at = None,
            Fault::Die => process::exit(EXIT),
            Fault::DieUnder { text } => state.deadly = Some(text),
        }
    }

    /// The requests a second that answers name.
    pub(crate) fn limit(&self) -> Option<String> {
        self.state().limit.clone()
    }

    /// Ends the process if a request with this text is to end it.
    pub(crate) fn begin(&self, text: &str) {
        if self.state().deadly.as_ref().is_some_and(|deadly| text.contains(deadly.as_str())) {
            process::exit(EXIT);
        }
    }

    /// Waits while frozen.
    pub(crate) fn wait_while_frozen(&self) {
        loop {
            let until = self.state().frozen_until;
            let Some(left) = until.and_then(|at| at.checked_duration_since(Instant::now())) else {
                return;
            };
            thread::sleep(left);
        }
    }

    /// Whether the endpoint is leaving.
    pub(crate) fn leaving(&self) -> bool {
        self.state().left_at.is_some()
    }

    /// Whether the endpoint is leaving and a new request is to be turned away; notes it.
    pub(crate) fn turn_away(&self) -> bool {
        let mut state = self.state();
        let left_at = state.left_at;
        state.count_turned_away(left_at)
    }

    /// The back-off with which a new request is to be rejected, if it is; notes it.
    pub(crate) fn reject(&self) -> Option<String> {
        let mut state = self.state();
        let since = state.rejects_since;
        state.count_turned_away(since);
        state.retry_after.clone()
    }

    /// New work that came since the endpoint began to leave, or to ask for back-off.
    pub(crate) fn turned_away(&self) -> TurnedAway {
        self.state().turned_away
    }

    /// Whether this connection is to be cut; counts it.
    pub(crate) fn take_cut(&self) -> bool {
        take(&mut self.state().cuts)
    }

    /// Whether this answer is to be dropped; counts it.
    pub(crate) fn take_drop(&self) -> bool {
        take(&mut self.state().drops)
    }

    /// Whether this request is to be refused; counts it.
    pub(crate) fn take_refusal(&self) -> bool {
        take(&mut self.state().refusals)
    }

    /// Whether all generations are to be forgotten, once.
    pub(crate) fn take_forget(&self) -> bool {
        std::mem::take(&mut self.state().forget)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no fault handler panics")
    }
}

fn take(count: &mut u64) -> bool {
    let some = 0 < *count;
    *count = count.saturating_sub(1);
    some
}
