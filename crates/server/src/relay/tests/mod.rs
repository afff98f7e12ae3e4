//! Tests of the relay: a complete daemon with endpoints controlled by the test.

mod backoff;
mod calls;
mod cancellation;
mod cold_start;
mod connection_skew;
mod data_halls;
mod failed_attempt;
mod fake_endpoint;
mod forwarding;
mod generations;
mod latency;
mod local_placement;
mod prompt_parts;
mod protocol;
mod quarantine;
mod rate_limit;
mod relocation;
mod response;
mod retry_budget;
mod software_versions;
mod staleness;
mod startup;
mod suspension;
mod test_daemon;
mod test_fleet;
mod unframed_responses;
