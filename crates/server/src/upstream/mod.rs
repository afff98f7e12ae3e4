//! Reaches endpoints: sockets, one exchange of request and answer, and streams of events.

mod events;
mod exchange;
pub(crate) mod socket;
#[cfg(test)]
mod tests;

pub use self::{
    events::{Event, EventSplitter},
    exchange::{AnswerBody, LateResponse, OpenAnswer, SendError, exchange, exchange_if},
};
