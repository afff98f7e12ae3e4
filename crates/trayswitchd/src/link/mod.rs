//! Links between daemons: authenticated TCP connections that carry frames.
//!
//! Every daemon dials every control replica. Between two control replicas the one
//! whose name sorts later dials, so that there is one link for each pair. A link
//! that is silent for too long, or whose peer does not take what is sent, is
//! dropped and dialed again.

mod accept;
mod dial;
mod stream;

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, AtomicUsize, Ordering},
        mpsc,
    },
    time::Duration,
};

use trayswitch_core::wire::{Body, Envelope};

pub(crate) use self::{accept::accept, dial::dial_all, stream::Identity};

/// A link is dropped after this silence.
const SILENCE: Duration = Duration::from_secs(4);
/// An idle link carries an empty message this often.
const KEEP_ALIVE: Duration = Duration::from_secs(1);
/// Messages that may wait for a slow peer.
const MAX_QUEUE: usize = 16 * 1024;

static SENT: AtomicU64 = AtomicU64::new(0);
static RECEIVED: AtomicU64 = AtomicU64::new(0);

/// Bytes that this daemon has exchanged with other daemons.
#[derive(Debug, Clone, Copy, serde::Serialize)]
pub(crate) struct Traffic {
    /// Bytes sent.
    sent: u64,
    /// Bytes received.
    received: u64,
}

/// Bytes exchanged since the start.
pub(crate) fn traffic() -> Traffic {
    Traffic { sent: SENT.load(Ordering::Relaxed), received: RECEIVED.load(Ordering::Relaxed) }
}

/// Tells links to the same VM apart.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct LinkId(u64);

impl LinkId {
    fn next() -> LinkId {
        static NEXT: AtomicU64 = AtomicU64::new(1);
        LinkId(NEXT.fetch_add(1, Ordering::Relaxed))
    }
}

/// Sends on a link.
#[derive(Clone)]
pub(crate) struct LinkHandle {
    id: LinkId,
    tx: mpsc::Sender<Envelope>,
    /// Messages that wait. A bounded channel would take its whole memory at once.
    queued: Arc<AtomicUsize>,
}

impl LinkHandle {
    /// The link.
    pub(crate) fn id(&self) -> LinkId {
        self.id
    }

    /// Queues a message. When the queue is full the message is lost, as it would be on a
    /// broken link; the peer's silence then ends the link.
    pub(crate) fn send(&self, body: Body) {
        if MAX_QUEUE <= self.queued.fetch_add(1, Ordering::Relaxed) {
            self.queued.fetch_sub(1, Ordering::Relaxed);
            return;
        }
        let _ = self.tx.send(Envelope { body: Some(body) });
    }
}
