//! Builder of an [`Admission`].

use std::time::Duration;

use trefoil_core::Slots;
use trefoil_core::chart::ChartError;

use super::{Access, Admission};
use crate::mechanism::{Disabled, Mechanism};
use crate::memory::CAPACITY;
use crate::{
    ConnectionBudget, Limit, OutcomeMemory, Ownership, Proof, RetryBudget, ServiceTime, WallClock,
};

/// Builder of an [`Admission`].
#[derive(Debug, Clone)]
pub struct AdmissionBuilder {
    wall: WallClock,
    slots: Slots,
    connections: u32,
    queue: u32,
    margin: Duration,
    proof: Proof,
    memory: usize,
    disabled: Disabled,
}

impl AdmissionBuilder {
    pub(super) fn new(wall: WallClock) -> Self {
        Self {
            wall,
            slots: Slots(1),
            connections: 16,
            queue: 256,
            margin: Duration::from_millis(500),
            proof: Proof::Deadline,
            memory: CAPACITY,
            disabled: Disabled::default(),
        }
    }

    /// Sets the slots of the upstream. The default is 1.
    #[must_use]
    pub fn slots(mut self, slots: Slots) -> Self {
        self.slots = slots;
        self
    }

    /// Sets the number of connections that may be open. The default is 16.
    #[must_use]
    pub fn connections(mut self, connections: u32) -> Self {
        self.connections = connections;
        self
    }

    /// Sets the number of requests that may be queued. The default is 256.
    #[must_use]
    pub fn queue(mut self, queue: u32) -> Self {
        self.queue = queue;
        self
    }

    /// Sets the time after a deadline by which the upstream has certainly stopped working on the
    /// request. The default is 500 ms.
    #[must_use]
    pub fn margin(mut self, margin: Duration) -> Self {
        self.margin = margin;
        self
    }

    /// Sets the proof that the upstream has stopped working on a request. The default is
    /// [`Proof::Deadline`].
    #[must_use]
    pub fn proof(mut self, proof: Proof) -> Self {
        self.proof = proof;
        self
    }

    /// Sets the capacity of the outcome memory in ids, at most [`CAPACITY`], which is the default.
    #[must_use]
    pub fn memory(mut self, memory: usize) -> Self {
        self.memory = memory;
        self
    }

    /// Turns a mechanism off, for tests that show the violation it prevents.
    #[doc(hidden)]
    #[must_use]
    pub fn without(mut self, mechanism: Mechanism) -> Self {
        self.disabled.add(mechanism);
        self
    }

    /// Creates the admission, which owns no shard yet.
    ///
    /// # Errors
    ///
    /// Fails if `ownership.yaml` does not load.
    pub fn build(self) -> Result<Admission, ChartError> {
        let mut memory = OutcomeMemory::with_capacity(self.wall, self.memory);
        memory.disable(self.disabled.clone());
        let mut ownership = Ownership::new(self.proof)?;
        if self.disabled.has(Mechanism::ReleaseWait) {
            ownership.skip_proof();
        }
        Ok(Admission {
            slots: Slots(self.slots.0.max(1)),
            queue_max: usize::try_from(self.queue).unwrap_or(usize::MAX),
            margin: self.margin,
            wall: self.wall,
            access: Access::Open,
            limit: Limit::new(self.slots),
            service_time: ServiceTime::default(),
            retries: RetryBudget::default(),
            connections: ConnectionBudget::new(self.connections),
            queue: super::Queue::default(),
            running: std::collections::BTreeMap::new(),
            lingering: std::collections::BinaryHeap::new(),
            next_id: 0,
            issuer: crate::ticket::Issuer::next(),
            memory,
            ownership,
            disabled: self.disabled,
        })
    }
}
