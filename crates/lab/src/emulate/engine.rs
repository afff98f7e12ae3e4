//! An emulated model engine: the pure model driven in real time behind HTTP.

use std::{
    collections::{HashMap, hash_map::DefaultHasher},
    hash::{Hash, Hasher},
    sync::{Arc, Condvar, Mutex, MutexGuard},
    thread,
    time::Duration,
};

use serde::Deserialize;
use serde_json::json;
use tiny_http::{Method, Request};
use trayswitch_http::{EventWriter, OutgoingEvent, header, respond_json};

use super::{Endpoint, Faults, Journal, Run, answer, read_json, refuse_if_closed, with_limit};
use crate::engine::{Engine, EngineSpec, Job, StreamId};

/// Characters of a prompt that count as one token.
const CHARS_PER_TOKEN: usize = 4;
/// Characters at the start of a prompt that make its prefix.
const PREFIX_CHARS: usize = 256;
const MEAN_LENGTH: f64 = 60.0;
const LONGEST: u64 = 20_000;

#[derive(Debug, Deserialize)]
struct Message {
    content: String,
}

#[derive(Debug, Deserialize)]
struct ChatRequest {
    messages: Vec<Message>,
    #[serde(default)]
    max_tokens: Option<u64>,
    #[serde(default)]
    priority: u64,
    /// Output length to emulate; drawn from a heavy-tailed distribution when absent.
    #[serde(default)]
    emulated_length: Option<u64>,
}

#[derive(Debug, Clone, Copy, Default)]
struct Progress {
    produced: u64,
    ended: bool,
    forgotten: bool,
}

/// One generation, which lives on when its reader leaves.
#[derive(Debug)]
struct Generation {
    name: String,
    stream: StreamId,
    progress: Mutex<Progress>,
    changed: Condvar,
}

impl Generation {
    fn change(&self, change: impl FnOnce(&mut Progress)) {
        change(&mut self.progress.lock().expect("no reader panics"));
        self.changed.notify_all();
    }

    /// Waits until there is more than `after` tokens, or the end.
    fn wait(&self, after: u64) -> Progress {
        let progress = self.progress.lock().expect("no reader panics");
        let settled = |p: &mut Progress| p.produced <= after && !p.ended && !p.forgotten;
        *self.changed.wait_while(progress, settled).expect("no reader panics")
    }
}

struct Shared {
    engine: Engine,
    generations: HashMap<String, Arc<Generation>>,
    by_stream: HashMap<StreamId, Arc<Generation>>,
    rng: fastrand::Rng,
    preemptions: u64,
}

struct Inner {
    name: String,
    shared: Mutex<Shared>,
    work: Condvar,
    faults: Faults,
    journal: Journal,
}

/// A running emulated engine.
pub(crate) struct EngineEmulator {
    inner: Arc<Inner>,
}

impl EngineEmulator {
    /// Starts the thread that steps the model.
    pub(crate) fn spawn(name: &str, spec: EngineSpec, seed: u64) -> EngineEmulator {
        let shared = Shared {
            engine: Engine::new(spec),
            generations: HashMap::new(),
            by_stream: HashMap::new(),
            rng: fastrand::Rng::with_seed(seed),
            preemptions: 0,
        };
        let inner = Arc::new(Inner {
            name: name.to_owned(),
            shared: Mutex::new(shared),
            work: Condvar::new(),
            faults: Faults::default(),
            journal: Journal::default(),
        });
        let driver = inner.clone();
        thread::spawn(move || driver.drive());
        EngineEmulator { inner }
    }
}

impl Inner {
    fn shared(&self) -> MutexGuard<'_, Shared> {
        self.shared.lock().expect("no engine thread panics")
    }

    fn drive(&self) {
        let mut due = std::time::Instant::now();
        loop {
            self.faults.wait_while_frozen();
            if self.faults.take_forget() {
                self.forget_all();
            }
            let duration = self.step();
            // Pace by the clock, so that late wake-ups do not add up.
            due = due.max(std::time::Instant::now() - duration) + duration;
            thread::sleep(due.saturating_duration_since(std::time::Instant::now()));
        }
    }

    fn step(&self) -> Duration {
        const IDLE_WAIT: Duration = Duration::from_millis(20);
        let mut shared = self.shared();
        let step = shared.engine.step();
        if step.idle {
            drop(self.work.wait_timeout(shared, IDLE_WAIT));
            return Duration::ZERO;
        }
        shared.preemptions += step.preempted.len() as u64;
        for token in &step.tokens {
            let Some(generation) = shared.by_stream.get(&token.id).cloned() else { continue };
            generation.change(|p| {
                p.produced = token.position;
                p.ended = token.last;
            });
            if token.last {
                shared.by_stream.remove(&token.id);
            }
        }
        step.duration
    }

    fn forget_all(&self) {
        let mut shared = self.shared();
        let generations: Vec<_> = shared.generations.drain().map(|(_, g)| g).collect();
        for generation in generations {
            shared.engine.cancel(generation.stream);
            shared.by_stream.remove(&generation.stream);
            generation.change(|p| p.forgotten = true);
        }
    }

    fn start(&self, chat: &ChatRequest, request_id: &str) -> Arc<Generation> {
        let text: String = chat.messages.iter().map(|m| m.content.as_str()).collect();
        self.faults.begin(&text);
        let mut hasher = DefaultHasher::new();
        let prefix: String = text.chars().take(PREFIX_CHARS).collect();
        prefix.hash(&mut hasher);
        let mut shared = self.shared();
        let drawn = draw_length(&mut shared.rng);
        let longest = chat.max_tokens.unwrap_or(LONGEST);
        let length = chat.emulated_length.unwrap_or(drawn).min(longest).max(1);
        let stream = shared.engine.submit(Job {
            prompt: (text.len() / CHARS_PER_TOKEN + 1) as u64,
            length,
            priority: chat.priority,
            prefix: hasher.finish(),
            prefix_tokens: (prefix.len() / CHARS_PER_TOKEN) as u64,
        });
        let generation = Arc::new(Generation {
            name: format!("{}-{:x}-{}", self.name, shared.rng.u32(..), stream.0),
            stream,
            progress: Mutex::default(),
            changed: Condvar::new(),
        });
        shared.generations.insert(generation.name.clone(), generation.clone());
        shared.by_stream.insert(stream, generation.clone());
        drop(shared);
        self.work.notify_all();
        let run = Run {
            request_id: request_id.to_owned(),
            name: self.name.clone(),
            detail: generation.name.clone(),
        };
        self.journal.add(run);
        generation
    }

    fn stream(&self, req: Request, generation: &Generation, after: u64) {
        let limit = self.faults.limit();
        let headers =
            with_limit(&[("X-Generation-Id", generation.name.as_str())], limit.as_deref());
        let Ok(mut writer) = EventWriter::open(req, &headers) else { return };
        let mut sent = after;
        loop {
            let progress = generation.wait(sent);
            self.faults.wait_while_frozen();
            if progress.forgotten || self.faults.take_cut() {
                return;
            }
            while sent < progress.produced {
                sent += 1;
                let data = token_chunk(&generation.name, sent);
                let event = OutgoingEvent { id: Some(sent), name: None, data: &data };
                if writer.send(&event).is_err() {
                    return;
                }
            }
            if progress.ended {
                let data = final_chunk(&generation.name, sent);
                let done = OutgoingEvent { id: None, name: None, data: &data };
                let end = OutgoingEvent { data: "[DONE]", ..OutgoingEvent::default() };
                answer(writer.send(&done).and_then(|()| writer.send(&end)));
                answer(writer.finish());
                return;
            }
        }
    }

    fn generation(&self, name: &str) -> Option<Arc<Generation>> {
        self.shared().generations.get(name).cloned()
    }

    fn load(&self) -> serde_json::Value {
        let shared = self.shared();
        json!({
            "running": shared.engine.running(),
            "waiting": shared.engine.waiting(),
            "kv_used": shared.engine.kv_used(),
            "preemptions": shared.preemptions,
            "leaving": self.faults.leaving(),
        })
    }
}

fn token_chunk(generation: &str, position: u64) -> String {
    json!({
        "id": generation,
        "object": "chat.completion.chunk",
        "choices": [{ "index": 0, "delta": { "content": format!("{generation}:{position} ") }, "finish_reason": null }],
    })
    .to_string()
}

fn final_chunk(generation: &str, count: u64) -> String {
    json!({
        "id": generation,
        "object": "chat.completion.chunk",
        "choices": [{ "index": 0, "delta": {}, "finish_reason": "stop" }],
        "usage": { "completion_tokens": count },
    })
    .to_string()
}

/// A log-normal length: most are short, some are very long.
pub(crate) fn draw_length(rng: &mut fastrand::Rng) -> u64 {
    let normal: f64 = (0..12).map(|_| rng.f64()).sum::<f64>() - 6.0;
    let length = MEAN_LENGTH * (normal * 1.2).exp();
    (length as u64).clamp(1, LONGEST)
}

impl Endpoint for EngineEmulator {
    fn serve(&self, req: Request) {
        let inner = &self.inner;
        inner.faults.wait_while_frozen();
        let url = req.url().to_owned();
        match (req.method().clone(), url.as_str()) {
            (Method::Get, "/v1/load") => answer(respond_json(req, 200, &[], &inner.load())),
            (Method::Post, "/v1/chat/completions") => {
                let Some(req) = refuse_if_closed(req, &inner.faults) else { return };
                let request_id = header(&req, "X-Request-Id").unwrap_or_default().to_owned();
                let Some((req, chat)) = read_json::<ChatRequest>(req) else { return };
                let generation = inner.start(&chat, &request_id);
                inner.stream(req, &generation, 0);
            }
            (method, path) => {
                let generation =
                    path.strip_prefix("/v1/generations/").and_then(|name| inner.generation(name));
                let Some(generation) = generation else {
                    return answer(respond_json(req, 404, &[], &json!({ "error": "not found" })));
                };
                if method == Method::Delete {
                    inner.shared().engine.cancel(generation.stream);
                    inner.shared().generations.remove(&generation.name);
                    generation.change(|p| p.forgotten = true);
                    return answer(respond_json(req, 200, &[], &json!({ "ok": true })));
                }
                let after = header(&req, "Last-Event-ID").and_then(|id| id.parse().ok());
                inner.stream(req, &generation, after.unwrap_or(0));
            }
        }
    }

    fn faults(&self) -> &Faults {
        &self.inner.faults
    }

    fn journal(&self) -> &Journal {
        &self.inner.journal
    }
}
