//! A model engine as a pure state machine: continuous batching with bounded memory.
//!
//! Memory is counted in tokens. Each step decodes one token for every stream
//! whose prompt is in memory and spends a bounded budget on prompts. When memory
//! is full, the running stream of the lowest priority, the newest among equals,
//! is pushed aside and must be computed again. The emulator drives the model in
//! real time, experiments drive it in virtual time.

mod prefix_cache;
#[cfg(test)]
mod tests;

use std::{collections::BTreeMap, time::Duration};

use self::prefix_cache::PrefixCache;

/// Size and speed of an engine.
#[derive(Debug, Clone, Copy)]
pub(crate) struct EngineSpec {
    /// Most streams in the batch.
    pub(crate) slots: usize,
    /// Memory for streams, in tokens.
    pub(crate) kv_tokens: u64,
    /// Memory for cached prefixes, in tokens.
    pub(crate) cache_tokens: u64,
    /// Most prompt tokens in one step.
    pub(crate) prefill_budget: u64,
    /// Time of an empty step.
    pub(crate) step_base: Duration,
    /// Time added by each decoding stream.
    pub(crate) step_per_stream: Duration,
    /// Time added by each prompt token.
    pub(crate) step_per_prefill: Duration,
}

impl Default for EngineSpec {
    fn default() -> EngineSpec {
        EngineSpec {
            slots: 64,
            kv_tokens: 40_000,
            cache_tokens: 20_000,
            prefill_budget: 512,
            step_base: Duration::from_millis(15),
            step_per_stream: Duration::from_micros(250),
            step_per_prefill: Duration::from_micros(50),
        }
    }
}

/// Name of a stream in its engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct StreamId(pub(crate) u64);

/// One generation to run.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Job {
    /// Length of the prompt in tokens.
    pub(crate) prompt: u64,
    /// Length of the output, which nobody outside the engine knows.
    pub(crate) length: u64,
    /// A lower number is pushed aside last.
    pub(crate) priority: u64,
    /// Hash of the shared start of the prompt.
    pub(crate) prefix: u64,
    /// Length of the shared start, in tokens.
    pub(crate) prefix_tokens: u64,
}

#[derive(Debug)]
struct Stream {
    job: Job,
    produced: u64,
    /// Prompt and earlier output still to be computed before decoding goes on.
    to_prefill: u64,
    /// Tokens in memory; zero while waiting.
    memory: u64,
    /// Whether its memory was copied from another engine and need not be computed.
    copied: bool,
}

/// A generation that was taken out of an engine.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Taken {
    /// What was asked.
    pub(crate) job: Job,
    /// Tokens made so far.
    pub(crate) produced: u64,
}

/// What one step did.
#[derive(Debug, Default)]
pub(crate) struct Step {
    /// How long it took.
    pub(crate) duration: Duration,
    /// Streams that produced one token each, with its position.
    pub(crate) tokens: Vec<Produced>,
    /// Streams pushed aside because memory was full.
    pub(crate) preempted: Vec<StreamId>,
    /// Whether there was anything to do.
    pub(crate) idle: bool,
}

/// One token.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Produced {
    pub(crate) id: StreamId,
    /// Position, from 1.
    pub(crate) position: u64,
    /// Whether it was the last.
    pub(crate) last: bool,
}

/// An engine with its batch, its queue and its cache.
#[derive(Debug)]
pub(crate) struct Engine {
    spec: EngineSpec,
    streams: BTreeMap<StreamId, Stream>,
    waiting: Vec<StreamId>,
    running: Vec<StreamId>,
    used: u64,
    /// Places that are set aside for copies on their way; their memory counts as used.
    set_aside: usize,
    next: u64,
    cache: PrefixCache,
}

impl Engine {
    /// An idle engine.
    pub(crate) fn new(spec: EngineSpec) -> Engine {
        Engine {
            spec,
            streams: BTreeMap::new(),
            waiting: Vec::new(),
            running: Vec::new(),
            used: 0,
            set_aside: 0,
            next: 0,
            cache: PrefixCache::new(spec.cache_tokens),
        }
    }

    /// Streams in the batch.
    pub(crate) fn running(&self) -> usize {
        self.running.len()
    }

    /// Streams waiting inside the engine.
    pub(crate) fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Memory in use, in tokens.
    pub(crate) fn kv_used(&self) -> u64 {
        self.used
    }

    /// Takes a generation; it joins the batch when there is room.
    pub(crate) fn submit(&mut self, job: Job) -> StreamId {
        self.wait(Stream { job, produced: 0, to_prefill: 0, memory: 0, copied: false })
    }

    /// Takes a generation whose memory was copied here; it goes on ahead of all that wait.
    pub(crate) fn resume(&mut self, taken: Taken) -> StreamId {
        let Taken { job, produced } = taken;
        self.wait(Stream { job, produced, to_prefill: 0, memory: 0, copied: true })
    }

    fn wait(&mut self, stream: Stream) -> StreamId {
        self.next += 1;
        let id = StreamId(self.next);
        self.streams.insert(id, stream);
        self.waiting.push(id);
        id
    }

    /// Stops a generation and hands it over.
    pub(crate) fn take(&mut self, id: StreamId) -> Option<Taken> {
        let stream = self.streams.get(&id)?;
        let taken = Taken { job: stream.job, produced: stream.produced };
        self.cancel(id);
        Some(taken)
    }

    /// Whether a generation of so many tokens would begin at once.
    pub(crate) fn has_room(&self, tokens: u64) -> bool {
        let fits = self.used + tokens <= self.spec.kv_tokens;
        fits && self.waiting.is_empty() && self.running.len() + self.set_aside < self.spec.slots
    }

    /// Sets a place and memory aside for a copy.
    pub(crate) fn set_aside(&mut self, tokens: u64) {
        self.set_aside += 1;
        self.used += tokens;
    }

    /// Gives back what was set aside for a copy.
    pub(crate) fn give_back(&mut self, tokens: u64) {
        self.set_aside -= 1;
        self.used -= tokens;
    }

    /// Prompt tokens that are still to be read, of all that run and wait.
    pub(crate) fn unread(&self) -> u64 {
        let of_waiting = |id: &StreamId| self.streams[id].job.prompt;
        let waiting: u64 = self.waiting.iter().map(of_waiting).sum();
        waiting + self.running.iter().map(|id| self.streams[id].to_prefill).sum::<u64>()
    }

    /// Forgets a generation, wherever it is.
    pub(crate) fn cancel(&mut self, id: StreamId) {
        self.waiting.retain(|other| *other != id);
        self.running.retain(|other| *other != id);
        if let Some(stream) = self.streams.remove(&id) {
            self.used -= stream.memory;
        }
    }

    /// Runs one step of the batch.
    pub(crate) fn step(&mut self) -> Step {
        let mut step = Step::default();
        self.admit();
        if self.running.is_empty() {
            step.idle = true;
            return step;
        }
        let prefilled = self.prefill();
        let decoding = self.decode(&mut step);
        step.duration = self.spec.step_base
            + self.spec.step_per_stream * decoding as u32
            + self.spec.step_per_prefill * prefilled as u32;
        step
    }

    fn admit(&mut self) {
        // Stable sort: among equal priorities the earlier stays first.
        let streams = &self.streams;
        self.waiting.sort_by_key(|id| (!streams[id].copied, streams[id].job.priority, *id));
        while self.running.len() + self.set_aside < self.spec.slots {
            let Some(id) = self.waiting.first().copied() else { return };
            let stream = self.streams.get_mut(&id).expect("a waiting stream exists");
            let memory = stream.job.prompt + stream.produced + 1;
            if self.spec.kv_tokens < self.used + memory && !self.running.is_empty() {
                return;
            }
            let cached = self.cache.lookup(stream.job.prefix, stream.job.prefix_tokens);
            stream.to_prefill = match std::mem::take(&mut stream.copied) {
                true => 0,
                false => (stream.job.prompt + stream.produced).saturating_sub(cached).max(1),
            };
            stream.memory = memory;
            self.used += memory;
            self.waiting.remove(0);
            self.running.push(id);
        }
    }

    fn prefill(&mut self) -> u64 {
        let mut budget = self.spec.prefill_budget;
        for id in &self.running {
            let stream = self.streams.get_mut(id).expect("a running stream exists");
            let part = stream.to_prefill.min(budget);
            if part == 0 {
                continue;
            }
            stream.to_prefill -= part;
            budget -= part;
            if stream.to_prefill == 0 {
                self.cache.insert(stream.job.prefix, stream.job.prefix_tokens);
            }
        }
        self.spec.prefill_budget - budget
    }

    fn decode(&mut self, step: &mut Step) -> usize {
        let mut decoding = 0;
        for id in self.running.clone() {
            let ready = self.running.contains(&id) && self.streams[&id].to_prefill == 0;
            if !ready {
                continue;
            }
            self.make_room(id, step);
            if !self.running.contains(&id) {
                continue;
            }
            decoding += 1;
            let stream = self.streams.get_mut(&id).expect("a running stream exists");
            stream.produced += 1;
            stream.memory += 1;
            self.used += 1;
            let last = stream.job.length <= stream.produced;
            step.tokens.push(Produced { id, position: stream.produced, last });
            if last {
                self.cancel(id);
            }
        }
        decoding
    }

    /// Pushes streams aside until one more token fits for `id`.
    fn make_room(&mut self, id: StreamId, step: &mut Step) {
        while self.spec.kv_tokens < self.used + 1 && 1 < self.running.len() {
            let streams = &self.streams;
            let victim = self
                .running
                .iter()
                .copied()
                .max_by_key(|id| (streams[id].job.priority, *id))
                .expect("the batch is not empty");
            self.push_aside(victim);
            step.preempted.push(victim);
            if victim == id {
                return;
            }
        }
    }

    fn push_aside(&mut self, id: StreamId) {
        let stream = self.streams.get_mut(&id).expect("a running stream exists");
        self.used -= stream.memory;
        stream.memory = 0;
        self.running.retain(|other| *other != id);
        self.waiting.push(id);
    }
}
