//! Logs, metrics and histograms.

mod events;
mod histograms;
mod metrics;
#[cfg(test)]
mod tests;

pub(crate) use self::{
    events::EventId,
    histograms::{ClassReport, Histograms, Measure},
    metrics::Metrics,
};
