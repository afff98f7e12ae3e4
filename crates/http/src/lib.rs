//! HTTP utilities shared by the trayswitch programs: a listener that survives accept
//! errors, size-limited request bodies, JSON responses, and reading and writing of
//! server-sent events.

mod body;
mod event_reader;
mod event_writer;
mod listener;
#[cfg(test)]
mod tests;

pub use self::{
    body::{BodyError, header, read_body, respond, respond_json},
    event_reader::{Event, EventError, EventReader},
    event_writer::{EventWriter, OutgoingEvent},
    listener::{HttpServer, SocketTimeouts},
};
