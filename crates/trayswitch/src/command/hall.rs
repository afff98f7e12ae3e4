//! Taking data halls out of service, giving them back, and showing them.

use std::io::Write;

use trayswitch_core::state::check_hall_name;

use crate::{
    client::Client,
    error::Error,
    output::{self, Column},
};

/// Takes a data hall out of service or gives it back.
pub(super) fn order(
    client: &Client,
    hall: &str,
    gone: bool,
    json: bool,
    out: &mut dyn Write,
) -> Result<(), Error> {
    check_hall_name(hall).map_err(Error::BadHall)?;
    let verb = if gone { "out" } else { "back" };
    let answer = client.post(&format!("/v1/halls/{hall}/{verb}"))?;
    if json {
        return output::json(&answer, out);
    }
    let state = if gone { "out of service" } else { "in service" };
    let before = if answer["result"] == "repeated" { ", as it was before" } else { "" };
    output::line(&format!("{hall} is {state}{before}"), out)?;
    if answer["endpoints"] == 0 {
        output::line(&format!("note: no endpoint in {hall} is known now"), out)?;
    }
    Ok(())
}

/// Shows the data halls.
pub(super) fn list(client: &Client, json: bool, out: &mut dyn Write) -> Result<(), Error> {
    const COLUMNS: [Column; 3] = [
        Column::new("hall", "/name"),
        Column::new("out of service", "/out"),
        Column::new("endpoints", "/endpoints"),
    ];
    output::list(&client.get("/v1/halls")?, &COLUMNS, json, out)
}
