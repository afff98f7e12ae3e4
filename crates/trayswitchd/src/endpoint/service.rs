//! The adapter to plain services.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Request, StatusCode, header};
use http_body_util::Full;
use tokio::{task::LocalSet, time::timeout};
use trayswitch_server::upstream::{OpenAnswer, exchange};

use super::{
    EndpointError, Reply, Service, ServiceCall, WholeAnswer,
    signals::{self, NOT_RUN},
    whole::read_whole,
};

const CONNECT: Duration = Duration::from_secs(2);

/// Calls plain services over HTTP.
///
/// Every call has a connection of its own: on a kept one, a failure could not
/// be told from a request that was sent.
pub(crate) struct HttpService;

impl Service for HttpService {
    fn call(&self, address: SocketAddr, call: &ServiceCall<'_>) -> Reply<WholeAnswer> {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        match runtime {
            Ok(runtime) => LocalSet::new().block_on(&runtime, exchange_whole(address, call)),
            Err(e) => Reply::failed(EndpointError::NotSent(e.to_string())),
        }
    }
}

async fn exchange_whole(address: SocketAddr, call: &ServiceCall<'_>) -> Reply<WholeAnswer> {
    let mut signals = None;
    let whole = async {
        let open = exchange(address, request(address, call)?, CONNECT.min(call.timeout)).await;
        let open = open.map_err(EndpointError::from)?;
        signals = Some(signals::read_head(open.head.status, &open.head.headers));
        if is_refusal(&open) {
            let leaving = signals.is_some_and(|signals| signals.is_leaving());
            return Err(EndpointError::RefusedNotRun { leaving });
        }
        read_whole(open).await
    };
    let result = timeout(call.timeout, whole).await.unwrap_or_else(|_| {
        Err(EndpointError::Lost(format!("no whole answer within {:?}", call.timeout)))
    });
    Reply { result, signals }
}

fn request(
    address: SocketAddr,
    call: &ServiceCall<'_>,
) -> Result<Request<Full<Bytes>>, EndpointError> {
    Request::post(format!("/calls/{}", call.call))
        .header(header::HOST, address.to_string())
        .header(header::CONTENT_TYPE, call.content_type)
        .header("X-Request-Id", call.request_id)
        .body(Full::new(Bytes::copy_from_slice(call.body)))
        .map_err(|e| EndpointError::NotSent(e.to_string()))
}

fn is_refusal(open: &OpenAnswer) -> bool {
    let head = &open.head;
    head.status == StatusCode::SERVICE_UNAVAILABLE && head.headers.contains_key(NOT_RUN)
}
