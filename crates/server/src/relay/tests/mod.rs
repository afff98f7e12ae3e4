//! Tests of the relay: a complete daemon with endpoints controlled by the test.

mod backoff;
mod budget;
mod calls;
mod cold_start;
mod crashing;
mod ended;
mod fake_endpoint;
mod generations;
mod halls;
mod latency;
mod leaving;
mod limits;
mod moves;
mod protocol;
mod response;
mod starting;
mod suspended;
mod test_daemon;
mod unscheduled;
