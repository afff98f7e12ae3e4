//! Answers as their callers read them.

use super::{
    fake_endpoint::event,
    protocol::{OUTCOME, header},
};
use crate::upstream::{AnswerBody, OpenAnswer};

/// Longest answer in a test, in bytes.
const MAX_TEXT: usize = 1024 * 1024;

/// The whole text of an answer, or what became of it.
pub(super) async fn text(answer: OpenAnswer) -> Result<String, String> {
    ResponseReader::new(answer).read_rest().await
}

/// A streamed answer as its caller reads it.
pub(super) struct ResponseReader {
    body: AnswerBody,
    text: String,
}

impl ResponseReader {
    /// An answer of which only the head was read.
    pub(super) fn new(answer: OpenAnswer) -> ResponseReader {
        ResponseReader { body: answer.body, text: String::new() }
    }

    /// Reads until the event of this id has come.
    pub(super) async fn read_to(&mut self, id: u64) {
        while !self.text.contains(&event(id)) {
            let bytes = self.body.next().await.expect("the answer goes on").unwrap();
            self.text += std::str::from_utf8(&bytes).unwrap();
        }
    }

    /// Reads on to the end; returns the whole text unless the answer was cut.
    pub(super) async fn read_rest(mut self) -> Result<String, String> {
        let rest = self.body.collect(MAX_TEXT).await?;
        self.text += std::str::from_utf8(&rest).unwrap();
        Ok(self.text)
    }
}

/// The outcome that the entry told, where it answered itself.
pub(super) fn outcome(answer: &OpenAnswer) -> Option<String> {
    header(&answer.head.headers, OUTCOME)
}
