//! Responses as their callers read them.

use super::{
    fake_endpoint::event,
    protocol::{OUTCOME, header},
};
use crate::upstream::{AnswerBody, OpenAnswer};

/// Largest response in a test, in bytes.
const MAX_TEXT: usize = 1024 * 1024;

/// The complete body of a response, or the error that ended it.
pub(super) async fn text(answer: OpenAnswer) -> Result<String, String> {
    ResponseReader::new(answer).read_rest().await
}

/// Reads a streamed response.
pub(super) struct ResponseReader {
    body: AnswerBody,
    text: String,
}

impl ResponseReader {
    /// A response of which only the head was read.
    pub(super) fn new(answer: OpenAnswer) -> ResponseReader {
        ResponseReader { body: answer.body, text: String::new() }
    }

    /// Reads until the event of this id has been received.
    pub(super) async fn read_to(&mut self, id: u64) {
        while !self.text.contains(&event(id)) {
            let bytes = self.body.next().await.expect("the response ended early").unwrap();
            self.text += std::str::from_utf8(&bytes).unwrap();
        }
    }

    /// Reads to the end; returns the complete body, or an error if the response was aborted.
    pub(super) async fn read_rest(mut self) -> Result<String, String> {
        let rest = self.body.collect(MAX_TEXT).await?;
        self.text += std::str::from_utf8(&rest).unwrap();
        Ok(self.text)
    }
}

/// The error code set by the daemon, if it did not forward an endpoint's response.
pub(super) fn outcome(answer: &OpenAnswer) -> Option<String> {
    header(&answer.head.headers, OUTCOME)
}
