//! Encoding of datagrams.
//!
//! Later builds append fields behind the message, each group after the one before. Earlier builds
//! ignore what follows the part that they know, so hosts of different builds understand each other.

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use snafu::{ResultExt, ensure};
use trefoil_directory::Incarnation;
use trefoil_store::Era;

use super::{
    ChangeItem, DecodeSnafu, Extensions, LimitItem, Message, MessageError, ReadId, Removal,
    SyncStatus, TermItem, VERSION, VersionSnafu,
};

/// What follows the age of the directory, which follows the message. Earlier builds ignore it.
#[derive(Debug, Default, PartialEq, Serialize, Deserialize)]
struct Trailer {
    /// The read that the age counts from.
    read: Option<ReadId>,
    /// Sequence numbers of the removals in the message.
    sequences: SmallVec<[Option<u64>; 8]>,
    /// Numbers of the reports of coordinators in the message.
    reports: SmallVec<[Option<u64>; 8]>,
}

/// Decodes limits and, unless an earlier build has sent them, the upstreams that they belong to.
/// Returns them with the bytes that follow.
fn decode_limits(bytes: &[u8]) -> Result<(Vec<LimitItem>, &[u8]), MessageError> {
    let (mut limits, rest): (Vec<LimitItem>, _) =
        postcard::take_from_bytes(bytes).context(DecodeSnafu)?;
    if rest.is_empty() {
        return Ok((limits, rest));
    }
    let (upstreams, rest): (Vec<Option<Incarnation>>, _) =
        postcard::take_from_bytes(rest).context(DecodeSnafu)?;
    for (item, upstream) in limits.iter_mut().zip(upstreams) {
        item.upstream = upstream;
    }
    Ok((limits, rest))
}

impl Message {
    /// Encodes a datagram.
    ///
    /// # Errors
    ///
    /// Fails if the encoder does.
    pub fn encode(&self) -> Result<Vec<u8>, MessageError> {
        let bytes = postcard::to_allocvec(&(VERSION, self)).context(DecodeSnafu)?;
        let Some(status) = self.status() else {
            return Ok(bytes);
        };
        let Some(age_ms) = status.directory_age_ms else {
            return Ok(bytes);
        };
        let trailer = Trailer {
            read: status.directory_read,
            sequences: self.removals().iter().map(|r| r.sequence).collect(),
            reports: self.terms().iter().map(|t| t.number).collect(),
        };
        let bytes = postcard::to_extend(&(age_ms, trailer), bytes).context(DecodeSnafu)?;
        let Some(store_era) = status.store_era else {
            return Ok(bytes);
        };
        let eras = (store_era.0, status.config_era.0);
        let bytes = postcard::to_extend(&eras, bytes).context(DecodeSnafu)?;
        let Some(config_age_ms) = status.config_age_ms else {
            return Ok(bytes);
        };
        let config = (config_age_ms, status.config_read);
        let bytes = postcard::to_extend(&config, bytes).context(DecodeSnafu)?;
        let extensions = self
            .extensions()
            .filter(|extensions| !extensions.is_empty());
        let limits = self.limits();
        if limits.is_empty() && extensions.is_none() {
            return Ok(bytes);
        }
        let bytes = postcard::to_extend(limits, bytes).context(DecodeSnafu)?;
        let upstreams = limits.iter().map(|item| &item.upstream);
        let upstreams: SmallVec<[&Option<Incarnation>; 8]> = upstreams.collect();
        let bytes = postcard::to_extend(&upstreams, bytes).context(DecodeSnafu)?;
        match extensions {
            Some(extensions) => postcard::to_extend(extensions, bytes).context(DecodeSnafu),
            None => Ok(bytes),
        }
    }

    /// Decodes a datagram.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are not a datagram of this version.
    pub fn decode(bytes: &[u8]) -> Result<Self, MessageError> {
        let (found, rest) = postcard::take_from_bytes::<u8>(bytes).context(DecodeSnafu)?;
        ensure!(found == VERSION, VersionSnafu { found });
        let (mut message, rest): (Self, _) =
            postcard::take_from_bytes(rest).context(DecodeSnafu)?;
        let Some(status) = message.status_mut().filter(|_| !rest.is_empty()) else {
            return Ok(message);
        };
        let (age_ms, rest) = postcard::take_from_bytes(rest).context(DecodeSnafu)?;
        status.directory_age_ms = Some(age_ms);
        if rest.is_empty() {
            return Ok(message);
        }
        let (trailer, rest): (Trailer, _) = postcard::take_from_bytes(rest).context(DecodeSnafu)?;
        status.directory_read = trailer.read;
        if !rest.is_empty() {
            let ((store_era, config_era), rest) =
                postcard::take_from_bytes(rest).context(DecodeSnafu)?;
            status.store_era = Some(Era(store_era));
            status.config_era = Era(config_era);
            if !rest.is_empty() {
                let ((age_ms, read), rest) =
                    postcard::take_from_bytes(rest).context(DecodeSnafu)?;
                status.config_age_ms = Some(age_ms);
                status.config_read = read;
                if let (Some((limits, extensions)), false) =
                    (message.later_groups_mut(), rest.is_empty())
                {
                    let (found, rest) = decode_limits(rest)?;
                    *limits = found;
                    if !rest.is_empty() {
                        *extensions = postcard::from_bytes(rest).context(DecodeSnafu)?;
                    }
                }
            }
        }
        for (removal, sequence) in message.removals_mut().zip(trailer.sequences) {
            removal.sequence = sequence;
        }
        for (term, number) in message.terms_mut().iter_mut().zip(trailer.reports) {
            term.number = number;
        }
        Ok(message)
    }

    fn limits(&self) -> &[LimitItem] {
        match self {
            Self::Report(report) => &report.limits,
            Self::Digest(digest) => &digest.limits,
            Self::Exchange(exchange) => &exchange.limits,
            _ => &[],
        }
    }

    fn extensions(&self) -> Option<&Extensions> {
        match self {
            Self::Report(report) => Some(&report.extensions),
            Self::Digest(digest) => Some(&digest.extensions),
            Self::Exchange(exchange) => Some(&exchange.extensions),
            _ => None,
        }
    }

    fn later_groups_mut(&mut self) -> Option<(&mut Vec<LimitItem>, &mut Extensions)> {
        match self {
            Self::Report(report) => Some((&mut report.limits, &mut report.extensions)),
            Self::Digest(digest) => Some((&mut digest.limits, &mut digest.extensions)),
            Self::Exchange(exchange) => Some((&mut exchange.limits, &mut exchange.extensions)),
            _ => None,
        }
    }

    fn terms(&self) -> &[TermItem] {
        match self {
            Self::Report(report) => &report.terms,
            Self::Digest(digest) => &digest.terms,
            Self::Exchange(exchange) => &exchange.terms,
            _ => &[],
        }
    }

    fn terms_mut(&mut self) -> &mut [TermItem] {
        match self {
            Self::Report(report) => &mut report.terms,
            Self::Digest(digest) => &mut digest.terms,
            Self::Exchange(exchange) => &mut exchange.terms,
            _ => &mut [],
        }
    }

    fn removals(&self) -> SmallVec<[&Removal; 8]> {
        let changes = match self {
            Self::Digest(digest) => digest.changes.as_slice(),
            _ => &[],
        };
        let removals = changes.iter().filter_map(|item| match item {
            ChangeItem::Gone(removal) => Some(removal),
            ChangeItem::Set(_) => None,
        });
        removals.collect()
    }

    fn removals_mut(&mut self) -> impl Iterator<Item = &mut Removal> {
        let changes = match self {
            Self::Digest(digest) => digest.changes.as_mut_slice(),
            _ => &mut [],
        };
        changes.iter_mut().filter_map(|item| match item {
            ChangeItem::Gone(removal) => Some(removal),
            ChangeItem::Set(_) => None,
        })
    }

    fn status(&self) -> Option<&SyncStatus> {
        match self {
            Self::Report(report) => Some(&report.status),
            Self::Digest(digest) => Some(&digest.status),
            Self::Exchange(exchange) => Some(&exchange.status),
            _ => None,
        }
    }

    fn status_mut(&mut self) -> Option<&mut SyncStatus> {
        match self {
            Self::Report(report) => Some(&mut report.status),
            Self::Digest(digest) => Some(&mut digest.status),
            Self::Exchange(exchange) => Some(&mut exchange.status),
            _ => None,
        }
    }
}
