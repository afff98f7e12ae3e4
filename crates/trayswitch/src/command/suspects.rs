//! Requests under which endpoints have ended: showing them, and clearing one.

use std::io::Write;

use trayswitch_core::quarantine::ContentDigest;

use crate::{
    client::Client,
    error::Error,
    output::{self, Column},
};

/// Shows the requests.
pub(super) fn list(client: &Client, json: bool, out: &mut dyn Write) -> Result<(), Error> {
    const COLUMNS: [Column; 5] = [
        Column::new("request", "/request"),
        Column::new("in quarantine", "/quarantined"),
        Column::new("endpoints ended", "/ended"),
        Column::new("in trials", "/in_trials"),
        Column::new("last", "/endpoints"),
    ];
    output::list(&client.get("/v1/suspects")?, &COLUMNS, json, out)
}

/// Lets a request be sent to endpoints again.
pub(super) fn clear(
    client: &Client,
    request: ContentDigest,
    json: bool,
    out: &mut dyn Write,
) -> Result<(), Error> {
    let answer = client.delete(&format!("/v1/suspects/{request}"))?;
    if json {
        return output::json(&answer, out);
    }
    let text = if answer["cleared"] == true {
        format!("{request} may be sent to endpoints again")
    } else {
        format!("no endpoint has ended under {request}; nothing has changed")
    };
    output::line(&text, out)
}
