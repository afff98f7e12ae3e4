//! Tests of the relay: a whole entry with endpoints that do what a test tells them.

mod backoff;
mod budget;
mod calls;
mod cold;
mod crashing;
mod ended;
mod endpoint;
mod entry;
mod generations;
mod halls;
mod latency;
mod leaving;
mod limits;
mod moves;
mod protocol;
mod reading;
mod starting;
mod suspended;
mod unscheduled;
