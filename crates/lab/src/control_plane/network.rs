//! Access links with limited bandwidth and the delay between data halls.

/// One-way delay inside a data hall and between two, in microseconds.
const NEAR_US: u64 = 200;
const FAR_US: u64 = 1_400;
/// Bandwidth of an entry VM and of a control VM, in bytes per microsecond.
const ENTRY_RATE: f64 = 1.25;
const CONTROL_RATE: f64 = 125.0;

/// Access link of one VM.
struct AccessLink {
    rate: f64,
    /// When each direction is idle, in microseconds.
    out_free: u64,
    in_free: u64,
}

/// The access links of all VMs.
pub(super) struct Network {
    links: Vec<AccessLink>,
    /// Bytes sent between data halls.
    pub(super) far_bytes: u64,
}

impl Network {
    pub(super) fn new() -> Network {
        Network { links: Vec::new(), far_bytes: 0 }
    }

    pub(super) fn add(&mut self, is_control: bool) {
        let rate = if is_control { CONTROL_RATE } else { ENTRY_RATE };
        self.links.push(AccessLink { rate, out_free: 0, in_free: 0 });
    }

    /// Sends a message; returns when it has arrived completely.
    pub(super) fn send(
        &mut self,
        from: usize,
        to: usize,
        halls: (usize, usize),
        bytes: usize,
        now: u64,
    ) -> u64 {
        let is_far = halls.0 != halls.1;
        if is_far {
            self.far_bytes += bytes as u64;
        }
        let out = &mut self.links[from];
        let left = now.max(out.out_free) + (bytes as f64 / out.rate) as u64;
        out.out_free = left;
        let delay = if is_far { FAR_US } else { NEAR_US };
        let into = &mut self.links[to];
        let arrives = (left + delay).max(into.in_free) + (bytes as f64 / into.rate) as u64;
        into.in_free = arrives;
        arrives
    }
}
