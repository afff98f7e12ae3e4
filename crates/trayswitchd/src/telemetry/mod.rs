//! Logs, metrics and histograms.

mod histograms;
mod metrics;
#[cfg(test)]
mod tests;

pub(crate) use trayswitch_core::events::EventId;

pub(crate) use self::{
    histograms::{ClassReport, Histograms, Measure},
    metrics::Metrics,
};
