//! Random sequences of arrivals, progress, relocations, cancellations and leader changes: once all requests
//! have ended, no scheduler holds a slot for any of them.

use std::time::Duration;

use googletest::prelude::*;
use proptest::prelude::*;

use super::net::{Net, Site, request};
use crate::{
    backoff::Rejection,
    node::{CallId, Input, NodeCall, VmName, control::ControlReplica},
    placement::Scheduler,
    wire::HealthNews,
};

/// A request and the entry that it was sent to.
#[derive(Debug, Clone)]
struct Request {
    entry: VmName,
    call: CallId,
}

/// A random event; its number selects the request or entry.
#[derive(Debug, Clone, Copy)]
enum Step {
    Arrives(u8),
    IsCancelled(u8),
    Progresses(u8, u8),
    Finishes(u8),
    IsRelocated(u8, bool),
    EndpointFails(u8),
    EndpointRejects(u8, u16),
    LeaderStops,
    TimePasses(u8),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        6 => any::<u8>().prop_map(Step::Arrives),
        3 => any::<u8>().prop_map(Step::IsCancelled),
        2 => (any::<u8>(), any::<u8>()).prop_map(|(at, tokens)| Step::Progresses(at, tokens)),
        2 => any::<u8>().prop_map(Step::Finishes),
        1 => (any::<u8>(), any::<bool>()).prop_map(|(at, done)| Step::IsRelocated(at, done)),
        1 => any::<u8>().prop_map(Step::EndpointFails),
        2 => (any::<u8>(), 0u16..3_000).prop_map(|(at, ms)| Step::EndpointRejects(at, ms)),
        1 => Just(Step::LeaderStops),
        4 => (0u8..6).prop_map(Step::TimePasses),
    ];
    proptest::collection::vec(step, 1..60)
}

/// A net and the requests that were sent to it.
struct Traffic {
    net: Net,
    requests: Vec<Request>,
}

impl Traffic {
    fn new(seed: u64) -> Traffic {
        let mut net = Net::new(&Site::new(3, 2), seed);
        net.recover(60);
        net.submit(&"vm-4".into(), 1, "a");
        net.recover(60);
        Traffic { net, requests: Vec::new() }
    }

    fn pick(&self, at: u8) -> Option<Request> {
        let at = usize::from(at).checked_rem(self.requests.len())?;
        self.requests.get(at).cloned()
    }

    fn send_input(&mut self, at: u8, input: impl FnOnce(CallId) -> Input) {
        if let Some(Request { entry, call }) = self.pick(at) {
            self.net.handle(&entry, input(call));
        }
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Arrives(at) => {
                let entry: VmName = if at % 2 == 0 { "vm-4" } else { "vm-5" }.into();
                let call = self.net.call(&entry, NodeCall::Place(request()));
                self.requests.push(Request { entry, call });
            }
            Step::IsCancelled(at) => self.send_input(at, Input::Cancelled),
            Step::Progresses(at, tokens) => {
                self.send_input(at, |call| Input::Progress(call, u64::from(tokens)));
            }
            Step::Finishes(at) => self.end(at),
            Step::IsRelocated(at, done) => {
                self.send_input(at, |call| Input::Moved { call, at: "e0".into(), done });
            }
            Step::EndpointFails(at) => {
                let entry: VmName = if at % 2 == 0 { "vm-4" } else { "vm-5" }.into();
                self.net.handle(&entry, Input::Health("e0".into(), HealthNews::Failed));
            }
            Step::EndpointRejects(at, millis) => {
                let entry: VmName = if at % 2 == 0 { "vm-4" } else { "vm-5" }.into();
                let retry_after = (0 < millis).then(|| Duration::from_millis(millis.into()));
                let rejection = Rejection { endpoint: "e0".into(), started_at: 0, retry_after };
                self.net.handle(&entry, Input::Rejected(rejection));
            }
            Step::LeaderStops => {
                if let Some(leader) = self.net.leader() {
                    self.net.handle(&leader, Input::Stop);
                }
            }
            Step::TimePasses(steps) => self.net.run(usize::from(steps)),
        }
    }

    fn end(&mut self, at: u8) {
        self.send_input(at, |call| Input::Finished { call, tokens: 5, complete: true });
    }

    /// Cancels and finishes every request, whatever its state.
    fn end_all(&mut self) {
        for Request { entry, call } in std::mem::take(&mut self.requests) {
            let finished = Input::Finished { call, tokens: 5, complete: false };
            for input in [Input::Cancelled(call), finished] {
                self.net.handle(&entry, input);
            }
        }
        self.net.recover(200);
    }

    /// The scheduler of the leader and the local schedulers of all daemons.
    fn schedulers(&self) -> Vec<&Scheduler> {
        let nodes = || self.net.hosts.values().filter_map(|host| host.node.as_ref());
        let control = nodes().filter_map(|node| node.control.as_ref());
        let leaders = control.filter_map(ControlReplica::scheduler);
        leaders.chain(nodes().map(|node| node.placement.local())).collect()
    }
}

proptest! {
    #![proptest_config(crate::testing::fixed_seed(150))]

    #[test]
    fn ended_requests_hold_no_slots(seed in any::<u64>(), steps in steps()) {
        let mut traffic = Traffic::new(seed);
        for step in steps {
            traffic.step(step);
        }
        traffic.end_all();
        for scheduler in traffic.schedulers() {
            prop_assert_eq!(scheduler.waiting(), 0);
            prop_assert_eq!(scheduler.running(), 0);
            for (name, endpoint) in scheduler.endpoints() {
                prop_assert_eq!(endpoint.running(), 0, "{}", name);
                prop_assert!(endpoint.kv_used().abs() < 1e-6, "{}: {}", name, endpoint.kv_used());
            }
        }
    }
}

#[gtest]
fn generated_requests_are_placed() {
    let mut traffic = Traffic::new(1);

    for at in 0..3 {
        traffic.step(Step::Arrives(at));
    }
    traffic.step(Step::TimePasses(5));

    expect_that!(traffic.net.observed.placed.len(), eq(3));
    let running: usize = traffic.schedulers().iter().map(|s| s.running()).max().unwrap();
    expect_that!(running, eq(3));
}
