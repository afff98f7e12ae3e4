//! Memory of one daemon, measured by what its release gives back.

use serde::Serialize;
use stats_alloc::{INSTRUMENTED_SYSTEM, Region, StatsAlloc};

use std::alloc::System;

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// Heap of one daemon of each role in bytes, without sockets and their buffers.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub(crate) struct MemoryUse {
    pub(crate) leader: usize,
    pub(crate) control: usize,
    pub(crate) entry: usize,
}

impl MemoryUse {
    pub(super) fn table(&self) -> String {
        let kb = |bytes: usize| bytes as f64 / 1_000.0;
        format!(
            "memory: leader {:.0} kB, control {:.0} kB, entry {:.0} kB\n",
            kb(self.leader),
            kb(self.control),
            kb(self.entry)
        )
    }
}

/// Bytes that are freed when `owner` is dropped.
pub(super) fn bytes_owned<T>(owner: T) -> usize {
    let region = Region::new(ALLOCATOR);
    drop(owner);
    let change = region.change();
    change.bytes_deallocated.saturating_sub(change.bytes_allocated)
}
