//! Memory for data whose amount callers, upstreams or the store decide.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};

use bytes::Bytes;
use snafu::Snafu;

/// Largest size that may use the last part of a share, in bytes. Long bodies leave that part free,
/// so they cannot displace the heads and short bodies of all other requests.
const SHORT_MAX: usize = 64 * 1024;

/// Divisor of a share that gives its last part.
const LAST_PART: usize = 8;

/// Largest number of bytes that a body whose length is unknown reserves ahead.
const GROWTH_MAX: usize = 1024 * 1024;

/// The memory of a share is in use.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
#[snafu(display("no memory is left for it"))]
pub struct NoMemory;

/// Memory for one kind of data, which all connections of a process take from. Clones refer to the
/// same memory.
#[derive(Debug, Clone)]
pub struct MemoryShare {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    limit: usize,
    used: AtomicUsize,
    refused: AtomicU64,
}

impl MemoryShare {
    /// Creates a share of `limit` bytes.
    pub fn new(limit: usize) -> Self {
        let shared = Shared {
            limit,
            used: AtomicUsize::new(0),
            refused: AtomicU64::new(0),
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Returns the size of the share in bytes.
    pub fn limit(&self) -> usize {
        self.shared.limit
    }

    /// Returns the number of bytes in use.
    pub fn used(&self) -> usize {
        self.shared.used.load(Ordering::Relaxed)
    }

    /// Returns how many times memory has been refused.
    pub fn refused(&self) -> u64 {
        self.shared.refused.load(Ordering::Relaxed)
    }

    /// Returns true if not even a short body fits.
    pub fn is_full(&self) -> bool {
        self.used().saturating_add(SHORT_MAX) > self.limit()
    }

    /// Creates a reservation of no bytes.
    pub fn reservation(&self) -> Reservation {
        Reservation {
            share: Some(self.clone()),
            size: 0,
        }
    }

    /// Takes the memory of bytes that exist already, until their last clone is dropped.
    ///
    /// # Errors
    ///
    /// Fails if the share has too little left.
    pub fn hold(&self, bytes: Vec<u8>) -> Result<Bytes, NoMemory> {
        let mut memory = self.reservation();
        memory.grow(bytes.capacity())?;
        Ok(BodyBuffer { bytes, memory }.into_bytes())
    }

    /// Takes `count` bytes, which leave the last part free if they are not `short`.
    fn take(&self, count: usize, short: bool) -> Result<(), NoMemory> {
        let Shared {
            limit,
            used,
            refused,
        } = &*self.shared;
        let available = if short {
            *limit
        } else {
            limit - limit / LAST_PART
        };
        let fits = |used: usize| used.checked_add(count).filter(|sum| *sum <= available);
        let taken = used.fetch_update(Ordering::Relaxed, Ordering::Relaxed, fits);
        taken.map(drop).map_err(|_used| {
            refused.fetch_add(1, Ordering::Relaxed);
            NoMemory
        })
    }
}

/// Bytes taken from a [`MemoryShare`]. Dropping it returns them. The default one belongs to no
/// share and grows without limit.
#[derive(Debug, Default)]
pub struct Reservation {
    share: Option<MemoryShare>,
    size: usize,
}

impl Reservation {
    /// Takes `count` more bytes.
    ///
    /// # Errors
    ///
    /// Fails and changes nothing if the share has too little left.
    pub fn grow(&mut self, count: usize) -> Result<(), NoMemory> {
        if let Some(share) = &self.share {
            let short = self.size.saturating_add(count) <= SHORT_MAX;
            share.take(count, short)?;
        }
        self.size = self.size.saturating_add(count);
        Ok(())
    }

    /// Changes the number of bytes to `size`. Leaves the last part of the share free.
    ///
    /// # Errors
    ///
    /// Fails and changes nothing if the share has too little left.
    pub fn resize(&mut self, size: usize) -> Result<(), NoMemory> {
        match (size.checked_sub(self.size), &self.share) {
            (Some(0), _) | (_, None) => {}
            (Some(more), Some(share)) => share.take(more, false)?,
            (None, Some(share)) => {
                let less = self.size - size;
                share.shared.used.fetch_sub(less, Ordering::Relaxed);
            }
        }
        self.size = size;
        Ok(())
    }

    /// Returns the number of bytes.
    pub fn size(&self) -> usize {
        self.size
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        if let Some(share) = &self.share {
            share.shared.used.fetch_sub(self.size, Ordering::Relaxed);
        }
    }
}

/// Body that is being received.
#[derive(Debug, Default)]
pub(super) struct BodyBuffer {
    bytes: Vec<u8>,
    memory: Reservation,
}

impl BodyBuffer {
    /// Creates an empty body whose memory is added to a reservation.
    pub(super) fn new(memory: Reservation) -> Self {
        Self {
            bytes: Vec::new(),
            memory,
        }
    }

    pub(super) fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Reserves memory for `count` more bytes.
    ///
    /// # Errors
    ///
    /// Fails if there is too little.
    pub(super) fn reserve(&mut self, count: usize) -> Result<(), NoMemory> {
        let needed = self.bytes.len().saturating_add(count);
        let missing = needed.saturating_sub(self.bytes.capacity());
        if missing > 0 {
            self.memory.grow(missing)?;
            self.bytes.reserve_exact(count);
        }
        Ok(())
    }

    /// Appends a piece. `rest` is the number of bytes after it, if it is known.
    ///
    /// # Errors
    ///
    /// Fails if there is too little memory.
    pub(super) fn append(&mut self, piece: &[u8], rest: Option<u64>) -> Result<(), NoMemory> {
        let size = self.bytes.len().saturating_add(piece.len());
        if size > self.bytes.capacity() {
            let rest = rest.map_or(usize::MAX, |n| usize::try_from(n).unwrap_or(usize::MAX));
            let ahead = rest.min(size).min(GROWTH_MAX);
            self.reserve(piece.len().saturating_add(ahead))?;
        }
        self.bytes.extend_from_slice(piece);
        Ok(())
    }

    /// Returns the body, whose memory is in use until its last clone is dropped.
    pub(super) fn into_bytes(self) -> Bytes {
        if self.bytes.is_empty() {
            return Bytes::new();
        }
        Bytes::from_owner(self)
    }

    /// Returns the body and the reservation of its memory.
    pub(super) fn into_parts(self) -> (Bytes, Reservation) {
        (Bytes::from(self.bytes), self.memory)
    }
}

impl AsRef<[u8]> for BodyBuffer {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Reason for which a part of an answer does not fit.
#[derive(Debug, Snafu)]
pub(super) enum LimitError {
    /// The answer is longer than any may be.
    #[snafu(display("the answer has more than {each} bytes"))]
    Size {
        /// Largest size in bytes.
        each: usize,
    },
    /// The memory of all answers is in use.
    #[snafu(display("the answer is too large: {source}"), context(false))]
    Memory {
        /// The failure.
        source: NoMemory,
    },
}

/// Limit on the bodies of answers: the size of each, and the memory of all. Long heads take up the
/// same memory while they are received.
#[derive(Debug, Clone)]
pub struct BodyLimit {
    each: usize,
    share: Option<MemoryShare>,
}

impl BodyLimit {
    /// A limit of `each` bytes for one body, without one for all together.
    pub fn new(each: usize) -> Self {
        Self { each, share: None }
    }

    /// A limit of `each` bytes for one body. The memory of all bodies is taken from `share`.
    pub fn of_share(each: usize, share: &MemoryShare) -> Self {
        Self {
            each,
            share: Some(share.clone()),
        }
    }

    /// Creates an empty body.
    pub(super) fn start(&self) -> BodyBuffer {
        BodyBuffer::new(self.reservation())
    }

    /// Creates a reservation of no bytes.
    pub(super) fn reservation(&self) -> Reservation {
        let memory = self.share.as_ref().map(MemoryShare::reservation);
        memory.unwrap_or_default()
    }

    /// Appends a piece to a body, see [`BodyBuffer::append`].
    ///
    /// # Errors
    ///
    /// Fails if a limit is reached.
    pub(super) fn append(
        &self,
        body: &mut BodyBuffer,
        piece: &[u8],
        rest: Option<u64>,
    ) -> Result<(), LimitError> {
        if body.len() + piece.len() > self.each {
            return Err(LimitError::Size { each: self.each });
        }
        Ok(body.append(piece, rest)?)
    }
}
