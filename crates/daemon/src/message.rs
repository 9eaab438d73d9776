//! Control messages between hosts.

use serde::{Deserialize, Serialize};
use trefoil_core::Revision;

/// A question to another host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Asks for the revision that the host serves.
    Revision {
        /// The sender's revision.
        sender: Revision,
    },
}

/// The answer to a [`Message`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// The revision that the host serves.
    Revision {
        /// The revision.
        revision: Revision,
    },
    /// The message does not decode.
    Refused {
        /// Why.
        reason: String,
    },
}
