//! Responses with neither a length nor chunks. The end of their connection looks the same whether they
//! are complete or their endpoint has crashed.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use http::{StatusCode, response};
use trayswitch_core::{node::ProbeOutcome, registry::RegisteredEndpoint};

use super::{Relay, event_stream::StreamItem, local_placement::reported_start};
use crate::upstream::{OpenAnswer, is_framed};

/// A process that is terminating may close its listening socket after its connections. How long the end
/// of a response waits for that: of a stream, whose events have all been passed on, and of a call.
pub(super) const STREAM_CLOSE_DELAY: Duration = Duration::from_millis(300);
pub(super) const CALL_CLOSE_DELAY: Duration = Duration::from_millis(20);

/// The error of a response that ended with its endpoint.
pub(super) const CRASHED: &str = "the endpoint crashed, and its response may be incomplete";

/// Whether only the end of the connection ends a response.
pub(super) fn is_unframed(head: &response::Parts) -> bool {
    let has_body = !matches!(head.status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
    has_body && !is_framed(&head.headers)
}

impl Relay {
    /// Reads a body of at most `limit` bytes; an error if it is incomplete.
    pub(super) async fn read_whole_body(
        self: &Rc<Self>,
        endpoint: &RegisteredEndpoint,
        open: OpenAnswer,
        limit: usize,
    ) -> Result<Bytes, String> {
        let body = open.body.collect_within(limit, self.buffers.reservation()).await?;
        if is_unframed(&open.head)
            && !self.is_unframed_response_complete(endpoint, CALL_CLOSE_DELAY).await
        {
            return Err(CRASHED.to_owned());
        }
        Ok(body)
    }

    /// Tells whether a stream whose connection has ended is complete; other items stay as they are.
    pub(super) async fn resolve_connection_end(
        self: &Rc<Self>,
        item: StreamItem,
        run: &RegisteredEndpoint,
    ) -> StreamItem {
        let StreamItem::ConnectionEnd = item else { return item };
        let is_complete = self.is_unframed_response_complete(run, STREAM_CLOSE_DELAY).await;
        if is_complete { StreamItem::End } else { StreamItem::Error(CRASHED.into()) }
    }

    /// Whether an unframed response is complete after its connection has ended: the run that sent it still
    /// listens. One that has said that it leaves may crash as well, or be taken away.
    pub(super) async fn is_unframed_response_complete(
        self: &Rc<Self>,
        endpoint: &RegisteredEndpoint,
        close_delay: Duration,
    ) -> bool {
        let outcome = match self.probe(endpoint).await {
            (_, Some(connection)) => self.watch(endpoint, connection, close_delay).await,
            (outcome, None) => outcome,
        };
        outcome == ProbeOutcome::Connected && self.is_same_run(endpoint).await
    }

    /// Whether the process at an endpoint's address is the run that is known by it. Where endpoints do
    /// not tell their start, each start has a name of its own.
    async fn is_same_run(self: &Rc<Self>, endpoint: &RegisteredEndpoint) -> bool {
        let known = self.node.view().endpoint(&endpoint.id).map(|known| known.started_at);
        if known.is_some_and(|start| start != endpoint.started_at) {
            return false;
        }
        if endpoint.started_at == 0 {
            return known.is_some();
        }
        match reported_start(self, endpoint).await {
            Ok(start) => start.is_none_or(|start| start == endpoint.started_at),
            Err(error) => {
                log::debug!(endpoint = &*endpoint.id; "the run is not confirmed: {error}");
                false
            }
        }
    }
}
