//! The event stream of one generation from one endpoint.

use http::response;

use super::unframed_response::is_unframed;
use crate::{
    overload::Reservation,
    upstream::{AnswerBody, Event, EventSplitter},
};

pub(super) enum StreamItem {
    Event(Event),
    /// The stream ended cleanly.
    End,
    /// The connection of an unframed stream ended after a whole event.
    ConnectionEnd,
    /// The connection or the framing failed.
    Error(String),
}

/// Splits a response body into events.
pub(super) struct EventStream {
    body: AnswerBody,
    splitter: EventSplitter,
    /// Room for the bytes that are gathered.
    reservation: Reservation,
    is_unframed: bool,
}

impl EventStream {
    pub(super) fn new(
        head: &response::Parts,
        body: AnswerBody,
        reservation: Reservation,
    ) -> EventStream {
        let splitter = EventSplitter::default();
        EventStream { body, splitter, reservation, is_unframed: is_unframed(head) }
    }

    fn push(&mut self, bytes: &[u8]) -> Result<(), String> {
        self.splitter.push(bytes)?;
        self.reservation.resize(self.splitter.len()).map_err(|e| e.to_string())
    }

    /// The next item. Cancel safe.
    pub(super) async fn next(&mut self) -> StreamItem {
        loop {
            if let Some(event) = self.splitter.next_event() {
                return StreamItem::Event(event);
            }
            match self.body.next().await {
                Some(Ok(bytes)) => {
                    if let Err(error) = self.push(&bytes) {
                        return StreamItem::Error(error);
                    }
                }
                Some(Err(error)) => return StreamItem::Error(error),
                None if self.splitter.has_rest() => {
                    return StreamItem::Error("the stream ended within an event".into());
                }
                None if self.is_unframed => return StreamItem::ConnectionEnd,
                None => return StreamItem::End,
            }
        }
    }
}
