//! Directory of registered upstreams.
//!
//! Upstreams write a [`Registration`] into a registry, renew it, and disappear from the registry
//! when they leave or stop renewing. [`Directory`] is one host's view of the registry. It differs
//! from it in two ways:
//!
//! - Registrations of one upstream are ordered by the start of its incarnation and a sequence
//!   number, so an old one that arrives late is ignored, even after the upstream was removed.
//! - A registry that recovers from an outage lacks the upstreams that could not renew. They
//!   register again within a short time, so an upstream that disappears around an outage is kept
//!   until that time has passed.

mod directory;
mod registration;
mod upstream;

pub use directory::{Change, Directory, RECOVERY_GRACE};
pub use registration::{Incarnation, Phase, Registration};
pub use upstream::{Upstream, UpstreamId};
