//! Talks to the operators' side of a daemon.

use std::time::Duration;

use serde_json::Value;
use ureq::{Agent, AgentBuilder, ErrorKind, Request, Response};

use crate::{error::Error, options::Server};

const CONNECT: Duration = Duration::from_secs(3);
const ANSWER: Duration = Duration::from_secs(20);

/// A daemon.
pub(crate) struct Client {
    agent: Agent,
    server: Server,
}

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
        let agent = AgentBuilder::new().timeout_connect(CONNECT).timeout(ANSWER).build();
        Client { agent, server }
    }

    /// Gets JSON.
    pub(crate) fn get(&self, path: &str) -> Result<Value, Error> {
        json(self.finish(self.request("GET", path).call())?)
    }

    /// Posts without a body.
    pub(crate) fn post(&self, path: &str) -> Result<Value, Error> {
        json(self.finish(self.request("POST", path).call())?)
    }

    /// Deletes.
    pub(crate) fn delete(&self, path: &str) -> Result<Value, Error> {
        json(self.finish(self.request("DELETE", path).call())?)
    }

    /// Gets the configuration in force.
    pub(crate) fn config(&self) -> Result<Shown, Error> {
        let response = self.finish(self.request("GET", "/v1/config").call())?;
        let version = response.header("X-Version").unwrap_or_default().to_owned();
        let text = response.into_string().map_err(|e| Error::NoAnswer(e.to_string()))?;
        Ok(Shown { version, text })
    }

    /// Submits a file.
    pub(crate) fn submit(&self, file: &str, text: &str) -> Result<Value, Error> {
        let request = self.request("POST", "/v1/config").set("X-File-Name", file);
        json(self.finish(request.send_string(text))?)
    }

    fn request(&self, method: &str, path: &str) -> Request {
        let url = format!("http://{}{path}", self.server.address);
        let key = format!("Bearer {}", self.server.key);
        self.agent.request(method, &url).set("Authorization", &key)
    }

    fn finish(&self, result: Result<Response, ureq::Error>) -> Result<Response, Error> {
        match result {
            Ok(response) => Ok(response),
            Err(ureq::Error::Status(status, response)) => {
                let message = json(response)
                    .ok()
                    .and_then(|body| body["error"]["message"].as_str().map(str::to_owned))
                    .unwrap_or_else(|| format!("the daemon answered with status {status}"));
                Err(match status {
                    422 => Error::Refused(message),
                    503 => Error::NoAnswer(message),
                    _ => Error::Failed(message),
                })
            }
            Err(ureq::Error::Transport(e)) if e.kind() == ErrorKind::ConnectionFailed => {
                Err(Error::Unreachable(self.server.address, e.to_string()))
            }
            Err(ureq::Error::Transport(e)) => Err(Error::NoAnswer(e.to_string())),
        }
    }
}

fn json(response: Response) -> Result<Value, Error> {
    response.into_json().map_err(|e| Error::NoAnswer(e.to_string()))
}
