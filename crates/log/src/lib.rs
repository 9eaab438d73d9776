//! The decision log and its deterministic replay.
//!
//! The platform's log carries decisions only: accepted configuration, membership of hosts,
//! dispatcher assignments and placement changes. Heartbeats, load and health are exchanged between
//! hosts directly, because the log sustains only several hundred appends per second and has
//! outages.
//!
//! Every process applies the records in log order with the same deterministic function
//! ([`View::apply`]), so all processes reach the same [`View`]. Acceptance of a record depends on
//! nothing but the record and the view before it. Of two operators that publish concurrently, one
//! therefore wins and the other gets [`Verdict::Conflict`], regardless of the hosts that they use.
//!
//! If the answer to an append is lost, the writer searches the log for its writer id and sequence
//! number ([`append::submit`]). If a record was appended twice, replay drops the second copy as
//! [`Verdict::Duplicate`]. Replay never skips a record that it cannot decode; it stops there,
//! because a view without the record would diverge from the views of other hosts.
//!
//! # Limit: key lists
//!
//! The accepted signing keys are read from each host's settings, not from the log. A host rejects a
//! record with an unknown key and continues, because otherwise anyone with access to the log
//! service could stop all hosts with one append. Hosts with different key lists would therefore
//! reach different views. For this reason a key must be in the settings of every host before its
//! first use, and may be removed only when the log retains no record signed with it. A host logs
//! each rejected record with its offset and the reason. Key lists that are changed by operators'
//! records would remove this limit; they need an initial list in the settings and a new record
//! body.

pub mod append;
pub mod host;
pub mod log;
pub mod memory;
pub mod record;
pub mod recover;
pub mod sign;
pub mod snapshot;
pub mod topic;
pub mod view;

pub use append::{SubmitError, submit};
pub use host::{Addresses, HostRecord};
pub use log::{Batch, Log, LogError, StoredRecord};
pub use memory::MemoryLog;
pub use record::{
    Body, Envelope, FORMAT, FORMAT_FIRST, Placement, Ranking, RecordError, SignedRecord,
};
pub use sign::{KeyError, KeyId, Keyring, Role, Signer};
pub use snapshot::{SnapshotAssembler, SnapshotError, SnapshotPart};
pub use topic::TopicLog;
pub use view::{OwnerChange, Resource, Verdict, View};
