//! Metrics of the load that the leader sees.

use eyre::Result;
use prometheus::{IntGaugeVec, Opts, Registry};
use trayswitch_core::placement::{LoadSnapshot, RequestLoad, ServiceLoad};

/// Gauges that are set from the leader's last report; without rows on other daemons.
pub(super) struct LoadMetrics {
    requests: IntGaugeVec,
    waiting: IntGaugeVec,
    next_return: IntGaugeVec,
    endpoints: IntGaugeVec,
    free_tokens: IntGaugeVec,
}

impl LoadMetrics {
    pub(super) fn new(registry: &Registry) -> Result<LoadMetrics> {
        const REQUESTS: [&str; 3] = ["service", "kind", "workspace"];
        let gauge = |name: &str, help: &str, labels: &[&str]| -> Result<IntGaugeVec> {
            let gauge = IntGaugeVec::new(Opts::new(name, help), labels)?;
            registry.register(Box::new(gauge.clone()))?;
            Ok(gauge)
        };
        Ok(LoadMetrics {
            requests: gauge(
                "trayswitch_load_requests",
                "Requests at the leader in the last 10 s, by what became of them",
                &["service", "kind", "workspace", "what"],
            )?,
            waiting: gauge(
                "trayswitch_load_waiting",
                "Requests that wait at the leader",
                &REQUESTS,
            )?,
            next_return: gauge(
                "trayswitch_load_next_return_ms",
                "Time until the request that was rejected last may come back",
                &REQUESTS,
            )?,
            endpoints: gauge(
                "trayswitch_load_endpoints",
                "Endpoints by state, as the leader sees them",
                &["service", "hall", "state"],
            )?,
            free_tokens: gauge(
                "trayswitch_load_free_tokens",
                "Free KV cache of the endpoints that take requests",
                &["service", "hall"],
            )?,
        })
    }

    /// Replaces all values.
    pub(super) fn set(&self, load: &LoadSnapshot) {
        let gauges =
            [&self.requests, &self.waiting, &self.next_return, &self.endpoints, &self.free_tokens];
        gauges.into_iter().for_each(IntGaugeVec::reset);
        load.requests.iter().for_each(|row| self.set_requests(row));
        load.services.iter().for_each(|row| self.set_service(row));
    }

    fn set_requests(&self, row: &RequestLoad) {
        let labels = [row.service.as_str(), row.kind.as_str(), row.workspace.as_str()];
        let [service, kind, workspace] = labels;
        let counts = [
            ("asked", row.asked),
            ("started", row.started),
            ("rejected", row.rejected),
            ("returned", row.returned),
            ("in_time", row.in_time),
            ("late", row.late),
        ];
        for (what, count) in counts {
            let gauge = self.requests.with_label_values(&[service, kind, workspace, what]);
            gauge.set(count as i64);
        }
        self.waiting.with_label_values(&labels).set(row.waiting as i64);
        if let Some(ms) = row.next_return_ms {
            self.next_return.with_label_values(&labels).set(ms as i64);
        }
    }

    fn set_service(&self, row: &ServiceLoad) {
        let (service, hall) = (row.service.as_str(), row.hall.as_str());
        let states = [
            ("available", row.endpoints),
            ("full", row.full),
            ("idle", row.idle),
            ("unavailable", row.unavailable),
        ];
        for (state, count) in states {
            self.endpoints.with_label_values(&[service, hall, state]).set(count as i64);
        }
        self.free_tokens.with_label_values(&[service, hall]).set(row.free_tokens as i64);
    }
}
