//! Counters and timers sent as statsd metrics.

use std::{
    net::{SocketAddr, UdpSocket},
    time::Duration,
};

use cadence::{
    Counted, MetricSink, NopMetricSink, QueuingMetricSink, StatsdClient, Timed, UdpMetricSink,
};
use eyre::Result;

const PREFIX: &str = "trayswitch";

/// Sends metrics, or drops them when no receiver is set.
pub(crate) struct Metrics {
    client: StatsdClient,
}

impl Metrics {
    /// Opens a client towards `statsd`.
    pub(crate) fn open(statsd: Option<SocketAddr>) -> Result<Metrics> {
        let client = match statsd {
            Some(address) => {
                let socket = UdpSocket::bind("0.0.0.0:0")?;
                socket.set_nonblocking(true)?;
                queued(UdpMetricSink::from(address, socket)?)
            }
            None => StatsdClient::from_sink(PREFIX, NopMetricSink),
        };
        Ok(Metrics { client })
    }

    /// Counts the end of a request.
    pub(crate) fn ended(&self, kind: &str, outcome: &str, total: Duration) {
        // Metrics are best effort: a lost one must not disturb a request.
        let _ = self
            .client
            .count_with_tags("requests", 1)
            .with_tag("kind", kind)
            .with_tag("outcome", outcome)
            .try_send();
        let _ = self.client.time_with_tags("total", total).with_tag("kind", kind).try_send();
    }

    /// Counts something that rarely happens.
    pub(crate) fn count(&self, name: &str) {
        let _ = self.client.count(name, 1);
    }
}

fn queued(
    sink: impl MetricSink + Send + Sync + std::panic::RefUnwindSafe + 'static,
) -> StatsdClient {
    StatsdClient::from_sink(PREFIX, QueuingMetricSink::from(sink))
}
