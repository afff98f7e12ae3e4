//! A network that refuses or silences new connections to endpoints, for runs of whole programs under
//! faults. Only a build with the feature `faults` has it.
//!
//! A file says what happens to them: `refused` or `silent`. Connections that are open go on. Another file,
//! `link` beside it, names an IP number at which all endpoints are reached over a link of a bounded rate:
//! a byte comes back once the connection has crossed it.

use std::{
    fs,
    future::pending,
    io,
    net::{IpAddr, SocketAddr},
    path::PathBuf,
};

use tokio::{io::AsyncReadExt, net::TcpStream};

use super::{Connector, TcpConnector};
use crate::edge::LocalFuture;

/// Connects unless the file says otherwise.
pub struct FaultyConnector {
    path: PathBuf,
}

impl FaultyConnector {
    /// Reads the faults from the file `path` at each connection.
    pub fn new(path: PathBuf) -> FaultyConnector {
        FaultyConnector { path }
    }
}

impl FaultyConnector {
    fn link(&self) -> Option<IpAddr> {
        fs::read_to_string(self.path.with_file_name("link")).ok()?.trim().parse().ok()
    }
}

async fn connect_over_link(address: SocketAddr) -> io::Result<TcpStream> {
    let mut socket = TcpConnector.connect(address).await?;
    match socket.read_u8().await {
        Ok(_) => Ok(socket),
        Err(_) => Err(io::ErrorKind::ConnectionRefused.into()),
    }
}

impl Connector for FaultyConnector {
    fn connect(&self, address: SocketAddr) -> LocalFuture<'static, io::Result<TcpStream>> {
        // No file, no faults.
        match fs::read_to_string(&self.path).unwrap_or_default().trim() {
            "refused" => Box::pin(async { Err(io::ErrorKind::ConnectionRefused.into()) }),
            "silent" => Box::pin(pending()),
            _ => match self.link() {
                Some(ip) => Box::pin(connect_over_link(SocketAddr::new(ip, address.port()))),
                None => TcpConnector.connect(address),
            },
        }
    }
}
