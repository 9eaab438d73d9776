//! The decision log and its deterministic replay.
//!
//! Only decisions go through the platform's log: accepted configuration, hosts that join and
//! leave, dispatcher assignments and placement changes. Heartbeats, load and health never do,
//! because the log takes several hundred appends a second and has outages.
//!
//! Every process replays the same records by the same rule ([`View::apply`]) and so reaches the
//! same [`View`]. The rule accepts or rejects a record by looking only at the record and at the
//! view before it. Racing operators therefore get one winner and one [`Verdict::Conflict`],
//! whichever host they asked.
//!
//! An append whose answer was lost is resolved by reading forward for its writer and sequence
//! ([`append::submit`]); a copy that lands twice is dropped by replay as [`Verdict::Duplicate`].
//! A record is never skipped: a record that cannot be decoded stops the replay, because a view
//! that left it out would differ from the views of other hosts.
//!
//! # Limit: key lists
//!
//! The keys whose records are accepted come from each host's settings, not from the log. A record
//! whose key a host does not know is passed over, because anybody who reaches the log service could
//! otherwise stop all hosts with one append. Hosts with different lists would therefore reach
//! different views. So a key is added to the settings of every host before its first use, and
//! removed only when the log keeps no record that it signed. A host logs each record that it passes
//! over, with its offset and reason. Key lists that are themselves changed by records of an operator
//! would remove this limit; they need a first list in the settings and a new record body.

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
