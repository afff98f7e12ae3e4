//! Log lines and metrics.

mod lines;
mod load;
mod metrics;
#[cfg(test)]
mod tests;

pub use trayswitch_core::events::EventId;

pub(crate) use self::metrics::BufferMetrics;
pub use self::{lines::init, metrics::Metrics};
