//! The upstreams that have registered themselves.
//!
//! Upstreams write a [`Registration`] into a registry that they renew, and vanish from it when they
//! leave or fall silent. [`Directory`] is one host's view of the registry. It differs from the
//! registry in two ways:
//!
//! - Registrations of one upstream are ordered by the start of its life and by its own counter, so
//!   an older one that arrives late changes nothing, also after the upstream has vanished.
//! - A registry that was away drops upstreams that could not renew. They return within a short
//!   time, so an upstream that vanished around an outage is used until that time has passed.

mod directory;
mod registration;

pub use directory::{Change, Directory, RECOVERY_GRACE};
pub use registration::{Incarnation, Phase, Registration, Tag};
