//! Showing the load: who waits, who is rejected, and where there is capacity.

use std::io::Write;

use crate::{
    client::Client,
    error::Error,
    output::{self, Column},
};

/// Shows the load as the leader sees it.
pub(super) fn load(client: &Client, json: bool, out: &mut dyn Write) -> Result<(), Error> {
    const REQUESTS: [Column; 11] = [
        Column::new("service", "/service"),
        Column::new("kind", "/kind"),
        Column::new("workspace", "/workspace"),
        Column::new("asked", "/asked"),
        Column::new("started", "/started"),
        Column::new("rejected", "/rejected"),
        Column::new("returned", "/returned"),
        Column::new("in time", "/in_time"),
        Column::new("late", "/late"),
        Column::new("waiting now", "/waiting"),
        Column::new("next return ms", "/next_return_ms"),
    ];
    const SERVICES: [Column; 7] = [
        Column::new("service", "/service"),
        Column::new("hall", "/hall"),
        Column::new("endpoints", "/endpoints"),
        Column::new("full", "/full"),
        Column::new("idle", "/idle"),
        Column::new("unavailable", "/unavailable"),
        Column::new("free tokens", "/free_tokens"),
    ];
    let load = client.get("/v1/load")?;
    if json {
        return output::json(&load, out);
    }
    output::line(&format!("requests of the last {} s", output::cell(&load["window_s"])), out)?;
    output::table(&load["requests"], &REQUESTS, out)?;
    output::line("endpoints now", out)?;
    output::table(&load["services"], &SERVICES, out)
}
