//! Timers that end in time on the clock that goes on while the VM is suspended.
//!
//! The runtime's own timers stand still with the VM and would end too late by as long as it was suspended.
//! Those here look again once it is found that the VM was.

use std::{
    cell::Cell,
    rc::Rc,
    time::{self, Duration},
};

use tokio::sync::Notify;
use trayswitch_clock::Instant;

/// The clocks have drifted apart by this much only if the VM was suspended: twice what reading both may take.
const SUSPENDED: Duration = Duration::from_millis(20);
/// Two clocks that were read further apart are not compared: this process was not run in between.
const READ_TOGETHER: Duration = Duration::from_millis(10);

thread_local! {
    static RESUMED: Rc<Notify> = Rc::default();
    static CLOCKS: Cell<Option<Clocks>> = const { Cell::new(None) };
}

/// The time on both clocks, read together.
#[derive(Debug, Clone, Copy)]
struct Clocks {
    stands_still: time::Instant,
    counts_on: Instant,
}

/// Time is over.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Over;

/// Lets timers look again if the VM has been suspended since the last call; returns for how long it was.
pub(crate) fn look() -> Option<Duration> {
    let now = Clocks { stands_still: time::Instant::now(), counts_on: Instant::now() };
    if READ_TOGETHER < now.stands_still.elapsed() {
        return None;
    }
    let last = CLOCKS.replace(Some(now))?;
    let steady = now.stands_still.saturating_duration_since(last.stands_still);
    let suspended = (now.counts_on - last.counts_on).saturating_sub(steady);
    if suspended < SUSPENDED {
        return None;
    }
    RESUMED.with(|resumed| resumed.notify_waiters());
    Some(suspended)
}

/// Waits until then.
pub(crate) async fn sleep_until(at: Instant) {
    let resumed = RESUMED.with(Rc::clone);
    loop {
        let notified = resumed.notified();
        let left = at.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return;
        }
        tokio::select! {
            () = tokio::time::sleep(left) => {}
            () = notified => {}
        }
    }
}

/// Waits for something until then.
pub(crate) async fn until<T>(at: Instant, wait: impl Future<Output = T>) -> Result<T, Over> {
    tokio::select! {
        biased;
        done = wait => Ok(done),
        () = sleep_until(at) => Err(Over),
    }
}
