//! Endpoints that register themselves.

use trayswitch_core::wire::EndpointRecord;

use super::ControlPlaneOptions;

/// Number of data halls.
pub(super) const HALLS: usize = 6;
/// Services in the configuration.
pub(super) const ENGINE_SERVICE: &str = "tutor-llm";
pub(super) const PLAIN_SERVICE: &str = "booking-desk";

/// One run of an endpoint.
pub(super) struct Endpoint {
    pub(super) record: EndpointRecord,
    /// When it announced that it leaves, in microseconds.
    pub(super) leaving_since: Option<u64>,
    pub(super) gone: bool,
}

/// All endpoints, in the order of their start.
pub(super) struct EndpointSet {
    pub(super) endpoints: Vec<Endpoint>,
}

impl EndpointSet {
    pub(super) fn new(options: &ControlPlaneOptions) -> EndpointSet {
        let count = options.engines + options.plain;
        let mut set = EndpointSet { endpoints: Vec::with_capacity(count) };
        let engines_per_plain = options.engines / options.plain.max(1);
        let mut plain_left = options.plain;
        for n in 0..count {
            let is_plain = 0 < plain_left && n % (engines_per_plain + 1) == 0;
            plain_left -= usize::from(is_plain);
            set.start(if is_plain { PLAIN_SERVICE } else { ENGINE_SERVICE });
        }
        set
    }

    /// Adds a new endpoint; returns its index.
    pub(super) fn start(&mut self, service: &str) -> usize {
        let n = self.endpoints.len();
        // Addresses and names look like those of a real platform in length.
        let record = EndpointRecord {
            id: format!("i-{:08x}", (n as u32).wrapping_mul(0x9e37_79b1)),
            service: service.into(),
            address: format!("10.{}.{}.{}:8080", 128 + n / 62_500, n / 250 % 250, n % 250),
            hall: format!("hall-{}", n % HALLS),
            slots: if service == PLAIN_SERVICE { 6 } else { 24 },
            sequence: 1,
            leaving: false,
            silent: false,
            cold_ms: 0,
            born: 1_783_949_000_000 + n as u64,
            software_version: "v1".to_owned(),
        };
        self.endpoints.push(Endpoint { record, leaving_since: None, gone: false });
        n
    }
}
