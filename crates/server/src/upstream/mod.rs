//! Reaches endpoints: sockets, one exchange of request and answer, and streams of events.

mod blocking;
mod connector;
mod events;
mod exchange;
#[cfg(feature = "faults")]
mod faulty;
mod intake;
pub(crate) mod socket;
#[cfg(test)]
mod tests;

pub(crate) use self::exchange::exchange_on;
#[cfg(feature = "faults")]
pub use self::faulty::FaultyConnector;
pub use self::{
    blocking::{BlockingBody, StreamLimits, fetch_blocking, open_blocking},
    connector::{Connector, TcpConnector, connect_within},
    events::{Event, EventSplitter},
    exchange::{AnswerBody, LateResponse, OpenAnswer, SendError, exchange, is_framed},
};
