//! Numbered log events; docs/EVENTS.md is their catalogue.

use std::fmt;

macro_rules! events {
    ($($name:ident = $number:literal, $meaning:literal;)*) => {
        /// A numbered log event.
        #[derive(Debug, Clone, Copy, PartialEq, Eq)]
        pub(crate) enum EventId {
            $(#[doc = $meaning] $name = $number,)*
        }

        #[cfg(test)]
        impl EventId {
            /// All events with their meanings.
            pub(crate) const ALL: &[(EventId, &str)] = &[$((EventId::$name, $meaning),)*];
        }
    };
}

events! {
    DaemonStarted = 101, "The daemon serves callers.";
    StopBegun = 102, "A planned stop began.";
    StopEnded = 103, "A planned stop ended with nothing left running.";
    StopForced = 104, "A planned stop reached its time limit with requests still running.";
    ConfigInForce = 201, "A configuration came into force on this daemon.";
    ConfigStale = 202, "The daemon can no longer confirm that its configuration is current.";
    ConfigFresh = 203, "The daemon has confirmed again that its configuration is current.";
    StorageFailed = 204, "The data folder can no longer be used; the daemon ends.";
    PeerRefused = 205, "A link with another daemon was refused.";
    NodeEnded = 206, "The thread that decides has ended; the daemon ends.";
    EndpointFailed = 301, "An endpoint failed to serve a request.";
    EndpointLeaving = 302, "An endpoint said that it is leaving.";
    StreamResumed = 303, "A stream was resumed at its endpoint.";
    OutcomeUnstored = 306, "An outcome was answered before it was stored; storing goes on.";
    RequestFailed = 304, "A request did not end in its whole answer.";
    FrameDropped = 305, "A frame of a generation was ignored.";
}

impl fmt::Display for EventId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "TS{}", *self as u16)
    }
}
