//! The events that an endpoint sends of one generation.

use crate::upstream::{AnswerBody, Event, EventSplitter};

/// What comes next on a stream.
pub(super) enum Step {
    /// An event.
    Event(Event),
    /// The stream ended as it should.
    Ended,
    /// It broke off.
    Lost(String),
}

/// Events on the connection to one endpoint.
pub(super) struct Source {
    body: AnswerBody,
    splitter: EventSplitter,
}

impl Source {
    pub(super) fn new(body: AnswerBody) -> Source {
        Source { body, splitter: EventSplitter::default() }
    }

    /// The next step. Nothing is lost when the future is dropped.
    pub(super) async fn next(&mut self) -> Step {
        loop {
            if let Some(event) = self.splitter.next_event() {
                return Step::Event(event);
            }
            match self.body.next().await {
                Some(Ok(bytes)) => {
                    if let Err(problem) = self.splitter.push(&bytes) {
                        return Step::Lost(problem);
                    }
                }
                Some(Err(problem)) => return Step::Lost(problem),
                None if self.splitter.has_rest() => {
                    return Step::Lost("the stream ended in the middle of an event".into());
                }
                None => return Step::Ended,
            }
        }
    }
}
