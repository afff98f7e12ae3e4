//! Moves of generations in a play: copies over links that are busy one copy at a time.

use trayswitch_core::{placement::Ticket, units::Instant};

use super::sim::{Event, Sim};
use crate::engine::Taken;

/// Time between the stop of a moved generation and its next token.
const PAUSE: u64 = 12_000;

impl Sim<'_> {
    /// Copies a generation to another engine; the links of both are busy until it has arrived.
    pub(super) fn order_move(&mut self, ticket: Ticket, from: &str, to: &str) {
        let i = ticket.number as usize;
        let (from, to) = (self.by_name[from], self.by_name[to]);
        let runs_there = self.at[i] == Some(from) && !self.moving.contains_key(&i);
        let tokens = self.arrivals[i].prompt + self.courses[i].tokens;
        let has_room = !self.engines[to].gone && self.engines[to].engine.has_room(tokens);
        if !runs_there || !has_room {
            self.moves_refused += u64::from(runs_there);
            return self.moved(i, from, false);
        }
        let free = self.engines[from].link_free.max(self.engines[to].link_free).max(self.now);
        let arrives = free + self.engines[from].copy_time(tokens, &self.engines[to]);
        self.engines[from].link_free = arrives;
        self.engines[to].link_free = arrives;
        self.engines[to].engine.set_aside(tokens);
        self.moving.insert(i, to);
        self.at(arrives, Event::Copied { i, from, to, tokens });
    }

    pub(super) fn copied(&mut self, i: usize, from: usize, to: usize, tokens: u64) {
        self.moving.remove(&i);
        self.engines[to].engine.give_back(tokens);
        let stream = self.engines[from].stream_of(i).filter(|_| self.at[i] == Some(from));
        let target_lives = !self.engines[to].gone;
        let Some(stream) = stream.filter(|_| target_lives) else { return };
        let taken = self.engines[from].engine.take(stream);
        let Some(taken) = taken else { return };
        self.engines[from].requests.remove(&stream);
        self.resume(i, to, taken);
        self.moved += 1;
        self.moved(i, to, true);
        self.step(from);
    }

    fn resume(&mut self, i: usize, to: usize, taken: Taken) {
        let stream = self.engines[to].engine.resume(taken);
        self.engines[to].requests.insert(stream, i);
        self.at[i] = Some(to);
        self.after(PAUSE, Event::Resumes(to));
    }

    /// Tells the schedulers where a generation runs after a move.
    fn moved(&mut self, i: usize, at: usize, done: bool) {
        let now = Instant(self.now);
        self.deciders.moved(i, &self.arrivals[i], &self.engines[at].name, done, now);
    }
}
