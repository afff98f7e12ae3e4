//! Printing: lines, tables and JSON.

use std::io::Write;

use serde_json::Value;
use tabled::{builder::Builder, settings::Style};

use crate::error::Error;

/// A column of a table: its title, and where its values stand in a row (a JSON pointer).
pub(crate) struct Column {
    title: &'static str,
    pointer: &'static str,
}

impl Column {
    /// A column.
    pub(crate) const fn new(title: &'static str, pointer: &'static str) -> Column {
        Column { title, pointer }
    }
}

/// Prints a line.
pub(crate) fn line(text: &str, out: &mut dyn Write) -> Result<(), Error> {
    writeln!(out, "{text}").map_err(Error::Output)
}

/// Prints JSON.
pub(crate) fn json(value: &Value, out: &mut dyn Write) -> Result<(), Error> {
    line(&format!("{value:#}"), out)
}

/// Prints a list of objects as a table.
pub(crate) fn table(rows: &Value, columns: &[Column], out: &mut dyn Write) -> Result<(), Error> {
    let rows = rows.as_array().map(Vec::as_slice).unwrap_or_default();
    if rows.is_empty() {
        return line("(none)", out);
    }
    let mut builder = Builder::default();
    builder.push_record(columns.iter().map(|column| column.title.to_owned()));
    for row in rows {
        let cell_of = |column: &Column| row.pointer(column.pointer).map(cell).unwrap_or_default();
        builder.push_record(columns.iter().map(cell_of));
    }
    let mut table = builder.build();
    line(&table.with(Style::blank()).to_string(), out)
}

/// Prints a list of objects as JSON or as a table.
pub(crate) fn list(
    rows: &Value,
    columns: &[Column],
    as_json: bool,
    out: &mut dyn Write,
) -> Result<(), Error> {
    if as_json { json(rows, out) } else { table(rows, columns, out) }
}

/// One value as text.
pub(crate) fn cell(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Bool(true) => "yes".to_owned(),
        Value::Bool(false) => "no".to_owned(),
        Value::Null => "-".to_owned(),
        Value::Array(items) => items.iter().map(cell).collect::<Vec<_>>().join(", "),
        Value::Object(map) => {
            let pairs: Vec<String> = map.iter().map(|(k, v)| format!("{k} {}", cell(v))).collect();
            pairs.join(", ")
        }
        other => other.to_string(),
    }
}
