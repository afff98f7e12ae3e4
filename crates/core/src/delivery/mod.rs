//! Delivery of one generation to one caller: each token once, in order, whole.
//!
//! [`Delivery`] is the only record of what the caller has. It accepts frames of
//! the current attempt and generation at exactly the next position, and says
//! how to go on when the link to the endpoint is lost.

#[cfg(test)]
mod tests;

use crate::error::ErrorKind;

/// Number of one attempt to run a request; a later attempt has a higher number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct AttemptId(pub u32);

/// Name that an endpoint gave to one generation.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct GenerationId(pub String);

/// One event read from an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Frame {
    /// A token at a position; the first position is 1.
    Token {
        /// The generation that the token belongs to.
        generation: GenerationId,
        /// Position in the generation.
        position: u64,
        /// Text of the token.
        text: String,
    },
    /// The engine's final marker.
    Finished {
        /// The generation that ended.
        generation: GenerationId,
        /// Number of tokens in the whole generation.
        count: u64,
        /// Why it ended, for example `stop` or `length`.
        reason: String,
    },
}

/// What to do with one frame.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// Write this token to the caller.
    Deliver(String),
    /// The whole answer has been delivered; end the answer cleanly.
    Finish {
        /// Why the engine ended.
        reason: String,
    },
    /// Ignore the frame and count it.
    Drop(DropReason),
    /// The frame shows that the link lost something; close it and ask [`Delivery::on_lost`].
    Broken,
}

/// Why a frame was ignored.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DropReason {
    /// It came from an attempt that is over.
    OldAttempt,
    /// The caller already has this position.
    Repeated,
    /// The answer has already ended.
    AfterEnd,
}

/// How to go on after the link to the endpoint was lost.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum NextStep {
    /// No token was delivered: the request may be placed again, at any endpoint.
    RunAfresh,
    /// Ask the same endpoint for the same generation after this position.
    Resume {
        /// The generation to go on with.
        generation: GenerationId,
        /// Last position that the caller has.
        after: u64,
    },
    /// Give up and tell the caller at once.
    GiveUp(ErrorKind),
}

/// Bounds on attempts for one request.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Most attempts that start the request afresh, the first included.
    pub max_starts: u32,
    /// Most resumes without a new token in between.
    pub max_resumes: u32,
}

/// Progress of one generation towards one caller.
#[derive(Debug)]
pub struct Delivery {
    limits: Limits,
    attempt: AttemptId,
    starts: u32,
    resumes: u32,
    generation: Option<GenerationId>,
    delivered: u64,
    ended: bool,
}

impl Delivery {
    /// A request that has not been sent anywhere.
    pub fn new(limits: Limits) -> Delivery {
        Delivery {
            limits,
            attempt: AttemptId(0),
            starts: 0,
            resumes: 0,
            generation: None,
            delivered: 0,
            ended: false,
        }
    }

    /// Starts an attempt that runs the request afresh.
    ///
    /// # Panics
    /// When a token has been delivered: only a resume may follow then.
    pub fn start(&mut self) -> AttemptId {
        assert!(self.delivered == 0, "a request with delivered tokens is never run afresh");
        self.generation = None;
        self.starts += 1;
        self.resumes = 0;
        self.next_attempt()
    }

    /// Starts an attempt that resumes the same generation.
    pub fn resume(&mut self) -> AttemptId {
        self.resumes += 1;
        self.next_attempt()
    }

    /// Forgets what was collected, for a caller that has been shown none of it.
    pub fn discard(&mut self) {
        self.delivered = 0;
        self.generation = None;
    }

    /// Number of tokens that the caller has.
    pub fn delivered(&self) -> u64 {
        self.delivered
    }

    /// Whether the answer ended cleanly.
    pub fn ended(&self) -> bool {
        self.ended
    }

    /// The generation of the current attempt, once known.
    pub fn generation(&self) -> Option<&GenerationId> {
        self.generation.as_ref()
    }

    /// Notes the name that the endpoint gave, before any token came.
    /// Returns false when it is not the generation that was being delivered.
    pub fn on_started(&mut self, attempt: AttemptId, generation: &GenerationId) -> bool {
        attempt == self.attempt && self.is_current(generation)
    }

    /// Judges one frame.
    pub fn on_frame(&mut self, attempt: AttemptId, frame: Frame) -> Verdict {
        if attempt != self.attempt {
            return Verdict::Drop(DropReason::OldAttempt);
        }
        if self.ended {
            return Verdict::Drop(DropReason::AfterEnd);
        }
        match frame {
            Frame::Token { generation, position, text } => {
                if !self.is_current(&generation) {
                    return Verdict::Broken;
                }
                if position <= self.delivered {
                    return Verdict::Drop(DropReason::Repeated);
                }
                if position != self.delivered + 1 {
                    return Verdict::Broken;
                }
                self.delivered = position;
                self.resumes = 0;
                Verdict::Deliver(text)
            }
            Frame::Finished { generation, count, reason } => {
                if !self.is_current(&generation) || count != self.delivered {
                    return Verdict::Broken;
                }
                self.ended = true;
                Verdict::Finish { reason }
            }
        }
    }

    /// Decides how to go on after the link was lost or the endpoint broke its protocol.
    /// `generation_lives` is false when the endpoint said that the generation is gone.
    pub fn on_lost(&self, generation_lives: bool) -> NextStep {
        let resumable = generation_lives && self.resumes < self.limits.max_resumes;
        if let (true, Some(generation)) = (resumable, &self.generation) {
            return NextStep::Resume { generation: generation.clone(), after: self.delivered };
        }
        if 0 < self.delivered {
            return NextStep::GiveUp(ErrorKind::GenerationLost);
        }
        if self.starts < self.limits.max_starts {
            return NextStep::RunAfresh;
        }
        NextStep::GiveUp(ErrorKind::OutcomeUnknown)
    }

    fn next_attempt(&mut self) -> AttemptId {
        self.attempt = AttemptId(self.attempt.0 + 1);
        self.attempt
    }

    fn is_current(&mut self, generation: &GenerationId) -> bool {
        self.generation.get_or_insert_with(|| generation.clone()) == generation
    }
}
