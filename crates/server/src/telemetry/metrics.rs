//! Counters, gauges and latency histograms in the common text form.

use std::time::Duration;

use eyre::Result;
use prometheus::{
    Gauge, GaugeVec, HistogramOpts, HistogramVec, IntCounterVec, IntGauge, Opts, Registry,
    TextEncoder,
};
use trayswitch_core::{link::LinkReport, placement::LoadSnapshot};

use super::load::LoadMetrics;

/// Upper bounds of latency in seconds: finer around the users' targets of 0.1 to 1.8 s.
const LATENCY_BOUNDS: [f64; 14] =
    [0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 1.5, 2.0, 5.0, 10.0, 40.0];

/// What a daemon counts. docs/METRICS.md is the catalogue.
pub struct Metrics {
    registry: Registry,
    requests: IntCounterVec,
    attempts: IntCounterVec,
    moves: IntCounterVec,
    continued: IntCounterVec,
    taken_up: IntCounterVec,
    origins: IntCounterVec,
    broke_off: IntCounterVec,
    suspects: IntGauge,
    quarantined: IntGauge,
    trials: IntCounterVec,
    limits_read: IntCounterVec,
    signals_read: IntCounterVec,
    limited_endpoints: IntGauge,
    backing_off: IntGauge,
    unreachable: IntGauge,
    broken_paths: IntGauge,
    forwarded: IntCounterVec,
    forwarded_for_others: IntCounterVec,
    shed_connections: IntCounterVec,
    listener_closed: IntCounterVec,
    buffers: BufferMetrics,
    connects: HistogramVec,
    link_rate: GaugeVec,
    link_capacity: Gauge,
    link_delay: Gauge,
    leaves: IntCounterVec,
    latency: HistogramVec,
    first_event: HistogramVec,
    config_version: IntGauge,
    in_progress: IntGauge,
    halls_out: IntGauge,
    hall_orders: IntCounterVec,
    node_input: HistogramVec,
    timer_late: HistogramVec,
    term: IntGauge,
    data_write: HistogramVec,
    data_write_wait: HistogramVec,
    suspended: HistogramVec,
    changes_sent: IntCounterVec,
    change_bytes: IntCounterVec,
    link_write: HistogramVec,
    load: LoadMetrics,
}

/// What the memory budget counts.
#[derive(Clone)]
pub(crate) struct BufferMetrics {
    used: IntGauge,
    peak: IntGauge,
    refused: IntCounterVec,
}

impl BufferMetrics {
    /// Notes how many bytes are buffered.
    pub(crate) fn set(&self, bytes: usize) {
        let bytes = i64::try_from(bytes).unwrap_or(i64::MAX);
        self.used.set(bytes);
        self.peak.set(bytes.max(self.peak.get()));
    }

    /// Counts a buffer that was refused.
    pub(crate) fn on_refused(&self) {
        self.refused.with_label_values::<&str>(&[]).inc();
    }
}

impl Metrics {
    /// Metrics that stand at zero.
    pub fn new() -> Result<Metrics> {
        let registry = Registry::new();
        let counter = |name: &str, help: &str, labels: &[&str]| -> Result<IntCounterVec> {
            let counter = IntCounterVec::new(Opts::new(name, help), labels)?;
            registry.register(Box::new(counter.clone()))?;
            Ok(counter)
        };
        let histogram = |name: &str, help: &str, labels: &[&str]| -> Result<HistogramVec> {
            let opts = HistogramOpts::new(name, help).buckets(LATENCY_BOUNDS.to_vec());
            let histogram = HistogramVec::new(opts, labels)?;
            registry.register(Box::new(histogram.clone()))?;
            Ok(histogram)
        };
        let gauge = |name: &str, help: &str| -> Result<IntGauge> {
            let gauge = IntGauge::new(name, help)?;
            registry.register(Box::new(gauge.clone()))?;
            Ok(gauge)
        };
        let float_gauge = |name: &str, help: &str| -> Result<Gauge> {
            let gauge = Gauge::new(name, help)?;
            registry.register(Box::new(gauge.clone()))?;
            Ok(gauge)
        };
        Ok(Metrics {
            requests: counter(
                "trayswitch_requests_total",
                "Requests that ended, by workspace, kind and cause of the end",
                &["workspace", "kind", "cause"],
            )?,
            attempts: counter(
                "trayswitch_attempts_total",
                "Attempts at endpoints, by service and how they ended",
                &["service", "end"],
            )?,
            moves: counter(
                "trayswitch_moves_total",
                "Moves of running generations, by how they ended",
                &["end"],
            )?,
            continued: counter(
                "trayswitch_streams_continued_total",
                "Streams that went on at another endpoint, or at another attempt of their caller, by service, how, and whether the software version is the one that began them",
                &["service", "how", "version"],
            )?,
            taken_up: counter(
                "trayswitch_streams_taken_up_total",
                "Streams that callers take up, by service and whether the software version that began them is known, or why not",
                &["service", "origin"],
            )?,
            origins: counter(
                "trayswitch_stream_origins_total",
                "Streams that have begun, by service and whether the endpoint confirmed the run that is known of it",
                &["service", "end"],
            )?,
            broke_off: counter(
                "trayswitch_attempts_broken_off_total",
                "Attempts that broke off, by service and what the endpoint's address said then",
                &["service", "endpoint"],
            )?,
            suspects: gauge(
                "trayswitch_suspects",
                "Requests under which endpoints have ended, as this daemon knows",
            )?,
            quarantined: gauge(
                "trayswitch_quarantined",
                "Those of them that are sent to no endpoint",
            )?,
            trials: counter(
                "trayswitch_trials_total",
                "Tries of such requests, by what the leader answered",
                &["answer"],
            )?,
            limits_read: counter(
                "trayswitch_limits_read_total",
                "Answers in which an endpoint names how many requests a second it takes, by service and whether it can be read",
                &["service", "limit"],
            )?,
            signals_read: counter(
                "trayswitch_endpoint_signals_total",
                "Answers in which an endpoint asks for back-off, says that it leaves or that it is cold, by service, signal and whether it can be read",
                &["service", "signal", "end"],
            )?,
            limited_endpoints: gauge(
                "trayswitch_limited_endpoints",
                "Endpoints that name how many requests a second they take, as this daemon knows",
            )?,
            backing_off: gauge(
                "trayswitch_backing_off_endpoints",
                "Endpoints that have asked this daemon to back off",
            )?,
            unreachable: gauge(
                "trayswitch_unreachable_endpoints",
                "Endpoints to which the last connection attempt of this daemon failed",
            )?,
            broken_paths: gauge(
                "trayswitch_broken_paths",
                "Those of them that another daemon has reached since",
            )?,
            forwarded: counter(
                "trayswitch_forwarded_total",
                "Requests offered to other daemons because this one cannot connect to their endpoints, by service and what became of the offer",
                &["service", "end"],
            )?,
            forwarded_for_others: counter(
                "trayswitch_forwarded_for_others_total",
                "Requests that other daemons have offered to this one, by what became of them",
                &["end"],
            )?,
            shed_connections: counter(
                "trayswitch_shed_connections_total",
                "Connections of callers that were closed unread because the daemon was overloaded, by cause",
                &["cause"],
            )?,
            listener_closed: counter(
                "trayswitch_listener_closed_ms_total",
                "Time for which new connections were refused because the VM's network link is full, in ms",
                &[],
            )?,
            buffers: BufferMetrics {
                used: gauge(
                    "trayswitch_buffered_bytes",
                    "Bytes of bodies and events that are buffered for callers and endpoints",
                )?,
                peak: gauge(
                    "trayswitch_buffered_bytes_peak",
                    "The most of them at a time since the start",
                )?,
                refused: counter(
                    "trayswitch_buffers_refused_total",
                    "Buffers that were refused because the memory budget was used up",
                    &[],
                )?,
            },
            connects: histogram(
                "trayswitch_connect_seconds",
                "Time until a connection to an endpoint came up or was given up",
                &["end"],
            )?,
            link_rate: {
                let opts = Opts::new(
                    "trayswitch_network_bytes_per_second",
                    "Bytes on the VM's network link over the last half second, packet headers included",
                );
                let rate = GaugeVec::new(opts, &["direction"])?;
                registry.register(Box::new(rate.clone()))?;
                rate
            },
            link_capacity: float_gauge(
                "trayswitch_network_capacity_bytes_per_second",
                "Bytes that the link carries in each direction; 0 if unknown",
            )?,
            link_delay: float_gauge(
                "trayswitch_network_delay_seconds",
                "By how much recent connections to all peers took longer than they can",
            )?,
            leaves: counter(
                "trayswitch_leaves_total",
                "Calls for which an endpoint that names a limit was chosen, by service and what became of them",
                &["service", "end"],
            )?,
            latency: histogram(
                "trayswitch_request_seconds",
                "Time to the end of the answer, by kind",
                &["kind"],
            )?,
            first_event: histogram(
                "trayswitch_first_event_seconds",
                "Time to the first event of a generation, by kind",
                &["kind"],
            )?,
            config_version: gauge("trayswitch_config_version", "Configuration in force")?,
            in_progress: gauge("trayswitch_requests_in_progress", "Requests in progress")?,
            halls_out: gauge("trayswitch_halls_out", "Data halls that are out of service")?,
            hall_orders: counter(
                "trayswitch_hall_orders_total",
                "Operators' orders about data halls that were answered here, by what they came to",
                &["result"],
            )?,
            node_input: histogram(
                "trayswitch_node_input_seconds",
                "Time in which the node decides on an input, by kind of input",
                &["input"],
            )?,
            timer_late: histogram(
                "trayswitch_timer_late_seconds",
                "How late the node's timer came: for so long the daemon's thread was held up",
                &[],
            )?,
            term: gauge("trayswitch_term", "Term of the control replica on this VM")?,
            data_write: histogram(
                "trayswitch_data_write_seconds",
                "Time for writing and syncing a file of the data folder",
                &["file"],
            )?,
            data_write_wait: histogram(
                "trayswitch_data_write_wait_seconds",
                "Time for which a write of the data folder waited for others",
                &["file"],
            )?,
            suspended: histogram(
                "trayswitch_suspended_seconds",
                "For how long the VM was suspended, each time",
                &[],
            )?,
            changes_sent: counter(
                "trayswitch_changes_sent_total",
                "Changes of the configuration told to daemons unasked, and pieces of them that were asked for",
                &["how"],
            )?,
            change_bytes: counter("trayswitch_changes_sent_bytes_total", "Their bytes", &["how"])?,
            link_write: histogram(
                "trayswitch_link_write_seconds",
                "Time until a peer's socket has taken what was gathered for it",
                &[],
            )?,
            load: LoadMetrics::new(&registry)?,
            registry,
        })
    }

    /// Counts a request that ended.
    pub fn request(&self, workspace: &str, kind: &str, cause: &str, took: Duration) {
        self.requests.with_label_values(&[workspace, kind, cause]).inc();
        self.latency.with_label_values(&[kind]).observe(took.as_secs_f64());
    }

    /// Counts an attempt at an endpoint.
    pub fn attempt(&self, service: &str, end: &str) {
        self.attempts.with_label_values(&[service, end]).inc();
    }

    /// Counts a move.
    pub fn moved(&self, end: &str) {
        self.moves.with_label_values(&[end]).inc();
    }

    /// Counts a stream that went on at another endpoint or attempt.
    pub fn stream_continued(&self, service: &str, how: &str, version: &str) {
        self.continued.with_label_values(&[service, how, version]).inc();
    }

    /// Counts a stream that its caller takes up.
    pub fn stream_taken_up(&self, service: &str, origin: &str) {
        self.taken_up.with_label_values(&[service, origin]).inc();
    }

    /// Counts a stream that has begun, by what the endpoint told of its run.
    pub fn stream_origin(&self, service: &str, end: &str) {
        self.origins.with_label_values(&[service, end]).inc();
    }

    /// Counts an attempt that broke off, and what its endpoint's address said then.
    pub fn broke_off(&self, service: &str, endpoint: &str) {
        self.broke_off.with_label_values(&[service, endpoint]).inc();
    }

    /// Notes how many suspects are known, and how many of them are sent to no endpoint.
    pub fn suspects(&self, suspects: usize, quarantined: usize) {
        self.suspects.set(i64::try_from(suspects).unwrap_or(i64::MAX));
        self.quarantined.set(i64::try_from(quarantined).unwrap_or(i64::MAX));
    }

    /// This daemon knows of so many endpoints that name a limit.
    pub fn limited_endpoints(&self, count: usize) {
        self.limited_endpoints.set(count as i64);
    }

    /// A call for which an endpoint that names a limit was chosen went there, elsewhere or nowhere.
    pub fn permit(&self, service: &str, end: &str) {
        self.leaves.with_label_values(&[service, end]).inc();
    }

    /// So many endpoints have asked this daemon to back off.
    pub fn backing_off(&self, endpoints: usize) {
        self.backing_off.set(endpoints as i64);
    }

    /// So many endpoints are unreachable from here; of these, so many are reached by other daemons.
    pub fn unreachable_endpoints(&self, unreachable: usize, broken_paths: usize) {
        self.unreachable.set(unreachable as i64);
        self.broken_paths.set(broken_paths as i64);
    }

    /// Counts a request that was offered to another daemon.
    pub fn forwarded(&self, service: &str, end: &str) {
        self.forwarded.with_label_values(&[service, end]).inc();
    }

    /// Counts a request that another daemon has offered to this one.
    pub fn forwarded_for_others(&self, end: &str) {
        self.forwarded_for_others.with_label_values(&[end]).inc();
    }

    /// Counts a connection that was closed unread.
    pub(crate) fn connection_shed(&self, cause: &str) {
        self.shed_connections.with_label_values(&[cause]).inc();
    }

    /// Counts time for which new connections were refused.
    pub(crate) fn listener_closed(&self, time: Duration) {
        self.listener_closed.with_label_values::<&str>(&[]).inc_by(time.as_millis() as u64);
    }

    /// The metrics of the memory budget.
    pub(crate) fn buffers(&self) -> BufferMetrics {
        self.buffers.clone()
    }

    /// Records how long a connection to an endpoint took until it came up or was given up.
    pub(crate) fn connected(&self, end: &str, took: Duration) {
        self.connects.with_label_values(&[end]).observe(took.as_secs_f64());
    }

    /// Notes the load of the VM's network link.
    pub(crate) fn link(&self, report: &LinkReport) {
        self.link_rate.with_label_values(&["sent"]).set(report.sent);
        self.link_rate.with_label_values(&["received"]).set(report.received);
        self.link_capacity.set(report.capacity.unwrap_or_default());
        self.link_delay.set(report.delay.as_secs_f64());
    }

    /// An endpoint has named in an answer how many requests a second it takes.
    pub fn limit_read(&self, service: &str, limit: &str) {
        self.limits_read.with_label_values(&[service, limit]).inc();
    }

    /// An endpoint has said something of itself in an answer.
    pub fn signal_read(&self, service: &str, signal: &str, end: &str) {
        self.signals_read.with_label_values(&[service, signal, end]).inc();
    }

    /// Counts the leader's answer to a try of a suspect.
    pub fn trial(&self, answer: &str) {
        self.trials.with_label_values(&[answer]).inc();
    }

    /// Notes how many data halls are out of service.
    pub fn halls_out(&self, halls: usize) {
        self.halls_out.set(i64::try_from(halls).unwrap_or(i64::MAX));
    }

    /// Counts an operator's order about a data hall.
    pub fn hall_order(&self, result: &str) {
        self.hall_orders.with_label_values(&[result]).inc();
    }

    /// Notes the time to a generation's first event.
    pub fn first_event(&self, kind: &str, took: Duration) {
        self.first_event.with_label_values(&[kind]).observe(took.as_secs_f64());
    }

    /// Notes the version in force.
    pub fn config_version(&self, version: u64) {
        self.config_version.set(version as i64);
    }

    /// Notes that a request began or ended.
    pub fn in_progress(&self, change: i64) {
        self.in_progress.add(change);
    }

    /// Notes how long the node took to decide on an input.
    pub fn node_input(&self, kind: &str, took: Duration) {
        self.node_input.with_label_values(&[kind]).observe(took.as_secs_f64());
    }

    /// Notes how late the node's timer came.
    pub fn timer_late(&self, late: Duration) {
        self.timer_late.with_label_values::<&str>(&[]).observe(late.as_secs_f64());
    }

    /// Notes the term of the control replica.
    pub fn term(&self, term: u64) {
        self.term.set(term as i64);
    }

    /// Notes a write of the data folder.
    pub fn data_written(&self, file: &str, waited: Duration, took: Duration) {
        self.data_write_wait.with_label_values(&[file]).observe(waited.as_secs_f64());
        self.data_write.with_label_values(&[file]).observe(took.as_secs_f64());
    }

    /// Notes for how long the VM was suspended.
    pub fn suspended(&self, time: Duration) {
        self.suspended.with_label_values::<&str>(&[]).observe(time.as_secs_f64());
    }

    /// Counts a change of the configuration that was sent to so many daemons.
    pub fn change_sent(&self, how: &str, daemons: usize, bytes: usize) {
        self.changes_sent.with_label_values(&[how]).inc_by(daemons as u64);
        self.change_bytes.with_label_values(&[how]).inc_by((daemons * bytes) as u64);
    }

    /// Notes how long a write to a link took.
    pub fn link_write(&self, took: Duration) {
        self.link_write.with_label_values::<&str>(&[]).observe(took.as_secs_f64());
    }

    /// Notes the load that the leader sees.
    pub fn load(&self, load: &LoadSnapshot) {
        self.load.set(load);
    }

    /// All metrics as text.
    pub fn text(&self) -> Result<String> {
        Ok(TextEncoder::new().encode_to_string(&self.registry.gather())?)
    }
}
