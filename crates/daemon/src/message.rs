//! Control messages between hosts.

use serde::{Deserialize, Serialize};
use trefoil_core::{HostId, Offset, Revision, Shard};
use trefoil_lease::Message as LeaseMessage;
use trefoil_log::SnapshotPart;
use trefoil_placement::report::ServiceReport;

use crate::dispatcher::failover::{Announcement, Offer};
use crate::dispatcher::shards::{ReleaseQuery, ShardRelease};
use crate::load::{UpstreamLoad, Window};

/// A request to another host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Requests the revision that the host serves.
    Revision {
        /// The sender's revision.
        sender: Revision,
    },
    /// Messages about leases.
    Lease {
        /// The sender's incarnation.
        from: HostId,
        /// The sender's revision.
        revision: Revision,
        /// The messages.
        messages: Vec<LeaseMessage>,
    },
    /// Requests the load that the host's dispatchers measured in a completed window.
    Load {
        /// The sender's revision.
        sender: Revision,
        /// The window.
        window: Window,
    },
    /// Requests the host's part of the placement report.
    Report {
        /// The sender's revision.
        sender: Revision,
    },
    /// Requests the releases of shards.
    Releases {
        /// The query.
        query: ReleaseQuery,
    },
    /// Announces a failover to a successor.
    FailedOver {
        /// The announcement.
        announcement: Announcement,
    },
    /// Offers shards to a standby.
    Offer {
        /// The offer.
        offer: Offer,
    },
    /// Requests the position of the host's view. A host that is starting refuses.
    ViewStatus {
        /// The sender's revision.
        sender: Revision,
    },
    /// Requests a part of the host's view.
    ViewPart {
        /// Digest of the view, from its first part. `None` requests the first part.
        digest: Option<[u8; 32]>,
        /// Index of the part.
        index: u32,
    },
}

/// The answer to a [`Message`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// The revision that the host serves.
    Revision {
        /// The revision.
        revision: Revision,
    },
    /// Replies to messages about leases.
    Lease {
        /// The replying incarnation.
        from: HostId,
        /// The host's revision.
        revision: Revision,
        /// The replies.
        messages: Vec<LeaseMessage>,
    },
    /// The measured load.
    Load {
        /// One item for each upstream.
        loads: Vec<UpstreamLoad>,
    },
    /// The host's part of the placement report.
    Report {
        /// One entry for each service.
        services: Vec<ServiceReport>,
    },
    /// The releases that exist.
    Releases {
        /// The releases.
        shards: Vec<ShardRelease>,
    },
    /// The announcement was received.
    Announced,
    /// The offered shards that the standby accepted.
    OfferAccepted {
        /// The shards.
        shards: Vec<Shard>,
    },
    /// The message does not decode, or the host cannot answer it.
    Refused {
        /// The reason.
        reason: String,
    },
    /// The position of the host's view.
    ViewStatus {
        /// Revision of the view.
        revision: Revision,
        /// Offset of the next record that the host will replay.
        next: Offset,
        /// The highest revision that the host knows.
        highest: Revision,
    },
    /// A part of the host's view. Its size is well below the frame limit.
    ViewPart {
        /// The part.
        part: SnapshotPart,
    },
}
