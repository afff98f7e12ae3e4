//! Engines that leave in numbers in a play, and others that come in their place.

use trayswitch_core::config::Endpoints;

use super::{
    engines::FleetEngine,
    sim::{Event, NEWS, Sim},
};

/// A part of the engines leaves so often, is gone so much later, and others come after that.
const LEAVE_EVERY: u64 = 3_300_000;
pub(super) const FIRST_LEAVE: u64 = 1_500_000;
const LEAVING_PART: f64 = 0.17;
const NOTICE: u64 = 1_800_000;
const REPLACED_AFTER: u64 = 4_000_000;
/// Word of a leaving engine reaches schedulers after this.
const LEAVE_NEWS: u64 = 10_000;

impl Sim<'_> {
    pub(super) fn leave(&mut self) {
        let open = |engine: &usize| !self.engines[*engine].leaving && !self.engines[*engine].gone;
        let mut open: Vec<usize> = (0..self.engines.len()).filter(open).collect();
        self.rng.shuffle(&mut open);
        let count = (open.len() as f64 * LEAVING_PART) as usize;
        for engine in open.into_iter().take(count) {
            self.engines[engine].leaving = true;
            self.after(LEAVE_NEWS, Event::Leaves(engine));
            self.after(NOTICE, Event::Gone(engine));
            self.after(REPLACED_AFTER, Event::Comes);
        }
        self.again(LEAVE_EVERY, Event::Leave);
    }

    pub(super) fn gone(&mut self, engine: usize) {
        self.engines[engine].gone = true;
        self.engines[engine].step = None;
        let lost: Vec<usize> = self.engines[engine].requests.drain().map(|(_, i)| i).collect();
        for i in lost {
            self.at[i] = None;
            self.courses[i].cut = Some(self.now);
            self.after(NEWS, Event::Ended { i, whole: false });
        }
        self.configure();
    }

    pub(super) fn comes(&mut self) {
        let engine = FleetEngine::new(self.engines.len());
        self.by_name.insert(engine.name.to_string(), self.engines.len());
        self.engines.push(engine);
        self.configure();
    }

    pub(super) fn endpoints(&self) -> Endpoints {
        let live = self.engines.iter().filter(|engine| !engine.gone);
        live.map(|engine| (engine.name.to_string(), engine.spec())).collect()
    }

    pub(super) fn leaving(&self) -> Vec<String> {
        let leaving = self.engines.iter().filter(|engine| engine.leaving && !engine.gone);
        leaving.map(|engine| engine.name.to_string()).collect()
    }

    pub(super) fn configure(&mut self) {
        self.deciders.configure(&self.endpoints(), &self.leaving());
    }
}
