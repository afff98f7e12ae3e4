//! Decision core of trayswitch.
//!
//! Every module here is pure: functions take the time and an input, and return
//! what must be done. Clocks, sockets, files and threads live in the daemon,
//! except for [`storage`], which owns the synced files of a control replica.

pub mod agreement;
pub mod backoff;
pub mod config;
pub mod delivery;
pub mod error;
pub mod events;
pub mod link;
pub mod mechanism;
pub mod node;
pub mod once;
pub mod placement;
pub mod quarantine;
pub mod reachability;
pub mod registry;
pub mod retry_budget;
pub mod signals;
pub mod software_version;
pub mod state;
pub mod storage;
pub mod stream_origin;
#[cfg(test)]
mod testing;
pub mod throttle;
pub mod units;
pub mod wire;
