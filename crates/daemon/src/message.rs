//! Control messages between hosts.

use serde::{Deserialize, Serialize};
use trefoil_core::{HostId, Offset, Revision, Shard};
use trefoil_lease::Message as LeaseMessage;
use trefoil_log::SnapshotPart;
use trefoil_placement::report::ServiceReport;

use crate::dispatcher::failover::{Announcement, Offer};
use crate::dispatcher::shards::{ReleaseQuery, ShardRelease};
use crate::load::{UpstreamLoad, Window};

/// A question to another host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Asks for the revision that the host serves.
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
    /// Asks what the host's dispatchers counted in a closed measure window.
    Load {
        /// The sender's revision.
        sender: Revision,
        /// The window.
        window: Window,
    },
    /// Asks for the placement report that the host has.
    Report {
        /// The sender's revision.
        sender: Revision,
    },
    /// Asks for the releases of shards.
    Releases {
        /// The question.
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
    /// Asks which view the host has. A host that is starting refuses.
    ViewStatus {
        /// The sender's revision.
        sender: Revision,
    },
    /// Asks for a part of the host's view.
    ViewPart {
        /// Digest of the view, as the first part gave it; none for the first part.
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
    /// Answers to messages about leases.
    Lease {
        /// The incarnation that answers.
        from: HostId,
        /// The host's revision.
        revision: Revision,
        /// The answers.
        messages: Vec<LeaseMessage>,
    },
    /// What was counted.
    Load {
        /// One item for each upstream.
        loads: Vec<UpstreamLoad>,
    },
    /// The placement report.
    Report {
        /// One part for each service.
        services: Vec<ServiceReport>,
    },
    /// The releases that exist.
    Releases {
        /// The releases.
        shards: Vec<ShardRelease>,
    },
    /// The announcement is known.
    Announced,
    /// The offered shards that the standby serves.
    OfferAccepted {
        /// The shards.
        shards: Vec<Shard>,
    },
    /// The message does not decode, or the host cannot answer it.
    Refused {
        /// Why.
        reason: String,
    },
    /// The view that the host has.
    ViewStatus {
        /// Revision of the view.
        revision: Revision,
        /// Offset of the next record that the host will replay.
        next: Offset,
        /// The highest revision that the host has learnt of.
        highest: Revision,
    },
    /// A part of the host's view, well below the frame limit.
    ViewPart {
        /// The part.
        part: SnapshotPart,
    },
}
