//! TCP sockets that notice when the other side has gone silently.

use std::{io, net::SocketAddr, time::Duration};

use socket2::{SockRef, TcpKeepalive};
use tokio::net::{TcpListener, TcpSocket, TcpStream};

/// An idle connection is probed after this time, and then this often.
const PROBE: Duration = Duration::from_secs(1);
/// Unanswered probes after which a connection ends.
const PROBES: u32 = 2;
/// Bytes that were not acknowledged for this long end a connection. Linux ends keep-alive after this
/// time as well, whatever the number of probes, so both times are the same.
const UNACKNOWLEDGED: Duration = PROBE.saturating_mul(1 + PROBES);
/// Bytes of a response that the system keeps until they are read. By itself it keeps some MB for a reader that
/// was fast and stands still.
pub(crate) const RECEIVE_BUFFER: usize = 64 * 1024;
/// New connections that may wait to be taken; a full queue delays callers by seconds.
const BACKLOG: u32 = 1_024;

/// Sets what every connection between VMs needs.
pub(crate) fn tune(socket: &TcpStream) -> io::Result<()> {
    tune_for_slow_reader(socket)?;
    SockRef::from(socket).set_tcp_user_timeout(Some(UNACKNOWLEDGED))
}

/// Sets what a connection needs whose other side may read slowly: Linux counts the time without
/// acknowledged bytes also while the other side answers, but has no room for them.
pub(crate) fn tune_for_slow_reader(socket: &TcpStream) -> io::Result<()> {
    socket.set_nodelay(true)?;
    let keepalive = TcpKeepalive::new().with_time(PROBE).with_interval(PROBE).with_retries(PROBES);
    SockRef::from(socket).set_tcp_keepalive(&keepalive)
}

/// Bounds what the system buffers of what was written, so that it does not delay what is written next.
pub(crate) fn bound_send_buffer(socket: &TcpStream, bytes: usize) -> io::Result<()> {
    SockRef::from(socket).set_send_buffer_size(bytes)
}

/// Connects and tunes.
pub(crate) async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let socket = TcpStream::connect(address).await?;
    tune(&socket)?;
    Ok(socket)
}

/// The same; the system keeps at most [`RECEIVE_BUFFER`] bytes that are not read.
pub(crate) async fn connect_bounded(address: SocketAddr) -> io::Result<TcpStream> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    // The system doubles it, for records of its own.
    socket.set_recv_buffer_size(RECEIVE_BUFFER as u32 / 2)?;
    let socket = socket.connect(address).await?;
    tune(&socket)?;
    Ok(socket)
}

/// Listens with a long queue.
pub(crate) fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}
