//! The cases, and what they share.

mod first_start;
mod fractions;
mod last_tenant;
mod one_way;
mod slow_reader;
mod take_up;

use std::{io, path::Path, sync::Arc, thread, time::Duration};

use crate::{
    fleet::Fleet,
    record::Record,
    runner::{Answer, Runner},
};

/// Plays a case; returns whether the rule was broken.
pub fn play(case: &str, root: &Path, trouble: bool, record: &Record) -> io::Result<bool> {
    match case {
        "one-way" => one_way::play(root, trouble, record),
        "last-tenant" => last_tenant::play(root, trouble, record),
        "first-start" => first_start::play(root, trouble, record),
        "slow-reader" => slow_reader::play(root, trouble, record),
        "take-up" => take_up::play(root, trouble, record),
        "fractions" => fractions::play(root, trouble, record),
        _ => Err(io::Error::other("there is no such case")),
    }
}

/// The host of all routes.
const HOST: &str = "desk.example";

/// One configuration, in the form of PROTOCOL.md.
struct Config {
    version: u64,
    routes: Vec<String>,
    services: Vec<String>,
    tenants: Vec<String>,
}

impl Config {
    fn new(version: u64) -> Config {
        Config { version, routes: Vec::new(), services: Vec::new(), tenants: Vec::new() }
    }

    /// Adds a route; `more` holds further fields.
    fn route(
        mut self,
        prefix: &str,
        kind: &str,
        service: &str,
        timeout: &str,
        more: &str,
    ) -> Config {
        let name = format!("r-{}", self.routes.len() + 1);
        self.routes.push(format!(
            "{{\"name\":\"{name}\",\"hostname\":\"{HOST}\",\"path-prefix\":\"{prefix}\",\"kind\":\"{kind}\",\"timeout-ms\":{timeout},\"target-latency-ms\":1000,\"priority\":0,\"service\":\"{service}\",\"max-attempts\":1,\"public\":false{more}}}"
        ));
        self
    }

    /// Adds a service of plain runners.
    fn service(mut self, name: &str) -> Config {
        self.services.push(format!(
            "{{\"name\":\"{name}\",\"health-path\":\"/health\",\"max-connections\":96,\"protocol\":\"h1\",\"tls\":false}}"
        ));
        self
    }

    /// Adds a service of model runners.
    fn engines(mut self, name: &str) -> Config {
        self.services.push(format!(
            "{{\"name\":\"{name}\",\"health-path\":\"/health\",\"max-connections\":372,\"protocol\":\"h1\",\"tls\":false,\"engine\":{{\"slots\":48,\"kv-capacity-tokens\":34414,\"kv-token-bytes\":131072,\"link-mbps\":19000.0,\"moves\":false,\"backups\":false,\"stride\":4,\"most\":12,\"pin_ms\":4000.0,\"hold-ms\":2000.0,\"handle-s\":5.0,\"models\":[{{\"name\":\"m\"}}]}}}}"
        ));
        self
    }

    fn tenant(mut self, name: &str, key: &str) -> Config {
        self.tenants
            .push(format!("{{\"name\":\"{name}\",\"api-keys\":[\"{key}\"],\"priority\":1}}"));
        self
    }

    fn text(&self) -> String {
        format!(
            "{{\"config-version\":{},\"routes\":[{}],\"services\":[{}],\"limits\":{{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}},\"tenants\":[{}]}}",
            self.version,
            self.routes.join(","),
            self.services.join(","),
            self.tenants.join(",")
        )
    }
}

fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// Starts a deployment and gives it a configuration.
fn serving(root: &Path, fronts: usize, config: &Config, record: &Record) -> io::Result<Fleet> {
    let mut fleet = Fleet::new(root, 5, fronts, record.clone())?;
    begin(&mut fleet, fronts, config)?;
    Ok(fleet)
}

/// The same for machines that have been set up already.
fn begin(fleet: &mut Fleet, fronts: usize, config: &Config) -> io::Result<()> {
    fleet.start_all()?;
    sleep_ms(500);
    fleet
        .put_config(&config.text(), 1, Duration::from_secs(20))
        .ok_or_else(|| io::Error::other("the first configuration was not acknowledged"))?;
    for n in 1..=fronts {
        if !fleet.wait_ready(n, Duration::from_secs(20)) {
            return Err(io::Error::other("an entry is not ready"));
        }
    }
    Ok(())
}

/// Starts runners of a service and waits until they are known.
fn runners(
    fleet: &Fleet,
    service: &str,
    first: u8,
    count: u8,
    record: &Record,
    answer: Arc<Answer>,
) -> io::Result<Vec<Arc<Runner>>> {
    let controls: Vec<_> = (1..=5).map(|n| fleet.control(n)).collect();
    let mut started = Vec::new();
    for i in first..first + count {
        let id = format!("i-{service}-{}", i + 1);
        let address = fleet.address(60 + i, fleet.ports.front);
        let runner = Runner::start(&id, service, address, "hall-atl", record, answer.clone())?;
        runner.keep_beating(controls.clone());
        started.push(runner);
    }
    sleep_ms(2_000);
    Ok(started)
}
