//! Showing the state of daemons, endpoints, workspaces and control replicas.

use std::io::Write;

use crate::{
    client::Client,
    error::Error,
    output::{self, Column},
};

/// Shows one daemon.
pub(super) fn status(client: &Client, json: bool, out: &mut dyn Write) -> Result<(), Error> {
    let status = client.get("/v1/status")?;
    if json {
        return output::json(&status, out);
    }
    let word = |key: &str| output::cell(&status[key]);
    output::line(&format!("{} in {}", word("vm"), word("hall")), out)?;
    output::line(&format!("ready {}, current {}", word("ready"), word("fresh")), out)?;
    output::line(
        &format!("version {}, {} requests in progress", word("version"), word("requests")),
        out,
    )?;
    const COLUMNS: [Column; 9] = [
        Column::new("workspace", "/workspace"),
        Column::new("kind", "/kind"),
        Column::new("outcomes", "/outcomes"),
        Column::new("first p50 ms", "/first_token_ms/p50"),
        Column::new("p99", "/first_token_ms/p99"),
        Column::new("gap p50 ms", "/gap_ms/p50"),
        Column::new("p99", "/gap_ms/p99"),
        Column::new("max", "/gap_ms/max"),
        Column::new("total p99 ms", "/total_ms/p99"),
    ];
    output::table(&status["classes"], &COLUMNS, out)
}

/// Shows the endpoints.
pub(super) fn endpoints(client: &Client, json: bool, out: &mut dyn Write) -> Result<(), Error> {
    const COLUMNS: [Column; 10] = [
        Column::new("endpoint", "/name"),
        Column::new("hall", "/hall"),
        Column::new("serves", "/target"),
        Column::new("health", "/health"),
        Column::new("running", "/running"),
        Column::new("slots", "/slots"),
        Column::new("memory used", "/kv_used"),
        Column::new("of", "/kv_tokens"),
        Column::new("takes a second", "/limit"),
        Column::new("backs off ms", "/backoff_ms"),
    ];
    output::list(&client.get("/v1/endpoints")?, &COLUMNS, json, out)
}

/// Shows the workspaces.
pub(super) fn workspaces(client: &Client, json: bool, out: &mut dyn Write) -> Result<(), Error> {
    const COLUMNS: [Column; 5] = [
        Column::new("workspace", "/name"),
        Column::new("tier", "/tier"),
        Column::new("share", "/share"),
        Column::new("max running", "/max_running"),
        Column::new("max waiting", "/max_waiting"),
    ];
    output::list(&client.get("/v1/workspaces")?, &COLUMNS, json, out)
}

/// Shows the control replicas.
pub(super) fn control(client: &Client, json: bool, out: &mut dyn Write) -> Result<(), Error> {
    let status = client.get("/v1/status")?;
    let control = &status["control"];
    if json {
        return output::json(control, out);
    }
    if control["replica"] != true {
        return output::line("this daemon is no control replica; ask one that is", out);
    }
    let leader = output::cell(&control["leader"]);
    output::line(
        &format!("leader {leader}, term {}, version {}", control["term"], control["version"]),
        out,
    )?;
    let halls = output::cell(&control["halls_out"]);
    if !halls.is_empty() {
        output::line(&format!("out of service: {halls}"), out)?;
    }
    const REPLICAS: [Column; 5] = [
        Column::new("replica on", "/vm"),
        Column::new("id", "/id"),
        Column::new("votes", "/voter"),
        Column::new("leads", "/leader"),
        Column::new("sound", "/sound"),
    ];
    output::table(&control["replicas"], &REPLICAS, out)?;
    if control["leads"] != true {
        return output::line(
            &format!("ask {leader} for the soundness of replicas and for daemons"),
            out,
        );
    }
    let survives = if control["survives_next_loss"] == true {
        "repaired: the loss of any one more control VM can be borne"
    } else {
        "NOT repaired: the loss of one more control VM may stop acceptance"
    };
    output::line(survives, out)?;
    const DAEMONS: [Column; 3] = [
        Column::new("daemon", "/vm"),
        Column::new("version", "/version"),
        Column::new("silent ms", "/silent_ms"),
    ];
    output::table(&control["daemons"], &DAEMONS, out)
}
