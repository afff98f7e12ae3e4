//! Talks to the operators' side of a daemon.

use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, StatusCode, header, response};
use http_body_util::Full;
use serde_json::Value;
use trayswitch_server::upstream::{SendError, fetch_blocking};

use crate::{error::Error, options::Server};

const CONNECT: Duration = Duration::from_secs(3);
const ANSWER: Duration = Duration::from_secs(20);
/// Largest answer, in bytes; a configuration of the largest deployment has a few MB.
const MAX_ANSWER: usize = 64 * 1024 * 1024;

/// A daemon.
pub(crate) struct Client {
    server: Server,
}

/// The answer to a request that the daemon did not refuse.
type Answer = (response::Parts, Bytes);

/// A configuration as shown by a daemon.
pub(crate) struct Shown {
    /// Its version.
    pub(crate) version: String,
    /// Its INI text.
    pub(crate) text: String,
}

impl Client {
    /// A client of this daemon.
    pub(crate) fn new(server: Server) -> Client {
        Client { server }
    }

    /// Gets JSON.
    pub(crate) fn get(&self, path: &str) -> Result<Value, Error> {
        json(&self.send(Method::GET, path, None, "")?)
    }

    /// Posts without a body.
    pub(crate) fn post(&self, path: &str) -> Result<Value, Error> {
        json(&self.send(Method::POST, path, None, "")?)
    }

    /// Deletes.
    pub(crate) fn delete(&self, path: &str) -> Result<Value, Error> {
        json(&self.send(Method::DELETE, path, None, "")?)
    }

    /// Gets the configuration in force.
    pub(crate) fn config(&self) -> Result<Shown, Error> {
        let (head, body) = self.send(Method::GET, "/v1/config", None, "")?;
        let version = head.headers.get("X-Version").and_then(|version| version.to_str().ok());
        let version = version.unwrap_or_default().to_owned();
        let text = String::from_utf8(body.into()).map_err(|e| Error::NoAnswer(e.to_string()))?;
        Ok(Shown { version, text })
    }

    /// Submits a file.
    pub(crate) fn submit(&self, file: &str, text: &str) -> Result<Value, Error> {
        json(&self.send(Method::POST, "/v1/config", Some(file), text)?)
    }

    fn send(
        &self,
        method: Method,
        path: &str,
        file: Option<&str>,
        body: &str,
    ) -> Result<Answer, Error> {
        let address = self.server.address;
        let mut builder = Request::builder()
            .method(method)
            .uri(path)
            .header(header::HOST, address.to_string())
            .header(header::AUTHORIZATION, format!("Bearer {}", self.server.key));
        if let Some(file) = file {
            builder = builder.header("X-File-Name", file);
        }
        let req = builder.body(Full::new(Bytes::copy_from_slice(body.as_bytes())));
        let req = req.map_err(|e| Error::Failed(e.to_string()))?;
        match fetch_blocking(address, req, CONNECT, ANSWER, MAX_ANSWER) {
            Ok(answer) if answer.0.status.is_success() => Ok(answer),
            Ok(answer) => Err(refused(&answer)),
            Err(SendError::Lost(e)) => Err(Error::NoAnswer(e)),
            Err(e) => Err(Error::Unreachable(address, e.to_string())),
        }
    }
}

fn refused(answer: &Answer) -> Error {
    let status = answer.0.status;
    let message = json(answer)
        .ok()
        .and_then(|body| body["error"]["message"].as_str().map(str::to_owned))
        .unwrap_or_else(|| format!("the daemon answered with status {}", status.as_u16()));
    match status {
        StatusCode::UNPROCESSABLE_ENTITY => Error::Refused(message),
        StatusCode::SERVICE_UNAVAILABLE => Error::NoAnswer(message),
        _ => Error::Failed(message),
    }
}

fn json((_, body): &Answer) -> Result<Value, Error> {
    serde_json::from_slice(body).map_err(|e| Error::NoAnswer(e.to_string()))
}
