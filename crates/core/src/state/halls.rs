//! Data halls that operators have taken out of service.
//!
//! Orders are numbered as they are carried out. An order says which number its asker knew to be the
//! last when the operator came; if the opposite was ordered for the same hall since, it is overtaken
//! and changes nothing. So one that a slow link or a suspended VM has held up brings nothing older
//! back. One that finds the hall as it should be is numbered too, against opposite ones held up.

use std::{collections::BTreeMap, sync::Arc};

/// Longest name of a data hall, in bytes: one label of a host name.
const MAX_NAME: usize = 63;
/// Data halls of which the last order is kept; far more than a fleet has (11 at the two-year size),
/// against names without end.
const MAX_HALLS: usize = 256;

/// An operator's order to take a data hall out of service, or to give it back.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct HallOrder {
    /// Name of the data hall.
    #[prost(string, tag = "1")]
    pub hall: String,
    /// Whether it is to be out of service.
    #[prost(bool, tag = "2")]
    pub out: bool,
    /// Number of the last order that the asker knew to be carried out.
    #[prost(uint64, tag = "3")]
    pub after: u64,
}

/// What an order about a data hall came to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HallResult {
    /// It is carried out.
    Done,
    /// The hall was so already.
    Repeated,
    /// The opposite was ordered after the asker looked; nothing has changed.
    Overtaken,
    /// So many halls are out of service that no other can be kept in mind; nothing has changed.
    TooMany,
}

/// The data halls that are out of service, as of one order.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct HallsOut {
    /// Number of the last order that was carried out; a higher one is newer.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Names of the halls.
    #[prost(string, repeated, tag = "2")]
    pub names: Vec<String>,
}

impl HallsOut {
    /// Whether a data hall is out of service.
    pub fn contains(&self, hall: &str) -> bool {
        self.names.iter().any(|name| name == hall)
    }
}

/// The last order about one data hall.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct LastOrder {
    out: bool,
    number: u64,
}

/// What is wrong with the name of a data hall, if anything is: names are letters, digits, `-`, `_` and
/// `.`. One that no endpoint names is good: its endpoints may all have crashed, or come later.
pub fn check_hall_name(name: &str) -> Result<(), String> {
    let is_good = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    if name.is_empty() || MAX_NAME < name.len() || !name.chars().all(is_good) {
        return Err(format!(
            "\"{}\" is no name of a data hall: expected 1 to {MAX_NAME} letters, digits, '-', '_' \
             and '.'",
            name.escape_default()
        ));
    }
    Ok(())
}

/// The last order about each data hall.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct Halls {
    last: BTreeMap<Arc<str>, LastOrder>,
    /// What follows from them.
    out: HallsOut,
}

#[derive(Clone, PartialEq, Eq, prost::Message)]
pub(super) struct EncodedHall {
    #[prost(string, tag = "1")]
    name: String,
    #[prost(bool, tag = "2")]
    out: bool,
    #[prost(uint64, tag = "3")]
    number: u64,
}

/// [`Halls`] in a snapshot.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub(crate) struct EncodedHalls {
    #[prost(uint64, tag = "1")]
    number: u64,
    #[prost(message, repeated, tag = "2")]
    pub(super) last: Vec<EncodedHall>,
}

impl Halls {
    /// Carries an order out.
    pub(crate) fn order(&mut self, order: &HallOrder) -> HallResult {
        let last = self.last.get(order.hall.as_str()).copied();
        let is_same = last.is_some_and(|last| last.out) == order.out;
        if !is_same && last.is_some_and(|last| order.after < last.number) {
            return HallResult::Overtaken;
        }
        if last.is_none() && !self.make_room() {
            return HallResult::TooMany;
        }
        let number = self.out.number + 1;
        self.last.insert(order.hall.as_str().into(), LastOrder { out: order.out, number });
        self.out = out_of(&self.last, number);
        if is_same { HallResult::Repeated } else { HallResult::Done }
    }

    /// Those that are out of service.
    pub(crate) fn out(&self) -> &HallsOut {
        &self.out
    }

    pub(crate) fn encode(&self) -> EncodedHalls {
        let hall = |(name, last): (&Arc<str>, &LastOrder)| EncodedHall {
            name: name.to_string(),
            out: last.out,
            number: last.number,
        };
        EncodedHalls { number: self.out.number, last: self.last.iter().map(hall).collect() }
    }

    pub(crate) fn decode(encoded: EncodedHalls) -> Halls {
        let last = |EncodedHall { name, out, number }| (name.into(), LastOrder { out, number });
        let last = encoded.last.into_iter().map(last).collect();
        Halls { out: out_of(&last, encoded.number), last }
    }

    /// Forgets the hall that has been back in service for longest if there are too many; returns
    /// whether there is room for one more.
    fn make_room(&mut self) -> bool {
        if self.last.len() < MAX_HALLS {
            return true;
        }
        let back = self.last.iter().filter(|(_, last)| !last.out);
        let oldest = back.min_by_key(|(_, last)| last.number).map(|(name, _)| name.clone());
        oldest.is_some_and(|name| self.last.remove(&name).is_some())
    }
}

/// The halls that these orders have taken out, as of the order of this number.
fn out_of(last: &BTreeMap<Arc<str>, LastOrder>, number: u64) -> HallsOut {
    let out = last.iter().filter(|(_, last)| last.out);
    HallsOut { number, names: out.map(|(name, _)| name.to_string()).collect() }
}
