//! Identities of upstreams within a process.

use std::rc::Rc;

use derive_more::Display;

use crate::Registration;

/// Identifies one run of an upstream within this process.
///
/// A [`Directory`](crate::Directory) never assigns one twice. Whatever selects an upstream, counts
/// its requests or limits them refers to it by this identifier: unlike a hash of the name, it cannot
/// stand for another upstream, and unlike the name, it does not pass to the next run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
#[display("upstream {_0}")]
pub struct UpstreamId(pub u64);

/// A registered upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Upstream {
    /// Identifies the run of the upstream.
    pub id: UpstreamId,
    /// Its current registration.
    pub registration: Rc<Registration>,
}
