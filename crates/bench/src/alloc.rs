//! An allocator that counts, so that allocations and live bytes can be measured.
#![expect(
    unsafe_code,
    reason = "the trait of an allocator is unsafe; every call goes to the system's allocator"
)]

use std::alloc::{GlobalAlloc, Layout, System};
use std::sync::atomic::{AtomicUsize, Ordering};

static LIVE: AtomicUsize = AtomicUsize::new(0);
static CALLS: AtomicUsize = AtomicUsize::new(0);

/// The system's allocator with two counters.
#[derive(Debug)]
pub struct Counting;

// SAFETY: all calls go to the system's allocator with unchanged arguments.
unsafe impl GlobalAlloc for Counting {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        LIVE.fetch_add(layout.size(), Ordering::Relaxed);
        CALLS.fetch_add(1, Ordering::Relaxed);
        // SAFETY: the caller keeps the contract of `alloc`.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, ptr: *mut u8, layout: Layout) {
        LIVE.fetch_sub(layout.size(), Ordering::Relaxed);
        // SAFETY: the caller keeps the contract of `dealloc`.
        unsafe { System.dealloc(ptr, layout) }
    }
}

/// Bytes that are allocated, without the allocator's own overhead.
pub fn live() -> usize {
    LIVE.load(Ordering::Relaxed)
}

/// Number of allocations so far.
pub fn calls() -> usize {
    CALLS.load(Ordering::Relaxed)
}
