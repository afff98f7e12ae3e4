//! Tells a request's story from the log lines of several VMs.

use std::{
    collections::BTreeSet,
    fs::File,
    io::{BufRead, BufReader, Write},
    path::PathBuf,
};

use serde_json::{Map, Value, json};
use trayswitch_core::events::EventId;

use crate::error::Error;

/// News of an endpoint is told from this long before the request's first line, in ms.
const BEFORE: u64 = 5_000;

/// Fields that are shown elsewhere in a line of the story, or say nothing about the request.
const SHOWN: [&str; 7] = ["t", "level", "event", "vm", "hall", "msg", "id"];

/// One log line.
#[derive(Debug, Clone, PartialEq)]
struct Line {
    at: u64,
    event: u64,
    fields: Map<String, Value>,
}

impl Line {
    /// Reads a line; what is not a log line is nothing. A word before the object, such as a time
    /// that a collector added, is passed over.
    fn parse(text: &str) -> Option<Line> {
        let object = &text[text.find('{')?..];
        let fields: Map<String, Value> = serde_json::from_str(object).ok()?;
        let at = fields.get("t")?.as_u64()?;
        let event = fields.get("event").and_then(Value::as_u64).unwrap_or_default();
        Some(Line { at, event, fields })
    }

    fn text(&self, key: &str) -> &str {
        self.fields.get(key).and_then(Value::as_str).unwrap_or_default()
    }

    /// The endpoints that it names.
    fn endpoints(&self) -> impl Iterator<Item = &str> {
        ["endpoint", "from", "to"].into_iter().map(|key| self.text(key)).filter(|e| !e.is_empty())
    }
}

/// Prints what the files tell of a request, in order of time, and the cause of its end.
pub(crate) fn explain(
    id: &str,
    files: &[PathBuf],
    as_json: bool,
    out: &mut dyn Write,
) -> Result<(), Error> {
    let lines = read(files)?;
    let story = story(id, &lines);
    if story.is_empty() {
        return Err(Error::UnknownRequest(id.to_owned()));
    }
    if as_json {
        let lines: Vec<&Map<String, Value>> = story.iter().map(|line| &line.fields).collect();
        let cause = cause(id, &story);
        let story = json!({ "id": id, "cause": cause, "lines": lines });
        return writeln!(out, "{story:#}").map_err(Error::Output);
    }
    let first = story[0].at;
    for line in &story {
        writeln!(out, "{}", tell(line, first)).map_err(Error::Output)?;
    }
    writeln!(out, "cause: {}", cause(id, &story)).map_err(Error::Output)
}

fn read(files: &[PathBuf]) -> Result<Vec<Line>, Error> {
    let mut lines = Vec::new();
    for path in files {
        let file = File::open(path).map_err(|e| Error::Read(path.clone(), e))?;
        for text in BufReader::new(file).lines() {
            let text = text.map_err(|e| Error::Read(path.clone(), e))?;
            lines.extend(Line::parse(&text));
        }
    }
    lines.sort_by_key(|line| line.at);
    Ok(lines)
}

/// The request's own lines, news of the endpoints that it met while it ran, what its daemon knew of data
/// halls that are out of service, and what the leader decided on the same request, also before.
fn story<'a>(id: &str, lines: &'a [Line]) -> Vec<&'a Line> {
    let own = || lines.iter().filter(|line| line.text("id") == id);
    let (Some(first), Some(last)) = (own().next(), own().next_back()) else { return Vec::new() };
    let met: BTreeSet<&str> = own().flat_map(Line::endpoints).collect();
    let news = [
        EventId::EndpointNews,
        EventId::EndpointLeaving,
        EventId::LimitChanged,
        EventId::BackoffChanged,
    ];
    let news = news.map(|e| u64::from(e.number()));
    let vm = first.text("vm");
    let halls = u64::from(EventId::HallsOut.number());
    let of_halls = |line: &&Line| line.event == halls && line.text("vm") == vm;
    let before = lines.iter().rfind(|line| of_halls(line) && line.at <= first.at);
    let digest = own().map(|line| line.text("request")).find(|digest| !digest.is_empty());
    let by_leader = [EventId::SuspectChanged, EventId::RequestRejected];
    let by_leader = by_leader.map(|e| u64::from(e.number()));
    let of_same = |line: &&Line| {
        by_leader.contains(&line.event)
            && Some(line.text("request")) == digest
            && line.at <= last.at
    };
    let tells = |line: &&Line| {
        let in_time = first.at.saturating_sub(BEFORE) <= line.at && line.at <= last.at;
        let of_met = news.contains(&line.event) && met.contains(line.text("endpoint"));
        let is_news = of_met && (line.text("vm") == vm || line.event == news[1]);
        let knew = before.is_some_and(|before| std::ptr::eq(before, *line));
        let is_due = in_time && (is_news || of_halls(line));
        line.text("id") == id || is_due || knew || of_same(line)
    };
    lines.iter().filter(tells).collect()
}

fn tell(line: &Line, first: u64) -> String {
    let offset = line.at as i64 - first as i64;
    let mut text = format!("{offset:+7} ms  {:<20} {}", line.text("vm"), line.text("msg"));
    for (key, value) in line.fields.iter().filter(|(key, _)| !SHOWN.contains(&key.as_str())) {
        let value = value.as_str().map_or_else(|| value.to_string(), str::to_owned);
        if !value.is_empty() {
            text += &format!("  {key}={value}");
        }
    }
    text
}

/// The cause of the request's end, by its last line that has one.
fn cause(id: &str, story: &[&Line]) -> String {
    let ends = |line: &&&Line| line.text("id") == id && !line.text("cause").is_empty();
    let Some(end) = story.iter().rfind(ends) else {
        return "not told; the daemon may have ended, or the line was left out".into();
    };
    let detail = end.text("detail");
    let separator = if detail.is_empty() { "" } else { ": " };
    format!("{}{separator}{detail}", end.text("cause"))
}

#[cfg(test)]
mod tests;
