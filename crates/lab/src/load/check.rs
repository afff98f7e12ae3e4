//! Compares what callers saw with what the endpoints ran.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use serde::Serialize;

use super::{
    Seen,
    call::{CallEnd, CallSeen},
    chat::ChatSeen,
};
use crate::emulate::Run;

/// A broken promise.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Violation {
    /// Tokens were doubled, lost, out of order, or from two generations.
    Tokens(u64),
    /// An answer ended cleanly without being whole.
    NotWhole(u64),
    /// Two callers were given tokens of one generation.
    Crossed(u64),
    /// A call that may not be repeated ran more than once.
    RanTwice(String),
    /// A call that was last said not to have run did run.
    NotRunIsUntrue(String),
    /// An answer belongs to another call.
    CrossedCall(String),
    /// A call that was answered is in no journal.
    NeverRan(String),
}

/// The outcome of a check.
#[derive(Debug, Default, Serialize)]
pub(crate) struct Checked {
    /// Broken promises.
    pub(crate) violations: BTreeSet<Violation>,
    /// Runs found in the journals.
    pub(crate) runs: usize,
}

impl Checked {
    /// Checks all that was seen against all that ran.
    pub(super) fn new(seen: &[Seen], journals: &[Run]) -> Checked {
        let mut checked = Checked { runs: journals.len(), ..Checked::default() };
        let mut runs: BTreeMap<&str, usize> = BTreeMap::new();
        for run in journals {
            *runs.entry(&run.detail).or_default() += 1;
        }
        let mut generations = BTreeSet::new();
        for seen in seen {
            match seen {
                Seen::Chat(chat) => checked.chat(chat, &mut generations),
                Seen::Call(call) if journals.is_empty() => checked.answers(call),
                Seen::Call(call) => {
                    checked.answers(call);
                    checked.call(call, runs.get(call.body.as_str()).copied().unwrap_or(0));
                }
            }
        }
        checked
    }

    /// Tokens of the emulated engines are `GENERATION:POSITION `.
    fn chat<'a>(&mut self, chat: &'a ChatSeen, generations: &mut BTreeSet<&'a str>) {
        let parts: Vec<Option<(&str, &str)>> =
            chat.tokens.iter().map(|token| token.trim_end().rsplit_once(':')).collect();
        let generation = parts.first().copied().flatten().map(|(generation, _)| generation);
        let in_order = parts.iter().enumerate().all(|(i, part)| {
            let expected = (i + 1).to_string();
            part.is_some_and(|(g, position)| Some(g) == generation && position == expected)
        });
        let ids = chat.ids.iter().enumerate().all(|(i, id)| *id == i as u64 + 1);
        if !in_order || !ids {
            self.violations.insert(Violation::Tokens(chat.number));
        }
        if chat.count.is_some_and(|count| count != chat.tokens.len() as u64 || count == 0) {
            self.violations.insert(Violation::NotWhole(chat.number));
        }
        if generation.is_some_and(|generation| !generations.insert(generation)) {
            self.violations.insert(Violation::Crossed(chat.number));
        }
    }

    fn answers(&mut self, call: &CallSeen) {
        for end in &call.ends {
            let CallEnd::Answered(answer) = end else { continue };
            let echo = serde_json::from_str::<serde_json::Value>(answer).unwrap_or_default();
            if echo["echo"] != call.body.as_str() {
                self.violations.insert(Violation::CrossedCall(call.body.clone()));
            }
        }
    }

    fn call(&mut self, call: &CallSeen, runs: usize) {
        if 1 < runs {
            self.violations.insert(Violation::RanTwice(call.body.clone()));
        }
        let answered = call.ends.iter().any(|end| matches!(end, CallEnd::Answered(_)));
        if answered && runs == 0 {
            self.violations.insert(Violation::NeverRan(call.body.clone()));
        }
        // Every attempt said "not run": then nothing may have run.
        let not_run = CallEnd::Outcome("not_run".into());
        if call.ends.iter().all(|end| *end == not_run) && 0 < runs {
            self.violations.insert(Violation::NotRunIsUntrue(call.body.clone()));
        }
    }
}

/// Fetches the journals; one that cannot be had counts as empty.
pub(super) fn journals(emulators: &[SocketAddr]) -> Vec<Run> {
    let agent = ureq::AgentBuilder::new().timeout(Duration::from_secs(10)).build();
    let fetch = |address: &SocketAddr| {
        let url = format!("http://{address}/emulator/journal");
        let response = agent.get(&url).call().ok()?;
        response.into_json::<Vec<Run>>().ok()
    };
    emulators.iter().filter_map(fetch).flatten().collect()
}
