//! Connections to upstreams.
//!
//! An upstream in trouble may send an earlier answer once more when the next one is due. An answer
//! is therefore matched to its call by the id of the call, which has to be unique on its
//! connection.

use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use futures_lite::FutureExt;
use http::Method;
use http::header::{HeaderName, HeaderValue};
use smallvec::SmallVec;
use trefoil_core::{Clock, Tick};
use trefoil_http::h1::{
    BodyLimit, BodyReader, ClientConnection, EncodedMessage, ExchangeError, Match, Response,
    ResponseHead,
};
use trefoil_reactor::Async;

/// Longest time to open a connection. If the first packet is lost, it is retransmitted only after a
/// second; a new attempt is faster.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Idle time after which a connection is not used, unless the upstream states a shorter one.
/// Otherwise the upstream may close the connection at the moment at which a request is sent on it,
/// and idle connections of all hosts take up what the upstream accepts.
pub(crate) const IDLE_MAX: Duration = Duration::from_secs(8);

/// Margin before the upstream's stated idle limit at which a connection is no longer used.
const IDLE_MARGIN: Duration = Duration::from_millis(500);

/// Most idle connections for each upstream.
pub(crate) const IDLE_LINKS_MAX: usize = 8;

/// Refusals on a connection after which it is no longer used, which bounds the memory for their
/// ids.
const REFUSALS_MAX: usize = 32;

/// Calls that a connection carries.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Traffic {
    /// Requests of callers.
    Requests,
    /// Ownership orders, whose answers the upstream gives the id of the order.
    Orders,
}

/// Id of a call.
#[derive(Debug, Clone, Copy)]
pub struct CallId<'a> {
    /// Header field of the id.
    pub name: &'a HeaderName,
    /// The id, if the call has one.
    pub value: Option<&'a HeaderValue>,
}

/// A connection to an upstream.
#[derive(Debug)]
pub struct UpstreamLink {
    connection: ClientConnection<Async<TcpStream>>,
    /// The connection has carried a call.
    used: bool,
    /// Hashes of the ids of the calls that were refused on this connection.
    refused: SmallVec<[u64; 4]>,
}

impl UpstreamLink {
    fn new(stream: Async<TcpStream>) -> Self {
        Self {
            connection: ClientConnection::new(stream).with_recheck(Async::recheck_input),
            used: false,
            refused: SmallVec::new(),
        }
    }

    /// Sends an encoded call and reads the whole answer to it. Answers to other calls are skipped.
    ///
    /// # Errors
    ///
    /// Fails as [`ClientConnection::exchange`] does.
    pub async fn exchange(
        &mut self,
        method: &Method,
        call: EncodedMessage,
        id: CallId<'_>,
        limit: &BodyLimit,
    ) -> Result<Response, ExchangeError> {
        let classify = self.classifier(id);
        self.connection
            .exchange(method, call, limit, classify)
            .await
    }

    /// Sends an encoded call and reads the head of the answer to it, see
    /// [`ClientConnection::exchange_streamed`].
    ///
    /// # Errors
    ///
    /// Fails as [`ClientConnection::exchange_streamed`] does.
    pub async fn exchange_streamed(
        &mut self,
        method: &Method,
        call: EncodedMessage,
        id: CallId<'_>,
        limit: &BodyLimit,
    ) -> Result<(Response, Option<BodyReader>), ExchangeError> {
        let classify = self.classifier(id);
        self.connection
            .exchange_streamed(method, call, limit, classify)
            .await
    }

    /// Reads the next piece of a body, see [`ClientConnection::poll_body`].
    pub(crate) fn poll_body(
        &mut self,
        cx: &mut Context<'_>,
        body: &mut BodyReader,
    ) -> Poll<Result<Option<Bytes>, String>> {
        self.connection.poll_body(cx, body)
    }

    /// Returns the function that decides whether an answer belongs to the next call.
    fn classifier<'a>(&mut self, id: CallId<'a>) -> impl Fn(&ResponseHead) -> Match + 'a {
        let reused = std::mem::replace(&mut self.used, true);
        move |head| match (head.headers.get(id.name), id.value) {
            (Some(answered), Some(id)) if answered == id => Match::Own,
            // On a new connection, an answer without an id can only belong to this call.
            (None, _) | (_, None) if !reused => Match::Own,
            _ => Match::Other,
        }
    }

    /// Records that a call with this id was refused. A retry of it needs another connection, on
    /// which the refusal cannot arrive once more.
    pub fn record_refusal(&mut self, id: Option<&HeaderValue>) {
        self.refused.extend(id.map(hash));
    }

    /// Returns true if no answer to an earlier call can be taken for that to a call with this id.
    fn may_carry(&self, id: Option<&HeaderValue>) -> bool {
        match id {
            Some(id) => !self.refused.contains(&hash(id)),
            None => !self.used,
        }
    }

    fn is_reusable(&mut self) -> bool {
        self.refused.len() < REFUSALS_MAX && self.connection.is_reusable()
    }
}

fn hash(id: &HeaderValue) -> u64 {
    let mut hasher = DefaultHasher::new();
    id.hash(&mut hasher);
    hasher.finish()
}

#[derive(Debug)]
struct IdleLink {
    link: UpstreamLink,
    since: Tick,
}

/// Idle connections to upstreams.
#[derive(Debug)]
pub struct Pool {
    /// By address and traffic, oldest first.
    kept: HashMap<(SocketAddr, Traffic), Vec<IdleLink>>,
    /// Number of connections to all addresses.
    count: usize,
    /// Largest value of `count`.
    max: usize,
    orders: u64,
}

impl Pool {
    /// Creates a pool that keeps up to `max` connections.
    pub fn new(max: usize) -> Self {
        Self {
            kept: HashMap::new(),
            count: 0,
            max,
            orders: 0,
        }
    }

    /// Takes a connection that has been idle for less than `idle` and may carry a call with the id
    /// `id`.
    pub fn take(
        &mut self,
        now: Tick,
        (address, traffic): (SocketAddr, Traffic),
        idle: Duration,
        id: Option<&HeaderValue>,
    ) -> Option<UpstreamLink> {
        let kept = self.kept.get_mut(&(address, traffic))?;
        let before = kept.len();
        let mut unsuitable = SmallVec::<[IdleLink; 2]>::new();
        let mut found = None;
        while let Some(mut newest) = kept.pop() {
            newest.link.connection.get_ref().recheck_input();
            let usable = now.since(newest.since) < max_idle(&newest.link).min(idle)
                && newest.link.is_reusable();
            match () {
                () if !usable => {}
                () if newest.link.may_carry(id) => {
                    found = Some(newest.link);
                    break;
                }
                () => unsuitable.push(newest),
            }
        }
        kept.extend(unsuitable.into_iter().rev());
        self.count -= before - kept.len();
        found
    }

    /// Keeps a connection for the next call if it can carry one. Returns whether it does.
    pub fn put(&mut self, now: Tick, from: (SocketAddr, Traffic), link: UpstreamLink) -> bool {
        self.put_within(now, from, link, IDLE_LINKS_MAX)
    }

    /// Keeps a connection like [`put`](Self::put) if fewer than `most` to its address are kept.
    pub fn put_within(
        &mut self,
        now: Tick,
        (address, traffic): (SocketAddr, Traffic),
        mut link: UpstreamLink,
        most: usize,
    ) -> bool {
        let kept = self.kept.entry((address, traffic)).or_default();
        let keeps = kept.len() < most.min(IDLE_LINKS_MAX) && link.is_reusable();
        if keeps {
            kept.push(IdleLink { link, since: now });
            self.count += 1;
            self.close_surplus();
        }
        keeps
    }

    /// Closes the connection that has been idle for longest if there are too many.
    fn close_surplus(&mut self) {
        if self.count <= self.max {
            return;
        }
        let oldest = self.kept.values_mut().filter(|kept| !kept.is_empty());
        if let Some(kept) = oldest.min_by_key(|kept| kept[0].since) {
            kept.remove(0);
            self.count -= 1;
        }
    }

    /// Closes the idle connections to an address.
    pub fn close(&mut self, address: SocketAddr) {
        self.kept.retain(|(other, _), _| *other != address);
        self.count = self.kept.values().map(Vec::len).sum();
    }

    /// Closes the connections that have been idle for too long.
    pub fn expire(&mut self, now: Tick) {
        for kept in self.kept.values_mut() {
            kept.retain(|k| now.since(k.since) < max_idle(&k.link));
        }
        self.kept.retain(|_, kept| !kept.is_empty());
        self.count = self.kept.values().map(Vec::len).sum();
    }

    /// An id for an order that no other order of this process has.
    pub fn next_order_id(&mut self) -> Option<HeaderValue> {
        self.orders += 1;
        HeaderValue::from_str(&format!("order-{}", self.orders)).ok()
    }
}

fn max_idle(link: &UpstreamLink) -> Duration {
    let stated = link
        .connection
        .keep_alive_timeout()
        .map(|l| l.saturating_sub(IDLE_MARGIN));
    stated.map_or(IDLE_MAX, |l| l.min(IDLE_MAX))
}

/// Opens a connection.
///
/// # Errors
///
/// Fails if the connection is refused or not open within [`CONNECT_TIMEOUT`].
pub async fn connect(clock: &dyn Clock, address: SocketAddr) -> io::Result<UpstreamLink> {
    let timeout = async {
        clock.sleep(CONNECT_TIMEOUT).await;
        Err(io::ErrorKind::TimedOut.into())
    };
    let stream = Async::<TcpStream>::connect(address).or(timeout).await?;
    // A request is sent in one write; Nagle's algorithm would only delay it.
    stream.get_ref().set_nodelay(true)?;
    Ok(UpstreamLink::new(stream))
}
