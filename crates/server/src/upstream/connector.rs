//! Opens connections to endpoints and other daemons.

use std::{io, net::SocketAddr, time::Duration};

use tokio::{net::TcpStream, time::timeout};

use super::socket;
use crate::edge::LocalFuture;

/// Opens TCP connections.
pub trait Connector {
    /// Connects to an address.
    fn connect(&self, address: SocketAddr) -> LocalFuture<'static, io::Result<TcpStream>>;
}

/// Connects over the VM's network.
pub struct TcpConnector;

impl Connector for TcpConnector {
    fn connect(&self, address: SocketAddr) -> LocalFuture<'static, io::Result<TcpStream>> {
        Box::pin(socket::connect_bounded(address))
    }
}

/// Connects within a time limit.
pub async fn connect_within(
    connector: &dyn Connector,
    address: SocketAddr,
    limit: Duration,
) -> io::Result<TcpStream> {
    let timed_out = |_| {
        let message = format!("no connection within {limit:?}");
        io::Error::new(io::ErrorKind::TimedOut, message)
    };
    timeout(limit, connector.connect(address)).await.map_err(timed_out)?
}
