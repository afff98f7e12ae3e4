//! Fault injection, concurrent requests of operators and callers, and recovery.

use std::time::Duration;

use bytes::Bytes;

use super::{Net, fixture::request};
use crate::{
    node::{CallId, Input, NodeCall, VmName},
    once::Claim,
};

impl Net {
    /// Picks a random VM.
    pub(crate) fn random_vm(&mut self) -> VmName {
        let vms = self.vms();
        vms[self.random(vms.len() as u64) as usize].clone()
    }

    /// Starts or ends a random fault at a random VM.
    pub(crate) fn inject_fault(&mut self) {
        let vm = self.random_vm();
        let other = self.random_vm();
        match self.random(12) {
            0 => self.crash(&vm),
            1..=3 if self.hosts[&vm].node.is_none() => self.start(&vm),
            4 => self.disconnect(&vm, &other),
            5..=6 => self.connect(&vm, &other),
            7 => {
                self.partitioned.insert(vm.clone());
                self.isolate(&vm);
            }
            8 => self.partitioned.clear(),
            9 => self.hosts.get_mut(&vm).unwrap().suspended ^= true,
            10 => self.handle(&vm, Input::Stop),
            _ => {}
        }
    }

    /// Makes a random request of an operator or a caller at a random VM.
    pub(crate) fn random_request(&mut self) {
        let vm = self.random_vm();
        match self.random(5) {
            4 => {
                let hall = ["a", "b"][self.random(2) as usize];
                let out = self.random(2) == 0;
                self.order_hall(&vm, hall, out);
            }
            0 => {
                let version = 1 + self.random(8);
                let content = ["a", "b"][self.random(2) as usize];
                self.submit(&vm, version, content);
            }
            1 => {
                let key = self.random(5) as u8;
                self.claim(&vm, key);
            }
            2 => {
                self.call(&vm, NodeCall::Place(request()));
            }
            _ => {
                if let Some(call) = self.observed.placed.pop() {
                    self.handle(&vm, Input::Finished { call, tokens: 5, complete: true });
                }
            }
        }
    }

    fn claim(&mut self, vm: &VmName, key: u8) {
        let owner = self.random(1 << 40);
        let claim = Claim {
            key: Bytes::copy_from_slice(&[key; 32]),
            body: Bytes::copy_from_slice(&[1; 32]),
            owner: Bytes::copy_from_slice(&owner.to_be_bytes()),
            timeout_ms: 1_000,
            made_ms: None,
        };
        let call = CallId(self.next_call + 1);
        self.observed.record_claim(call, key, owner);
        self.call(vm, NodeCall::Claim { claim, limit: Duration::from_secs(2) });
    }

    /// Runs with delayed messages, random faults and random requests.
    pub(crate) fn run_with_faults(&mut self, steps: usize) {
        for _ in 0..steps {
            self.step(true);
            if self.random(6) == 0 {
                self.inject_fault();
            }
            self.random_request();
        }
    }

    /// Ends all faults and runs.
    pub(crate) fn recover(&mut self, steps: usize) {
        self.partitioned.clear();
        for vm in self.vms() {
            self.hosts.get_mut(&vm).unwrap().suspended = false;
            if self.hosts[&vm].node.is_none() {
                self.start(&vm);
            }
        }
        for a in self.vms() {
            for b in self.vms() {
                self.connect(&a, &b);
            }
        }
        self.run(steps);
    }
}
