//! A global allocator that counts allocations and allocated bytes.
#![expect(
    unsafe_code,
    reason = "`GlobalAlloc` is an unsafe trait; every call is forwarded to the system's allocator"
)]

use std::alloc::{GlobalAlloc, Layout, System};
use std::sync::atomic::{AtomicUsize, Ordering};

static LIVE_BYTES: AtomicUsize = AtomicUsize::new(0);
static ALLOCATIONS: AtomicUsize = AtomicUsize::new(0);

/// Forwards to the system's allocator and counts.
#[derive(Debug)]
pub struct CountingAllocator;

// SAFETY: all calls are forwarded to the system's allocator with unchanged arguments.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        LIVE_BYTES.fetch_add(layout.size(), Ordering::Relaxed);
        ALLOCATIONS.fetch_add(1, Ordering::Relaxed);
        // SAFETY: the caller upholds the contract of `alloc`.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, ptr: *mut u8, layout: Layout) {
        LIVE_BYTES.fetch_sub(layout.size(), Ordering::Relaxed);
        // SAFETY: the caller upholds the contract of `dealloc`.
        unsafe { System.dealloc(ptr, layout) }
    }
}

/// Returns the number of currently allocated bytes, without the overhead of the allocator.
pub fn live_bytes() -> usize {
    LIVE_BYTES.load(Ordering::Relaxed)
}

/// Returns the number of allocations since the start of the process.
pub fn allocations() -> usize {
    ALLOCATIONS.load(Ordering::Relaxed)
}
