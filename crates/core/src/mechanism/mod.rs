//! The mechanisms of the decisions, each of which can be switched off to find what it is worth.
//!
//! docs/DECISIONS.md has what each gains, measured by switching it off. Mechanisms that a promise
//! rests on, such as the shares of the budget for repeats, cannot be switched off.

#[cfg(test)]
mod tests;

use std::{fmt, str::FromStr};

macro_rules! mechanisms {
    ($($variant:ident = $name:literal, $meaning:literal;)*) => {
        /// A mechanism of the decisions.
        #[derive(Debug, Clone, Copy, PartialEq, Eq)]
        pub enum Mechanism {
            $(#[doc = $meaning] $variant,)*
        }

        impl Mechanism {
            /// All of them.
            pub const ALL: &[Mechanism] = &[$(Mechanism::$variant,)*];

            /// Its name in settings and arguments.
            pub fn name(self) -> &'static str {
                match self {
                    $(Mechanism::$variant => $name,)*
                }
            }
        }
    };
}

mechanisms! {
    Evacuation = "evacuation", "Generations are moved off endpoints that leave.";
    MoveOrder = "move-order", "What saves most for the size of its copy moves first.";
    NearDestinations = "near-destinations", "Moves prefer endpoints of the same data hall.";
    RefusedDestinations = "refused-destinations", "Moves avoid endpoints that refused a copy.";
    Handover = "handover", "Young generations go on where less is read.";
    ReadingHarm = "reading-harm", "Prompts are read where they hold up least.";
    ReadingAvoidance = "reading-avoidance", "Long answers avoid endpoints that read much.";
    ReadingWait = "reading-wait", "New work avoids endpoints that have prompts to read.";
    LateFirstToken = "late-first-token", "New work avoids endpoints where it would begin too late.";
    WorthWeights = "worth-weights", "Lost time is weighed by the worth of what loses it.";
    Pace = "pace", "New work avoids slow endpoints.";
    PrefixAffinity = "prefix-affinity", "Equal starts of prompts go to the same endpoint.";
    ForecastMargin = "forecast-margin", "Memory is kept free for answers that grow long.";
    Ageing = "ageing", "Waiting requests gain rank.";
    EarlyRefusal = "early-refusal", "A request whose wait is expected to be too long is refused at once.";
    RecalledEndpoints = "recalled-endpoints", "Control VMs know endpoints from before their start.";
    StartPatience = "start-patience", "Requests wait for a daemon that has just started.";
    StopEstimate = "stop-estimate", "A stopping daemon takes what ends in time more likely than elsewhere.";
    PlacePatience = "place-patience", "Generations wait for a place.";
    SecondAttempts = "second-attempts", "Calls that take long are sent to a second endpoint.";
    FailurePauses = "failure-pauses", "Calls avoid endpoints that did not answer.";
    FailureWeights = "failure-weights", "Calls avoid endpoints that fail often.";
    SharedBackoff = "shared-backoff", "An endpoint that rejects requests is the last resort of all daemons.";
    EndpointSamples = "endpoint-samples", "Entries of a large fleet know a sample of its endpoints.";
    RouteUrgency = "route-urgency", "Within a workspace's tier, generations on more urgent routes go first.";
    AdmissionForecast = "admission-forecast", "Requests whose wait is expected to be too long are rejected early, from measured rates.";
    ReturnOrder = "return-order", "Rejected requests get a time to come back, and then go before newcomers.";
    Forwarding = "forwarding", "A daemon that cannot connect to an endpoint sends its requests through another one.";
    NearCalls = "near-calls", "Calls prefer endpoints of the same data hall.";
}

/// A name that is no mechanism's.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UnknownMechanism(String);

impl fmt::Display for UnknownMechanism {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let names: Vec<&str> = Mechanism::ALL.iter().map(|mechanism| mechanism.name()).collect();
        write!(f, "\"{}\" is no mechanism; there are {}", self.0, names.join(", "))
    }
}

impl std::error::Error for UnknownMechanism {}

impl FromStr for Mechanism {
    type Err = UnknownMechanism;

    fn from_str(name: &str) -> Result<Mechanism, UnknownMechanism> {
        let found = Mechanism::ALL.iter().copied().find(|mechanism| mechanism.name() == name);
        found.ok_or_else(|| UnknownMechanism(name.to_owned()))
    }
}

/// The mechanisms that are switched off; none by default.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Disabled(u32);

impl Disabled {
    /// Whether a mechanism is in use.
    pub fn allows(self, mechanism: Mechanism) -> bool {
        self.0 & (1 << mechanism as u32) == 0
    }

    /// These and one more.
    pub fn with(self, mechanism: Mechanism) -> Disabled {
        Disabled(self.0 | (1 << mechanism as u32))
    }
}

impl fmt::Display for Disabled {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let off = Mechanism::ALL.iter().filter(|mechanism| !self.allows(**mechanism));
        let names: Vec<&str> = off.map(|mechanism| mechanism.name()).collect();
        f.write_str(&names.join(","))
    }
}

/// Names separated by commas; an empty text switches nothing off.
impl FromStr for Disabled {
    type Err = UnknownMechanism;

    fn from_str(names: &str) -> Result<Disabled, UnknownMechanism> {
        let names = names.split(',').map(str::trim).filter(|name| !name.is_empty());
        names
            .map(str::parse)
            .try_fold(Disabled::default(), |off, mechanism| Ok(off.with(mechanism?)))
    }
}
