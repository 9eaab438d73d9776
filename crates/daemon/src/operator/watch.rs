//! `GET /v1/watch`: a stream of resource changes as JSON lines.
//!
//! With `?from=REVISION` the stream contains every change that was accepted after that revision, in
//! order. Without it, the stream begins with the resources in force. There are two kinds of lines:
//!
//! ```text
//! {"change":"accepted","revision":7,"name":"waterworks","accepted":1796371200000}
//! {"change":"in-force","revision":7,"name":"waterworks","domains":["a"],"everywhere":false}
//! ```
//!
//! An `in-force` line lists the failure domains in which all hosts have begun to serve the revision
//! since the previous such line. A revision that is replaced before that has no `in-force` line.
//!
//! The stream never skips an accepted revision. If this process no longer has all changes after
//! `from`, it answers 410. If a client falls behind until changes that it has not received are
//! dropped, its stream is aborted without a regular end. Such a client reads the resources and
//! starts a new stream.
//!
//! A client costs one cursor and a queue of at most 64 lines. All clients share the queries to the
//! hosts, which are sent only while some revision is not in force everywhere.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use async_channel::Sender;
use bytes::Bytes;
use futures_lite::{FutureExt, StreamExt};
use http::header::{CONTENT_TYPE, HeaderValue};
use http::{Response, StatusCode};
use http_body::Frame;
use http_body_util::{BodyExt, StreamBody};
use serde::{Deserialize, Serialize};
use trefoil_core::{DomainName, ResourceName, Revision, Tick, UnixMillis};
use trefoil_http::{Body, BodyError};

use super::{DomainStatus, Operator, text_response};
use crate::journal::Change;

/// Maximum number of concurrent streams.
const STREAMS_MAX: usize = 64;

/// Capacity of the queue to one client, in lines.
const LINES_MAX: usize = 64;

/// Interval of the queries to the hosts while a revision is not in force everywhere. It is short
/// compared with the 3 s in which a change must be in force.
const QUERY_INTERVAL: Duration = Duration::from_millis(250);

/// Maximum time without a line. An empty line is sent after it, so that both sides notice a lost
/// connection.
pub const KEEP_ALIVE: Duration = Duration::from_secs(5);

/// One line of the stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "change", rename_all = "kebab-case")]
pub enum Line {
    /// A change was accepted.
    Accepted {
        /// Revision of the resource since this change.
        revision: Revision,
        /// The resource.
        name: ResourceName,
        /// Wall clock time of the operator that published it.
        accepted: UnixMillis,
    },
    /// A change has come into force in more failure domains.
    InForce {
        /// Revision of the resource since the change.
        revision: Revision,
        /// The resource.
        name: ResourceName,
        /// Failure domains that have begun to serve it since the previous such line.
        domains: Vec<DomainName>,
        /// True if all known failure domains serve it.
        everywhere: bool,
    },
}

impl From<Change> for Line {
    fn from(change: Change) -> Self {
        Self::Accepted {
            revision: change.revision,
            name: change.name,
            accepted: change.accepted,
        }
    }
}

/// The latest replies of the hosts.
#[derive(Debug, Default)]
pub(super) struct DomainCache {
    latest: async_lock::Mutex<Option<(Tick, Arc<Domains>)>>,
}

type Domains = BTreeMap<DomainName, DomainStatus>;

type Item = Result<Bytes, BodyError>;

/// A permit for one of [`STREAMS_MAX`] streams, returned when it is dropped.
struct StreamPermit {
    streams: Arc<AtomicUsize>,
}

impl StreamPermit {
    fn open(streams: &Arc<AtomicUsize>) -> Option<Self> {
        let stream = Self {
            streams: Arc::clone(streams),
        };
        let open = streams.fetch_add(1, Ordering::SeqCst);
        (open < STREAMS_MAX).then_some(stream)
    }
}

impl Drop for StreamPermit {
    fn drop(&mut self) {
        self.streams.fetch_sub(1, Ordering::SeqCst);
    }
}

/// A revision that is not in force everywhere, and the domains that were reported to the client.
#[derive(Debug)]
struct Pending {
    revision: Revision,
    reported: BTreeSet<DomainName>,
}

/// The state of one stream.
struct Watcher {
    operator: Arc<Operator>,
    cursor: Revision,
    pending: BTreeMap<ResourceName, Pending>,
    lines: Sender<Item>,
    last: Tick,
    _stream: StreamPermit,
}

/// The client has closed the stream or fell too far behind.
struct Disconnected;

impl Operator {
    /// Starts a stream.
    pub(super) fn watch(self: &Arc<Self>, query: Option<&str>) -> Response<Body> {
        let from = match query.map(|q| q.strip_prefix("from=").map(str::parse::<u64>)) {
            None => None,
            Some(Some(Ok(from))) => Some(Revision(from)),
            Some(_) => {
                return text_response(StatusCode::BAD_REQUEST, "the query is not from=REVISION");
            }
        };
        let known = from.map_or(Ok(()), |f| {
            self.shared.journal.changes_after(f, 0).map(drop)
        });
        if let Err(e) = known {
            return text_response(StatusCode::GONE, &e.to_string());
        }
        let Some(stream) = StreamPermit::open(&self.streams) else {
            let reason = "too many clients watch; try another host";
            return text_response(StatusCode::SERVICE_UNAVAILABLE, reason);
        };
        let (lines, received) = async_channel::bounded(LINES_MAX);
        let watcher = Watcher {
            operator: Arc::clone(self),
            cursor: from.unwrap_or_default(),
            pending: BTreeMap::new(),
            lines,
            last: self.shared.clock.now(),
            _stream: stream,
        };
        smol::spawn(watcher.run(from.is_none())).detach();
        let frames = received.map(|item| item.map(Frame::data));
        let mut response = Response::new(BodyExt::boxed(StreamBody::new(frames)));
        let kind = HeaderValue::from_static("application/x-ndjson");
        response.headers_mut().insert(CONTENT_TYPE, kind);
        response
    }

    /// Returns the status of the failure domains, at most [`QUERY_INTERVAL`] old.
    async fn recent_domains(&self) -> Arc<Domains> {
        let mut latest = self.domain_cache.latest.lock().await;
        let now = self.shared.clock.now();
        match &*latest {
            Some((at, domains)) if now.since(*at) < QUERY_INTERVAL => Arc::clone(domains),
            _ => {
                let domains = Arc::new(self.query_domains(&self.shared.view()).await);
                *latest = Some((self.shared.clock.now(), Arc::clone(&domains)));
                domains
            }
        }
    }
}

impl Watcher {
    async fn run(mut self, with_current: bool) {
        let lines = self.lines.clone();
        let disconnected = async {
            lines.closed().await;
            Err(Disconnected)
        };
        let follow = async {
            if with_current {
                self.send_current().await?;
            }
            while !self.operator.shared.is_draining() {
                self.send_changes().await?;
                self.send_in_force().await?;
                self.wait_for_change().await?;
            }
            Ok(())
        };
        // When the host drains, the stream ends regularly, because no change was skipped.
        let _ = follow.or(disconnected).await;
    }

    async fn send(&mut self, line: &Line) -> Result<(), Disconnected> {
        // A line contains only strings, numbers and lists, so encoding cannot fail.
        let mut data = serde_json::to_vec(line).unwrap_or_default();
        data.push(b'\n');
        self.send_raw(data).await
    }

    async fn send_raw(&mut self, data: Vec<u8>) -> Result<(), Disconnected> {
        self.last = self.operator.shared.clock.now();
        self.lines.send(Ok(data.into())).await.or(Err(Disconnected))
    }

    /// Sends the resources in force, ordered by revision.
    async fn send_current(&mut self) -> Result<(), Disconnected> {
        let view = self.operator.shared.view();
        let mut resources: Vec<_> = view.resources.values().collect();
        resources.sort_by_key(|r| r.revision);
        for resource in resources {
            self.send_accepted(Change {
                revision: resource.revision,
                name: resource.name.clone(),
                accepted: resource.accepted,
            })
            .await?;
        }
        self.cursor = view.revision;
        Ok(())
    }

    async fn send_accepted(&mut self, change: Change) -> Result<(), Disconnected> {
        let pending = Pending {
            revision: change.revision,
            reported: BTreeSet::new(),
        };
        self.cursor = change.revision;
        self.pending.insert(change.name.clone(), pending);
        self.send(&change.into()).await
    }

    /// Sends the changes that were accepted after the cursor.
    async fn send_changes(&mut self) -> Result<(), Disconnected> {
        loop {
            let journal = &self.operator.shared.journal;
            let changes = match journal.changes_after(self.cursor, LINES_MAX) {
                Ok(changes) if changes.is_empty() => return Ok(()),
                Ok(changes) => changes,
                Err(e) => {
                    let _ = self.lines.send(Err(Box::new(e))).await;
                    return Err(Disconnected);
                }
            };
            for change in changes {
                self.send_accepted(change).await?;
            }
        }
    }

    /// Sends the domains in which pending revisions have come into force.
    async fn send_in_force(&mut self) -> Result<(), Disconnected> {
        if self.pending.is_empty() {
            return Ok(());
        }
        let status = self.operator.recent_domains().await;
        let mut lines = Vec::new();
        self.pending.retain(|name, pending| {
            let serves = |s: &DomainStatus| {
                s.silent == 0 && s.revision.is_some_and(|r| r >= pending.revision)
            };
            let serving = || status.iter().filter(|(_, s)| serves(s)).map(|(d, _)| d);
            let domains: Vec<_> = serving()
                .filter(|d| !pending.reported.contains(*d))
                .cloned()
                .collect();
            let everywhere = !status.is_empty() && serving().count() == status.len();
            if !domains.is_empty() {
                pending.reported.extend(domains.iter().cloned());
                lines.push(Line::InForce {
                    revision: pending.revision,
                    name: name.clone(),
                    domains,
                    everywhere,
                });
            }
            !everywhere
        });
        for line in lines {
            self.send(&line).await?;
        }
        Ok(())
    }

    /// Waits for the next change, the next query to the hosts or the next keep-alive line.
    async fn wait_for_change(&mut self) -> Result<(), Disconnected> {
        let shared = Arc::clone(&self.operator.shared);
        let due = self.last.after(KEEP_ALIVE);
        let until = if self.pending.is_empty() {
            due
        } else {
            due.min(shared.clock.now().after(QUERY_INTERVAL))
        };
        let cursor = self.cursor;
        shared
            .wait_until(until, |s| {
                let changes = s.journal.changes_after(cursor, 1);
                s.is_draining() || changes.map_or(true, |c| !c.is_empty())
            })
            .await;
        if shared.clock.now() >= due {
            self.send_raw(b"\n".to_vec()).await?;
        }
        Ok(())
    }
}
