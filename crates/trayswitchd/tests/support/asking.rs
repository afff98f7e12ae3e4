//! What tests ask daemons and emulated endpoints over HTTP.

use std::process::Command;

use serde_json::Value;

use super::{KEY, Site, program_path};

impl Site {
    /// Switches a fault on in `engine-N` or `service-N`.
    pub fn fault(&self, name: &str, fault: &str) {
        let endpoint = format!("{}:{}", self.host(100), self.port(name));
        let status = Command::new(program_path("trayswitch-lab"))
            .args(["fault", "--endpoint", &endpoint, fault])
            .status()
            .unwrap();
        assert!(status.success());
    }

    /// Number of requests that `engine-N` or `service-N` has run.
    pub fn runs(&self, name: &str) -> usize {
        let url = format!("http://{}:{}/emulator/journal", self.host(100), self.port(name));
        let runs: Vec<Value> = ureq::get(&url).call().unwrap().into_json().unwrap();
        runs.len()
    }

    /// Number of requests that `engine-N` or `service-N` has turned away since it leaves or asks for back-off.
    pub fn turned_away(&self, name: &str) -> usize {
        let url = format!("http://{}:{}/emulator/turned-away", self.host(100), self.port(name));
        let turned_away: Value = ureq::get(&url).call().unwrap().into_json().unwrap();
        turned_away["count"].as_u64().unwrap() as usize
    }

    /// Posts a caller's request to a daemon; returns the status and the whole answer.
    pub fn post(&self, daemon: usize, path: &str, body: &Value) -> (u16, String) {
        let url = format!("{}{path}", self.callers(daemon));
        let req = ureq::post(&url).set("Authorization", &format!("Bearer {KEY}"));
        match req.send_string(&body.to_string()) {
            Ok(response) | Err(ureq::Error::Status(_, response)) => {
                (response.status(), response.into_string().unwrap())
            }
            Err(e) => panic!("{e}"),
        }
    }
}
