//! The events that an endpoint sends of one generation.

use crate::upstream::{AnswerBody, Event, EventSplitter};

/// What comes next on a stream.
pub(super) enum StreamItem {
    /// An event.
    Event(Event),
    /// The stream ended as it should.
    End,
    /// It broke off.
    Error(String),
}

/// Events on the connection to one endpoint.
pub(super) struct EventStream {
    body: AnswerBody,
    splitter: EventSplitter,
}

impl EventStream {
    pub(super) fn new(body: AnswerBody) -> EventStream {
        EventStream { body, splitter: EventSplitter::default() }
    }

    /// The next step. Nothing is lost when the future is dropped.
    pub(super) async fn next(&mut self) -> StreamItem {
        loop {
            if let Some(event) = self.splitter.next_event() {
                return StreamItem::Event(event);
            }
            match self.body.next().await {
                Some(Ok(bytes)) => {
                    if let Err(error) = self.splitter.push(&bytes) {
                        return StreamItem::Error(error);
                    }
                }
                Some(Err(error)) => return StreamItem::Error(error),
                None if self.splitter.has_rest() => {
                    return StreamItem::Error("the stream ended in the middle of an event".into());
                }
                None => return StreamItem::End,
            }
        }
    }
}
