//! Tests of the relay: a whole entry with endpoints that do what a test tells them.

mod backoff;
mod calls;
mod cold_start;
mod data_halls;
mod failed_attempt;
mod fake_endpoint;
mod generations;
mod latency;
mod leaving;
mod local_placement;
mod protocol;
mod quarantine;
mod rate_limit;
mod relocation;
mod response;
mod retry_budget;
mod startup;
mod suspension;
mod test_daemon;
