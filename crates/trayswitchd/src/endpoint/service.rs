//! The adapter to plain services.

use std::{net::SocketAddr, time::Duration};

use ureq::{Agent, AgentBuilder, ErrorKind, Response, Transport};

use super::{EndpointError, Reply, Service, ServiceCall, WholeAnswer, whole::read_whole};

const CONNECT: Duration = Duration::from_secs(2);

/// Calls plain services over HTTP.
///
/// Every call has a connection of its own: on a kept one, a failure could not
/// be told from a request that was sent.
pub(crate) struct HttpService {
    agent: Agent,
}

impl HttpService {
    /// An adapter without state.
    pub(crate) fn new() -> HttpService {
        let agent = AgentBuilder::new()
            .timeout_connect(CONNECT)
            .max_idle_connections(0)
            .redirects(0)
            .build();
        HttpService { agent }
    }
}

impl Service for HttpService {
    fn call(&self, address: SocketAddr, call: &ServiceCall<'_>) -> Reply<WholeAnswer> {
        let result = self
            .agent
            .post(&format!("http://{address}/calls/{}", call.call))
            .timeout(call.timeout)
            .set("Content-Type", call.content_type)
            .set("X-Request-Id", call.request_id)
            .send_bytes(call.body);
        Reply::new(result, read)
    }
}

fn read(result: Result<Response, ureq::Error>) -> Result<WholeAnswer, EndpointError> {
    match result {
        Ok(response) => read_whole(response),
        Err(ureq::Error::Status(503, response)) if response.header("X-Not-Run").is_some() => {
            Err(refusal(&response))
        }
        Err(ureq::Error::Status(_, response)) => read_whole(response),
        Err(ureq::Error::Transport(e)) => Err(transport(&e)),
    }
}

/// The endpoint's own statement that it has not run the request.
pub(super) fn refusal(response: &Response) -> EndpointError {
    let leaving = response.header("X-Endpoint-State") == Some("leaving");
    EndpointError::RefusedNotRun { leaving }
}

/// Only a failure to connect proves that nothing was sent.
pub(super) fn transport(e: &Transport) -> EndpointError {
    match e.kind() {
        ErrorKind::ConnectionFailed | ErrorKind::Dns | ErrorKind::InvalidUrl => {
            EndpointError::NotSent(e.to_string())
        }
        _ => EndpointError::Lost(e.to_string()),
    }
}
