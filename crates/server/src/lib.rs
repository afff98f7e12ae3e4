//! The daemon's parts on one asynchronous stack.
//!
//! Everything runs on one thread of `tokio`. The decisions stay in `trayswitch-core`; here are
//! the edges that carry its inputs and outputs:
//!
//! - [`runtime`] drives the node: its timer, its links to other daemons, its data folder;
//! - [`edge`] takes HTTP connections and bounds what a caller may do to them;
//! - [`overload`] notices when the daemon itself is late;
//! - [`upstream`] reaches endpoints;
//! - [`relay`] carries a request from its caller to an endpoint and the answer back;
//! - [`telemetry`] writes log lines and serves metrics.
//!
//! What callers, endpoints and operators speak is behind [`relay::Protocol`], so that an
//! adapter can put another platform's words in its place.

mod body_buffer;
pub mod edge;
pub mod overload;
pub mod relay;
pub mod runtime;
pub mod telemetry;
#[cfg(test)]
mod testing;
mod timer;
pub mod upstream;
