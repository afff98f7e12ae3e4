//! Sends requests through another daemon to endpoints that this daemon cannot connect to.
//!
//! The other daemon, the forwarder, makes one exchange with the endpoint that was chosen here and
//! passes the response back. Placement, retries and admission stay with the daemon that has the
//! caller. The forwarder checks what binds the daemon that sends: back-off, leaving endpoints and
//! data halls out of service. A forwarded request is not forwarded again.

mod client;
mod message;
mod pool;
mod probes;
mod server;

pub(super) use self::{
    message::Purpose, pool::ForwarderPool, probes::spawn_probes, server::ForwardedLoad,
};
