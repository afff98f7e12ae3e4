//! Counts the bytes of a socket as load of the VM's link.

use std::{
    io,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll, ready},
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};
use trayswitch_core::link::Direction;

use super::LinkMonitor;

/// A socket whose bytes are counted.
pub(crate) struct MeteredSocket {
    socket: TcpStream,
    link: Option<Rc<LinkMonitor>>,
}

impl MeteredSocket {
    /// Counts the bytes of a socket on `link`, if it crosses one that is measured.
    pub(crate) fn new(socket: TcpStream, link: Option<Rc<LinkMonitor>>) -> MeteredSocket {
        MeteredSocket { socket, link }
    }

    /// Waits until there are bytes to be read, or the end.
    pub(crate) fn poll_read_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.socket.poll_read_ready(cx)
    }

    fn count(&self, direction: Direction, bytes: usize) {
        if let Some(link) = self.link.as_ref().filter(|_| 0 < bytes) {
            link.on_transfer(direction, bytes);
        }
    }
}

impl AsyncRead for MeteredSocket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.socket).poll_read(cx, buf))?;
        self.count(Direction::Received, buf.filled().len() - before);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for MeteredSocket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.socket).poll_write(cx, buf))?;
        self.count(Direction::Sent, written);
        Poll::Ready(Ok(written))
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.socket).poll_write_vectored(cx, bufs))?;
        self.count(Direction::Sent, written);
        Poll::Ready(Ok(written))
    }

    fn is_write_vectored(&self) -> bool {
        self.socket.is_write_vectored()
    }
}
