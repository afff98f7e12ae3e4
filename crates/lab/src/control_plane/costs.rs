//! What daemons of one role cost in a phase.

use std::{collections::BTreeMap, time::Duration};

use serde::Serialize;

/// Messages and bytes of one kind.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct Sent {
    pub(crate) messages: u64,
    pub(crate) bytes: u64,
}

/// Inputs of one kind and the time in which they were processed.
#[derive(Debug, Clone, Copy, Default)]
struct Processed {
    inputs: u64,
    time: Duration,
    longest: Duration,
}

/// Counters of one daemon.
#[derive(Debug, Clone, Default)]
pub(super) struct Counters {
    processed: BTreeMap<&'static str, Processed>,
    sent: BTreeMap<&'static str, Sent>,
}

impl Counters {
    pub(super) fn on_processed(&mut self, kind: &'static str, time: Duration) {
        let processed = self.processed.entry(kind).or_default();
        processed.inputs += 1;
        processed.time += time;
        processed.longest = processed.longest.max(time);
    }

    pub(super) fn on_sent(&mut self, kind: &'static str, bytes: usize) {
        let sent = self.sent.entry(kind).or_default();
        sent.messages += 1;
        sent.bytes += bytes as u64;
    }

    pub(super) fn add(&mut self, other: &Counters) {
        for (kind, other) in &other.processed {
            let processed = self.processed.entry(kind).or_default();
            processed.inputs += other.inputs;
            processed.time += other.time;
            processed.longest = processed.longest.max(other.longest);
        }
        for (kind, other) in &other.sent {
            let sent = self.sent.entry(kind).or_default();
            sent.messages += other.messages;
            sent.bytes += other.bytes;
        }
    }

    /// All messages sent.
    pub(super) fn total_sent(&self) -> Sent {
        self.sent.values().fold(Sent::default(), |sum, sent| Sent {
            messages: sum.messages + sent.messages,
            bytes: sum.bytes + sent.bytes,
        })
    }
}

/// One kind of input or message, as a rate for one daemon of the role.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct KindRate {
    /// The kind.
    pub(crate) kind: &'static str,
    /// Inputs or messages a second.
    pub(crate) per_second: f64,
    /// Processor time as a percentage of a whole core; zero for messages.
    pub(crate) core_percent: f64,
    /// Longest single input in milliseconds; zero for messages.
    pub(crate) longest_ms: f64,
    /// Bytes sent a second; zero for inputs.
    pub(crate) bytes_per_second: f64,
}

/// Mean costs of the daemons of one role in a phase. Processor time is that of the state machine
/// alone, without sockets.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct RoleCosts {
    /// The role.
    pub(crate) role: &'static str,
    /// Daemons of the role.
    pub(crate) daemons: usize,
    /// Processor time as a percentage of a whole core.
    pub(crate) core_percent: f64,
    /// Bytes sent a second.
    pub(crate) bytes_per_second: f64,
    /// Messages sent a second.
    pub(crate) messages_per_second: f64,
    /// Inputs by kind, the most expensive first.
    pub(crate) inputs: Vec<KindRate>,
    /// Messages by kind, the largest first.
    pub(crate) messages: Vec<KindRate>,
}

impl RoleCosts {
    /// Summarizes the counters of all daemons of a role.
    pub(super) fn of(
        role: &'static str,
        daemons: usize,
        counters: &Counters,
        length: Duration,
    ) -> RoleCosts {
        let daemon_seconds = (daemons.max(1) as f64) * length.as_secs_f64();
        let percent = |time: Duration| 100.0 * time.as_secs_f64() / daemon_seconds;
        let mut inputs: Vec<KindRate> = counters
            .processed
            .iter()
            .map(|(kind, processed)| KindRate {
                kind,
                per_second: processed.inputs as f64 / daemon_seconds,
                core_percent: percent(processed.time),
                longest_ms: processed.longest.as_secs_f64() * 1_000.0,
                bytes_per_second: 0.0,
            })
            .collect();
        inputs.sort_by(|a, b| b.core_percent.total_cmp(&a.core_percent));
        let mut messages: Vec<KindRate> = counters
            .sent
            .iter()
            .map(|(kind, sent)| KindRate {
                kind,
                per_second: sent.messages as f64 / daemon_seconds,
                core_percent: 0.0,
                longest_ms: 0.0,
                bytes_per_second: sent.bytes as f64 / daemon_seconds,
            })
            .collect();
        messages.sort_by(|a, b| b.bytes_per_second.total_cmp(&a.bytes_per_second));
        let total = counters.total_sent();
        RoleCosts {
            role,
            daemons,
            core_percent: inputs.iter().map(|input| input.core_percent).sum(),
            bytes_per_second: total.bytes as f64 / daemon_seconds,
            messages_per_second: total.messages as f64 / daemon_seconds,
            inputs,
            messages,
        }
    }

    pub(super) fn table(&self) -> String {
        /// Kinds listed of each sort.
        const LISTED: usize = 6;
        let mut text = format!(
            "  {}: {:.2}% of a core, {:.1} kB/s, {:.0} messages/s\n",
            self.role,
            self.core_percent,
            self.bytes_per_second / 1_000.0,
            self.messages_per_second
        );
        let inputs = self.inputs.iter().take(LISTED).map(|input| {
            let KindRate { kind, per_second, core_percent, longest_ms, .. } = input;
            format!("{kind} {core_percent:.2}% ({per_second:.1}/s, longest {longest_ms:.1} ms)")
        });
        text += &format!("    inputs: {}\n", inputs.collect::<Vec<_>>().join(", "));
        let messages = self.messages.iter().take(LISTED).map(|message| {
            let KindRate { kind, per_second, bytes_per_second, .. } = message;
            format!("{kind} {:.1} kB/s ({per_second:.1}/s)", bytes_per_second / 1_000.0)
        });
        text += &format!("    sent: {}\n", messages.collect::<Vec<_>>().join(", "));
        text
    }
}
