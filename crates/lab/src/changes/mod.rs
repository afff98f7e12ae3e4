//! Measures configuration changes: from submission to accepted, and to in force on every
//! daemon that the leader hears.

mod cost;

use std::{
    net::SocketAddr,
    path::PathBuf,
    thread,
    time::{Duration, Instant},
};

use eyre::{Result, WrapErr, bail};
use serde::Serialize;
use serde_json::Value;
use ureq::{Agent, AgentBuilder};

pub(crate) use self::cost::costs as config_costs;

const LOOK_EVERY: Duration = Duration::from_millis(2);
const LIMIT: Duration = Duration::from_secs(30);

/// What to submit, and where.
pub(crate) struct ChangeOptions {
    /// Operators' addresses; files are submitted at each in turn.
    pub(crate) operators: Vec<SocketAddr>,
    /// File with the operator key.
    pub(crate) key_file: PathBuf,
    /// A valid configuration; its version line is replaced.
    pub(crate) file: PathBuf,
    /// Number of changes.
    pub(crate) count: u64,
    /// Pause between changes.
    pub(crate) pause: Duration,
}

/// Quantiles in milliseconds.
#[derive(Debug, Serialize)]
struct Quantiles {
    p50: f64,
    p99: f64,
    max: f64,
}

/// Times of all changes.
#[derive(Debug, Serialize)]
pub(crate) struct ChangeReport {
    changes: usize,
    daemons: usize,
    accepted_ms: Quantiles,
    in_force_ms: Quantiles,
}

/// Makes the changes.
pub(crate) fn run(options: &ChangeOptions) -> Result<ChangeReport> {
    let client = Client {
        agent: AgentBuilder::new().timeout(LIMIT).build(),
        key: std::fs::read_to_string(&options.key_file)
            .wrap_err("cannot read the operator key")?
            .trim()
            .to_owned(),
    };
    let template = std::fs::read_to_string(&options.file).wrap_err("cannot read the file")?;
    let first = client.status(options.operators[0])?["version"].as_u64().unwrap_or(0) + 1;
    let (mut accepted, mut in_force) = (Vec::new(), Vec::new());
    let mut daemons = 0;
    for version in first..first + options.count {
        let at = options.operators[version as usize % options.operators.len()];
        let began = Instant::now();
        client.submit(at, &with_version(&template, version))?;
        accepted.push(began.elapsed());
        daemons = client.wait(&options.operators, version)?;
        in_force.push(began.elapsed());
        thread::sleep(options.pause);
    }
    Ok(ChangeReport {
        changes: accepted.len(),
        daemons,
        accepted_ms: quantiles(accepted),
        in_force_ms: quantiles(in_force),
    })
}

fn with_version(template: &str, version: u64) -> String {
    let line = |line: &str| {
        if line.starts_with("version") {
            format!("version = {version}\n")
        } else if line.starts_with("name") {
            format!("name = change-{version}\n")
        } else {
            format!("{line}\n")
        }
    };
    template.lines().map(line).collect()
}

fn quantiles(mut times: Vec<Duration>) -> Quantiles {
    times.sort_unstable();
    let at = |q: f64| {
        let i = ((times.len() - 1) as f64 * q).round() as usize;
        times[i].as_secs_f64() * 1e3
    };
    Quantiles { p50: at(0.5), p99: at(0.99), max: at(1.0) }
}

struct Client {
    agent: Agent,
    key: String,
}

impl Client {
    fn submit(&self, at: SocketAddr, text: &str) -> Result<()> {
        let began = Instant::now();
        loop {
            let request = self.agent.post(&format!("http://{at}/v1/config"));
            let result = request.set("Authorization", &self.bearer()).send_string(text);
            match result {
                Ok(_) => return Ok(()),
                // No leader yet: the same file may be sent again.
                Err(ureq::Error::Status(503, _)) if began.elapsed() < LIMIT => {}
                Err(ureq::Error::Status(_, response)) => bail!("{}", response.into_string()?),
                Err(e) => return Err(e.into()),
            }
        }
    }

    fn status(&self, at: SocketAddr) -> Result<Value> {
        let request = self.agent.get(&format!("http://{at}/v1/status"));
        Ok(request.set("Authorization", &self.bearer()).call()?.into_json()?)
    }

    /// Waits until all daemons have the version; returns their number.
    fn wait(&self, operators: &[SocketAddr], version: u64) -> Result<usize> {
        let began = Instant::now();
        while began.elapsed() < LIMIT {
            for at in operators {
                let Ok(status) = self.status(*at) else { continue };
                if status["control"]["leads"] != true {
                    continue;
                }
                let daemons = status["control"]["daemons"].as_array().cloned().unwrap_or_default();
                let live = |d: &&Value| d["silent_ms"].as_u64().is_some_and(|ms| ms < 3_000);
                let live: Vec<&Value> = daemons.iter().filter(live).collect();
                let has = |d: &&Value| d["version"].as_u64().is_some_and(|v| version <= v);
                if !live.is_empty() && live.iter().all(has) {
                    return Ok(live.len());
                }
            }
            thread::sleep(LOOK_EVERY);
        }
        bail!("version {version} did not come into force everywhere in {LIMIT:?}")
    }

    fn bearer(&self) -> String {
        format!("Bearer {}", self.key)
    }
}
