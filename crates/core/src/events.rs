//! Numbered log events; docs/EVENTS.md is their catalogue.

use std::fmt;

macro_rules! events {
    ($($name:ident = $number:literal, $meaning:literal;)*) => {
        /// A numbered log event.
        #[derive(Debug, Clone, Copy, PartialEq, Eq)]
        pub enum EventId {
            $(#[doc = $meaning] $name = $number,)*
        }

        impl EventId {
            /// The event's number in the catalogue.
            pub fn number(self) -> u32 {
                self as u32
            }

            /// All events with their meanings.
            pub const ALL: &[(EventId, &str)] = &[$((EventId::$name, $meaning),)*];
        }
    };
}

events! {
    DaemonStarted = 101, "The daemon serves callers.";
    StopBegun = 102, "A planned stop began.";
    StopEnded = 103, "A planned stop ended with nothing left running.";
    StopForced = 104, "A planned stop reached its time limit with requests still running.";
    SettingsReloaded = 105, "The settings file was read again.";
    MetricsFailed = 106, "Metrics cannot be served.";
    LinesDropped = 107, "Log lines were dropped: the reader of the output did not keep up, or there were too many.";
    Suspended = 108, "The VM was suspended and goes on.";
    ConfigInForce = 201, "A configuration came into force on this daemon.";
    ConfigStale = 202, "The daemon can no longer confirm that its configuration is current.";
    ConfigFresh = 203, "The daemon has confirmed again that its configuration is current.";
    StorageFailed = 204, "The data folder can no longer be used; the daemon ends.";
    PeerRefused = 205, "A link with another daemon was refused.";
    NodeEnded = 206, "The thread that decides has ended; the daemon ends.";
    StorageOpened = 207, "The data folder was opened.";
    LinkUp = 208, "A link with another daemon is up.";
    LinkDown = 209, "The last link with another daemon is down.";
    LinkFull = 210, "A message was dropped because the peer does not take what is sent.";
    ConfigAnswered = 211, "An operator's order was answered.";
    LeaderChanged = 212, "Another control VM leads, or none is known.";
    StorageFull = 213, "The disk of the data folder is full, or has room again.";
    EndpointsRecalled = 214, "Endpoints are known from before the daemon's start.";
    ChangeSent = 215, "A change of the configuration was told to all daemons, or sent to one.";
    ThreadHeldUp = 216, "The daemon's thread was held up: links, timers and requests stood still.";
    LargeMessage = 217, "A large message has been written to a link.";
    ConfigUnusable = 218, "An accepted configuration cannot come into force on this daemon.";
    HallsOut = 219, "Other data halls are out of service from now on.";
    HallOrdered = 220, "An operator's order about a data hall was answered.";
    RoleChanged = 221, "The control replica on this VM leads, looks for votes or follows, in another term than before.";
    SlowWrite = 222, "A write of the data folder waited for others or took long.";
    ConfigFetched = 223, "A daemon has fetched a change of the configuration, or the whole of it, from control VMs.";
    SessionRenewed = 224, "Another daemon had forgotten what it knew of this one, and both have begun anew.";
    EndpointFailed = 301, "An endpoint failed to serve a request.";
    EndpointLeaving = 302, "An endpoint said that it is leaving.";
    StreamResumed = 303, "A stream was resumed at its endpoint.";
    OutcomeUnstored = 306, "An outcome was answered before it was stored; storing goes on.";
    EndpointNews = 307, "An endpoint registered itself, changed its state or ended.";
    RequestEnded = 310, "A request has ended.";
    AttemptEnded = 311, "An attempt at an endpoint has ended.";
    MoveEnded = 312, "A running generation was moved, or could not be.";
    CallerRefused = 313, "A connection or request of a caller was refused before it was routed.";
    PlacedAlone = 315, "No scheduler answers; an engine drawn at random was asked for a place.";
    TakenWhileStopping = 314, "A daemon that stops has taken a generation that will likely end in time.";
    EndedUnder = 316, "An attempt broke off, and it was found out whether its endpoint has ended.";
    SuspectChanged = 317, "The leader has put on record that an endpoint has ended under a request or a part of prompts (`part:`), or that it is no suspect any more.";
    TrialAsked = 318, "A try of a request under which endpoints have ended, or under a part of its prompt, was let run, or was not.";
    LimitChanged = 319, "An endpoint has named how many requests a second it takes, another number, or none any more.";
    PermitRequested = 320, "A call for which an endpoint that names a limit was chosen went there, elsewhere, or was refused.";
    SignalUnreadable = 321, "What an endpoint says of itself in an answer cannot be read.";
    BackoffChanged = 322, "An endpoint has asked this daemon to back off, or the time is over.";
    RequestRejected = 323, "The leader has rejected a request, or has left lines of rejections out.";
    ReachabilityChanged = 324, "This daemon reaches other endpoints than before.";
    RequestForwarded = 325, "A request was offered to another daemon, since this one cannot connect to its endpoint.";
    StreamTakenUp = 326, "A caller takes up a stream that an earlier attempt began.";
    LoadShedding = 327, "The daemon's thread or the VM's network link is full, and new connections are closed unread or refused, or no longer.";
    LinkLoad = 328, "The VM's network link carries much, or delays connections to all peers.";
    RequestFailed = 304, "A request did not end in its whole answer.";
    FrameDropped = 305, "A frame of a generation was ignored.";
}

impl fmt::Display for EventId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "TS{}", *self as u16)
    }
}
