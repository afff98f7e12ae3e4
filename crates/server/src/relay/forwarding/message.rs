//! What a daemon and a forwarder tell each other in headers.

use std::{fmt, str::FromStr, time::Duration};

use http::{HeaderMap, HeaderName, HeaderValue, header};

/// The endpoint that the request is for.
const ENDPOINT: HeaderName = HeaderName::from_static("trayswitch-endpoint");
/// Start time of the endpoint's run.
const STARTED_AT: HeaderName = HeaderName::from_static("trayswitch-started-at");
/// The caller's id of the request.
const REQUEST_ID: HeaderName = HeaderName::from_static("trayswitch-request");
const PURPOSE: HeaderName = HeaderName::from_static("trayswitch-purpose");
/// Present if the response is a stream of events.
const STREAM: HeaderName = HeaderName::from_static("trayswitch-stream");
const OUTCOME: HeaderName = HeaderName::from_static("trayswitch-outcome");
/// For how many more milliseconds the forwarder backs off from the endpoint.
const BACKOFF: HeaderName = HeaderName::from_static("trayswitch-backoff-ms");

/// Headers that concern one connection only; bodies are framed anew.
const HOP_BY_HOP: [HeaderName; 6] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Why a request is sent to an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(in crate::relay) enum Purpose {
    /// To serve a caller.
    Caller,
    /// To resume a generation where its KV cache is.
    Resume,
    /// For the daemon itself: load, reservations and copies.
    Control,
    /// Nothing is sent; only whether a connection comes up matters.
    Probe,
}

/// What became of a forwarded request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Outcome {
    /// The endpoint has responded.
    Answered,
    /// The forwarder could not connect to the endpoint.
    NotSent,
    /// Not sent: the forwarder takes no requests for this endpoint.
    Unavailable,
    /// Not sent: the endpoint accepts no new requests of the forwarder.
    Withheld,
    /// Sent, but the response did not arrive.
    Lost,
}

macro_rules! names {
    ($type:ty, $($variant:ident = $name:literal),*) => {
        impl $type {
            pub(super) fn name(self) -> &'static str {
                match self { $(Self::$variant => $name,)* }
            }
        }

        impl FromStr for $type {
            type Err = UnknownName;

            fn from_str(name: &str) -> Result<Self, UnknownName> {
                match name {
                    $($name => Ok(Self::$variant),)*
                    _ => Err(UnknownName),
                }
            }
        }
    };
}

names!(Purpose, Caller = "caller", Resume = "resume", Control = "control", Probe = "probe");
names!(
    Outcome,
    Answered = "answered",
    NotSent = "not_sent",
    Unavailable = "unavailable",
    Withheld = "withheld",
    Lost = "lost"
);

/// A name that stands for no purpose or outcome.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(in crate::relay) struct UnknownName;

/// What a forwarder is asked to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Target {
    pub(super) endpoint: String,
    pub(super) started_at: u64,
    pub(super) request_id: String,
    pub(super) purpose: Purpose,
    /// Whether the response is a stream of events.
    pub(super) is_stream: bool,
}

/// A header of a forwarded request that is missing or malformed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct InvalidTarget(HeaderName);

impl fmt::Display for InvalidTarget {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the header {} is missing or malformed", self.0)
    }
}

impl Target {
    /// Adds the target to the headers of a request.
    pub(super) fn write(&self, map: &mut HeaderMap) {
        let values = [
            (ENDPOINT, self.endpoint.as_str()),
            (STARTED_AT, &self.started_at.to_string()),
            (REQUEST_ID, self.request_id.as_str()),
            (PURPOSE, self.purpose.name()),
        ];
        for (name, value) in values {
            // A value that cannot be sent is reported as missing by the forwarder.
            if let Ok(value) = HeaderValue::from_str(value) {
                map.insert(name, value);
            }
        }
        if self.is_stream {
            map.insert(STREAM, HeaderValue::from_static("1"));
        }
    }

    /// Takes the target out of the headers of a request.
    pub(super) fn take(map: &mut HeaderMap) -> Result<Target, InvalidTarget> {
        Ok(Target {
            endpoint: take(map, ENDPOINT)?,
            started_at: take(map, STARTED_AT)?,
            request_id: take(map, REQUEST_ID)?,
            purpose: take(map, PURPOSE)?,
            is_stream: map.remove(STREAM).is_some(),
        })
    }
}

impl Outcome {
    pub(super) fn write(self, map: &mut HeaderMap) {
        map.insert(OUTCOME, HeaderValue::from_static(self.name()));
    }

    /// Takes the outcome out of the headers of a response; `None` if it names none.
    pub(super) fn take(map: &mut HeaderMap) -> Option<Outcome> {
        take(map, OUTCOME).ok()
    }
}

/// Adds for how long the forwarder backs off.
pub(super) fn write_backoff(map: &mut HeaderMap, left: Duration) {
    map.insert(BACKOFF, HeaderValue::from(left.as_millis() as u64));
}

/// Takes for how long the forwarder backs off, if it says so.
pub(super) fn take_backoff(map: &mut HeaderMap) -> Option<Duration> {
    take(map, BACKOFF).ok().map(Duration::from_millis)
}

fn take<T: FromStr>(map: &mut HeaderMap, name: HeaderName) -> Result<T, InvalidTarget> {
    let value = map.remove(&name);
    let text = value.as_ref().and_then(|value| value.to_str().ok());
    text.and_then(|text| text.parse().ok()).ok_or(InvalidTarget(name))
}

/// Removes the headers that concern one connection only.
pub(super) fn remove_hop_by_hop(map: &mut HeaderMap) {
    for name in HOP_BY_HOP {
        map.remove(name);
    }
}
