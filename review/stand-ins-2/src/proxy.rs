//! A loopback proxy that can hold up the bytes of one direction and deliver them later.

use std::{
    io::{self, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

/// Connections from `listen` to `to`; while `holds` is set, what the dialing side sends is held up.
pub fn spawn(listen: SocketAddr, to: SocketAddr, holds: Arc<AtomicBool>) -> io::Result<()> {
    let listener = TcpListener::bind(listen)?;
    thread::spawn(move || {
        while let Ok((dialing, _)) = listener.accept() {
            let holds = holds.clone();
            thread::spawn(move || {
                let Ok(dialed) = TcpStream::connect(to) else { return };
                let _ = (dialing.set_nodelay(true), dialed.set_nodelay(true));
                let (Ok(a), Ok(b)) = (dialing.try_clone(), dialed.try_clone()) else { return };
                let never = Arc::new(AtomicBool::new(false));
                thread::spawn(move || pass(b, a, &never));
                pass(dialing, dialed, &holds);
            });
        }
    });
    Ok(())
}

fn pass(mut from: TcpStream, mut to: TcpStream, holds: &AtomicBool) {
    let mut piece = [0; 16 * 1024];
    loop {
        let n = match from.read(&mut piece) {
            Ok(n) if 0 < n => n,
            _ => break,
        };
        while holds.load(Ordering::Relaxed) {
            thread::sleep(Duration::from_millis(5));
        }
        if to.write_all(&piece[..n]).is_err() {
            break;
        }
    }
    while holds.load(Ordering::Relaxed) {
        thread::sleep(Duration::from_millis(5));
    }
    let _ = to.shutdown(Shutdown::Both);
    let _ = from.shutdown(Shutdown::Both);
}
