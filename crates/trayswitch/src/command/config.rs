//! Checking, submitting and comparing configurations.

use std::{
    fs,
    io::{BufRead, Write},
    path::Path,
    thread,
    time::{Duration, Instant},
};

use serde_json::{Value, json};
use similar::TextDiff;
use trayswitch_core::config::{Config, Document, key_digest};

use crate::{client::Client, error::Error, output};

const WAIT: Duration = Duration::from_secs(15);
const LOOK_EVERY: Duration = Duration::from_millis(20);

/// Checks a file without any daemon.
pub(super) fn check(file: &Path, json: bool, out: &mut dyn Write) -> Result<(), Error> {
    let config = Config::parse(&name(file), &read(file)?).map_err(Error::Faults)?;
    let summary = json!({
        "file": name(file),
        "version": config.deployment.version,
        "workspaces": config.workspaces.len(),
        "models": config.models.len(),
        "services": config.services.len(),
        "endpoints": config.endpoints.len(),
    });
    if json {
        return output::json(&summary, out);
    }
    let counts = ["workspaces", "models", "services", "endpoints"];
    let counts: Vec<String> = counts.iter().map(|key| format!("{} {key}", summary[key])).collect();
    let version = config.deployment.version;
    output::line(&format!("{} is sound: version {version}, {}", name(file), counts.join(", ")), out)
}

/// Submits a file.
pub(super) fn submit(
    client: &Client,
    file: &Path,
    wait: bool,
    json: bool,
    out: &mut dyn Write,
) -> Result<(), Error> {
    let answer = client.submit(&name(file), &read(file)?)?;
    let version = answer["version"].as_u64().unwrap_or_default();
    if wait {
        wait_everywhere(client, answer["current"].as_u64().unwrap_or(version))?;
    }
    if json {
        return output::json(&answer, out);
    }
    let repeated = if answer["repeated"] == true { " (as before)" } else { "" };
    output::line(
        &format!("version {version} is accepted{repeated}, hash {}", text(&answer["hash"])),
        out,
    )?;
    let current = answer["current"].as_u64().unwrap_or(version);
    if version < current {
        output::line(&format!("note: version {current} was accepted later and is in force"), out)?;
    }
    if wait {
        output::line("it is in force on every daemon that the leader hears", out)?;
    }
    Ok(())
}

/// Prints the configuration in force.
pub(super) fn show(client: &Client, out: &mut dyn Write) -> Result<(), Error> {
    out.write_all(client.config()?.text.as_bytes()).map_err(Error::Output)
}

/// Prints what a file would change.
pub(super) fn diff(client: &Client, file: &Path, out: &mut dyn Write) -> Result<(), Error> {
    let shown = client.config()?;
    let document = Document::parse(&name(file), &read(file)?).map_err(Error::Faults)?;
    let new = document.to_ini();
    let diff = TextDiff::from_lines(&shown.text, &new);
    let old_name = format!("in force (version {})", shown.version);
    let text = diff.unified_diff().header(&old_name, &name(file)).to_string();
    out.write_all(text.as_bytes()).map_err(Error::Output)
}

/// Prints the digest of a key.
pub(super) fn key(input: &mut dyn BufRead, out: &mut dyn Write) -> Result<(), Error> {
    let mut key = String::new();
    input.read_line(&mut key).map_err(Error::Output)?;
    output::line(&key_digest(key.trim()), out)
}

/// Asks the leader until no daemon that it hears lacks the version.
fn wait_everywhere(client: &Client, version: u64) -> Result<(), Error> {
    let began = Instant::now();
    loop {
        let missing = missing(client, version)?;
        if missing.as_ref().is_some_and(Vec::is_empty) {
            return Ok(());
        }
        if WAIT < began.elapsed() {
            let missing = missing.unwrap_or_else(|| vec!["(the leader is not known)".into()]);
            return Err(Error::NotEverywhere { version, missing });
        }
        thread::sleep(LOOK_EVERY);
    }
}

/// Daemons without the version; `None` when this daemon does not know the leader.
fn missing(client: &Client, version: u64) -> Result<Option<Vec<String>>, Error> {
    let status = client.get("/v1/status")?;
    let Some(daemons) = status["control"]["daemons"].as_array() else { return Ok(None) };
    if daemons.is_empty() {
        // Only the leader hears the daemons; this one can speak for itself alone.
        let own = status["version"].as_u64().unwrap_or_default();
        let missing = if own < version { vec![text(&status["vm"])] } else { Vec::new() };
        return Ok(Some(missing));
    }
    let lacks = |daemon: &&Value| daemon["version"].as_u64().unwrap_or_default() < version;
    Ok(Some(daemons.iter().filter(lacks).map(|daemon| text(&daemon["vm"])).collect()))
}

fn read(file: &Path) -> Result<String, Error> {
    fs::read_to_string(file).map_err(|e| Error::Read(file.to_owned(), e))
}

fn name(file: &Path) -> String {
    file.display().to_string()
}

fn text(value: &Value) -> String {
    value.as_str().unwrap_or_default().to_owned()
}
