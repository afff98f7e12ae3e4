//! The engines of a deployment: their batches, links, notices and load reports.

use std::{
    collections::{HashMap, VecDeque},
    sync::Arc,
    time::Duration,
};

use trayswitch_core::{
    config::{EndpointSpec, EndpointTarget},
    placement::EngineLoad,
    software_version::SoftwareVersion,
};

use crate::engine::{Engine, EngineSpec, Job, Step, StreamId};

/// The model that all engines run.
pub(crate) const MODEL: &str = "m";
/// An engine as the users' sheets describe it.
pub(crate) const SPEC: EngineSpec = EngineSpec {
    slots: 24,
    kv_tokens: 33_640,
    cache_tokens: 0,
    prefill_budget: 112,
    step_base: Duration::from_micros(7_000),
    step_per_stream: Duration::from_micros(120),
    step_per_prefill: Duration::from_nanos(71_429),
};
/// Time for a step in parts of the usual: a third of the engines is slower.
const SLOWNESS: [f64; 3] = [1.0, 1.0, 1.3];
/// Data halls.
pub(crate) const HALLS: usize = 6;
/// Memory copied in a second inside a data hall: 131,072 bytes a token over 19 Gbit/s.
const COPIED_TOKENS_PER_S: f64 = 19e9 / 8.0 / 131_072.0;
/// A copy to another data hall takes so many times as long.
const FAR: f64 = 2.0;
/// Time for the connections and answers of a copy.
const COPY_OVERHEAD: Duration = Duration::from_millis(10);

/// One engine.
pub(crate) struct FleetEngine {
    pub(crate) name: Arc<str>,
    number: usize,
    pub(crate) hall: usize,
    slowness: f64,
    pub(crate) engine: Engine,
    /// The requests that run here.
    pub(crate) requests: HashMap<StreamId, usize>,
    /// The step that is running, with its outcome.
    pub(crate) step: Option<Step>,
    /// Whether it has said that it will end.
    pub(crate) leaving: bool,
    /// Whether it has ended.
    pub(crate) gone: bool,
    /// When its link has carried the copies that were ordered.
    pub(crate) link_free: u64,
    loads: VecDeque<(u64, EngineLoad)>,
}

impl FleetEngine {
    /// An idle engine.
    pub(crate) fn new(number: usize) -> FleetEngine {
        FleetEngine {
            name: format!("e{number:04}").into(),
            number,
            hall: number % HALLS,
            slowness: SLOWNESS[number / HALLS % SLOWNESS.len()],
            engine: Engine::new(SPEC),
            requests: HashMap::new(),
            step: None,
            leaving: false,
            gone: false,
            link_free: 0,
            loads: VecDeque::new(),
        }
    }

    /// What schedulers are told of it.
    pub(crate) fn spec(&self) -> EndpointSpec {
        let number = self.number as u32 + 1;
        EndpointSpec {
            is_registered: false,
            started_at: 0,
            hall: format!("h{}", self.hall),
            address: (std::net::Ipv4Addr::from(number), 80).into(),
            target: EndpointTarget::Model(MODEL.into()),
            slots: SPEC.slots as u64,
            kv_tokens: SPEC.kv_tokens,
            checks_fence: false,
            supports_relocation: true,
            cold_start: None,
            software_version: SoftwareVersion::parse("v1").ok(),
        }
    }

    /// Takes a request.
    pub(crate) fn submit(&mut self, i: usize, prompt: u64, output: u64, priority: u64) {
        let job = Job { prompt, length: output, priority, prefix: 0, prefix_tokens: 0 };
        let id = self.engine.submit(job);
        self.requests.insert(id, i);
    }

    /// The stream of a request that runs here.
    pub(crate) fn stream_of(&self, i: usize) -> Option<StreamId> {
        self.requests.iter().find(|(_, at)| **at == i).map(|(id, _)| *id)
    }

    /// Begins the next step; returns when it will be done, in microseconds from now.
    pub(crate) fn begin_step(&mut self) -> Option<u64> {
        if self.step.is_some() || self.gone {
            return None;
        }
        let step = self.engine.step();
        if step.idle {
            return None;
        }
        let took = (step.duration.as_micros() as f64 * self.slowness) as u64;
        self.step = Some(step);
        Some(took)
    }

    /// Time for a copy of so many tokens to an engine, on idle links.
    pub(crate) fn copy_time(&self, tokens: u64, to: &FleetEngine) -> u64 {
        let far = if self.hall == to.hall { 1.0 } else { FAR };
        let copying = tokens as f64 / COPIED_TOKENS_PER_S * far;
        COPY_OVERHEAD.as_micros() as u64 + (copying * 1e6) as u64
    }

    /// Notes its load for later reports.
    pub(crate) fn sample(&mut self, now: u64) {
        const KEPT: usize = 200;
        let load = EngineLoad {
            running: self.engine.running() as u64,
            waiting: self.engine.waiting() as u64,
            unread_tokens: self.engine.unread(),
            kv_used: self.engine.kv_used(),
            kv_tokens: SPEC.kv_tokens,
            started_at: 0,
        };
        self.loads.push_back((now, load));
        if KEPT < self.loads.len() {
            self.loads.pop_front();
        }
    }

    /// Its load as it was at a time.
    pub(crate) fn load_at(&self, at: u64) -> Option<EngineLoad> {
        let before = self.loads.iter().rev().find(|(sampled, _)| *sampled <= at);
        before.or(self.loads.front()).map(|(_, load)| *load)
    }
}
