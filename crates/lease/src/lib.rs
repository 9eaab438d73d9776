//! Witnessed leases: which host may act as the dispatcher of an upstream.

pub mod holder;
pub mod message;
pub mod records;
pub mod succession;
#[doc(hidden)]
pub mod switches;
pub mod timing;
pub mod witness;

pub use holder::{Holder, HolderState};
pub use message::{Attestation, Effect, Message, Peer, Refusal, Verdict};
pub use records::{Assignment, Generation, Lease, Records, Seat, SeatIndex, Tenure, majority};
pub use succession::Succession;
#[doc(hidden)]
pub use switches::Switches;
pub use timing::{Timing, TimingBuilder, TimingError};
pub use witness::{EntryState, Witness};
