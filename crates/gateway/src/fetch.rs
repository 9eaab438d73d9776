//! Fetching the configuration and the directory from another host.
//!
//! Datagrams only announce that a host has something newer. The data is fetched over a connection
//! to its peer address, so it costs no call of the store.

use std::cell::RefCell;
use std::net::{SocketAddr, TcpStream};
use std::rc::{Rc, Weak};
use std::time::Duration;

use bytes::Bytes;
use futures_lite::FutureExt;
use futures_lite::future::BoxedLocal;
use http::header::{HOST, HeaderName, HeaderValue};
use http::{HeaderMap, Method, StatusCode};
use slog::{debug, info, warn};
use trefoil_core::{HostId, Offset, Tick};
use trefoil_directory::Registration;
use trefoil_http::h1::{
    Answer, BodyLimit, ClientConnection, Handler, Limits, Match, Progress, RejectReason, Request,
    RequestHead, Response, encode_request,
};
use trefoil_reactor::Async;
use trefoil_store::Era;

use crate::evacuation;
use crate::follow::{self, Position};
use crate::freshness::Source;
use crate::host::Host;
use crate::message::{ReadId, SyncStatus};
use crate::peers::whole_millis;

const CONFIG_PATH: &str = "/v1/config";
const DIRECTORY_PATH: &str = "/v1/directory";

/// Position up to which a configuration contains every change, and its era.
const POSITION: HeaderName = HeaderName::from_static("trefoil-config-position");

/// Time without a byte of an answer after which a fetch fails.
const TIMEOUT: Duration = Duration::from_millis(800);

/// Longest time of a fetch.
const FETCH_MAX: Duration = Duration::from_secs(30);

/// Largest answer in bytes. A configuration can have many routes.
const ANSWER_MAX: usize = 8 * 1024 * 1024;

/// Time for which the directory may differ from that of a relay before it is fetched. Usually
/// digests bring the missing changes first.
const DIFFERS_DELAY: Duration = Duration::from_millis(400);

/// A fetch of which one at a time is in flight. It ends when its task drops the progress, also if
/// the task panics.
#[derive(Debug, Default)]
pub(crate) struct InFlight(RefCell<Weak<Progress>>);

impl InFlight {
    /// Returns `true` while a fetch is in flight that has received something.
    pub(crate) fn is_receiving(&self) -> bool {
        let progress = self.0.borrow().upgrade();
        progress.is_some_and(|progress| progress.received() > 0)
    }

    /// Begins a fetch. Returns `None` while one is in flight.
    fn begin(&self) -> Option<Rc<Progress>> {
        if self.0.borrow().strong_count() > 0 {
            return None;
        }
        let progress = Rc::default();
        self.0.replace(Rc::downgrade(&progress));
        Some(progress)
    }
}

/// Handler of the requests of other hosts.
#[derive(Debug)]
pub struct PeerHandler {
    host: Rc<Host>,
}

impl PeerHandler {
    /// Creates the handler of a host.
    pub fn new(host: Rc<Host>) -> Rc<Self> {
        Rc::new(Self { host })
    }
}

impl Handler for PeerHandler {
    fn limits(&self) -> Limits {
        Limits {
            head: 4096,
            body: 0,
            request_timeout: TIMEOUT,
            idle_timeout: TIMEOUT,
        }
    }

    fn may_overlap(&self, _head: &RequestHead) -> bool {
        false
    }

    fn handle(self: Rc<Self>, request: Request) -> BoxedLocal<Answer> {
        let body = match request.head.path() {
            CONFIG_PATH => self.host.raw_config.borrow().clone(),
            DIRECTORY_PATH => encode_directory(&self.host),
            _ => None,
        };
        let mut answer = Answer::empty(StatusCode::OK);
        let position = self.host.config_position.get();
        if let Some(position) = position.filter(|_| request.head.path() == CONFIG_PATH) {
            answer.headers.extend(encode_position(position));
        }
        if request.head.path() == CONFIG_PATH {
            answer.headers.extend(evacuation::encode_field(&self.host));
        }
        match body {
            Some(body) => answer.body = body.into(),
            None => answer.status = StatusCode::NOT_FOUND,
        }
        async { answer }.boxed_local()
    }

    fn reject(&self, reason: RejectReason) -> Answer {
        Answer::empty(reason.status())
    }
}

/// Encodes a position of the configuration. Earlier builds ignore the header field.
fn encode_position(position: Position) -> Option<(HeaderName, HeaderValue)> {
    let text = format!("{} {}", position.offset.0, position.era.0);
    Some((POSITION, HeaderValue::from_str(&text).ok()?))
}

/// Decodes the position of a fetched configuration, unless an earlier build sent it.
fn decode_position(headers: &HeaderMap) -> Option<Position> {
    let text = headers.get(POSITION)?.to_str().ok()?;
    let (offset, era) = text.split_once(' ')?;
    Some(Position {
        offset: Offset(offset.parse().ok()?),
        era: Era(era.parse().ok()?),
    })
}

/// Encodes the directory for a host that copies it. Returns `None` if it must not be copied, or if
/// there is no memory for it.
fn encode_directory(host: &Host) -> Option<Bytes> {
    host.offered_directory()?;
    let directory = host.directory.borrow();
    let all: Vec<&Registration> = directory.iter().map(Rc::as_ref).collect();
    let bytes = postcard::to_allocvec(&(directory.digest(), all)).ok()?;
    let Some(age) = host.directory_age(host.now()) else {
        return host.memory.calls.hold(bytes).ok();
    };
    let read = host.directory_freshness.read();
    let bytes = postcard::to_extend(&(whole_millis(age), read), bytes).ok()?;
    host.memory.calls.hold(bytes).ok()
}

/// The directory of another host.
struct Listing {
    digest: u64,
    listed: Vec<Registration>,
    /// Age of the directory, unless an earlier build sent it.
    age: Option<Duration>,
    /// Read that the age counts from, unless an earlier build sent the directory.
    read: Option<ReadId>,
}

fn decode_directory(body: &[u8]) -> Result<Listing, postcard::Error> {
    let ((digest, listed), rest) = postcard::take_from_bytes(body)?;
    let mut listing = Listing {
        digest,
        listed,
        age: None,
        read: None,
    };
    if !rest.is_empty() {
        let (age_ms, rest) = postcard::take_from_bytes::<u32>(rest)?;
        listing.age = Some(Duration::from_millis(age_ms.into()));
        if !rest.is_empty() {
            listing.read = postcard::from_bytes(rest)?;
        }
    }
    Ok(listing)
}

/// Fetches the configuration of another host, which has reported this status, unless a fetch is in
/// flight.
pub(crate) fn fetch_config(host: &Host, from: HostId, now: Tick, status: SyncStatus) {
    let Some((shared, address, progress)) = begin_fetch(host, from, &host.fetching_config) else {
        return;
    };
    let task = async move {
        let fetched = get(&shared, address, CONFIG_PATH, &progress).await;
        let after = shared.now().since(now);
        let received = progress.received();
        match fetched {
            Ok(Response { head, body }) => {
                info!(shared.log, "configuration fetched"; "from" => %address,
                    "bytes" => received, "after_ms" => after.as_millis());
                // A host without the evacuated domains must not become ready.
                let evacuations = evacuation::decode_field(&head.headers);
                let age = status.config_age().map(|age| age + after);
                let source = evacuation::Source::Copy;
                shared.adopt_evacuations(evacuations.as_ref(), age, source);
                follow::load_config(&shared, &body, status.config_era);
                if let Some(position) = decode_position(&head.headers) {
                    shared.advance_config(position);
                }
                // The report holds for this version, which was not in force when it arrived.
                let same = !shared.has_evacuations() || evacuations.is_some();
                shared.compare_config(now, status, same);
            }
            Err(reason) => {
                warn!(shared.log, "configuration not fetched"; "from" => %address,
                    "version" => status.config_version, "bytes" => received,
                    "after_ms" => after.as_millis(), "reason" => reason);
            }
        }
        drop(progress);
    };
    host.spawn(task).detach();
}

/// Fetches the directory of another host if it differs from this host's: at once if `urgent`, else
/// after [`DIFFERS_DELAY`].
pub(crate) fn fetch_directory(host: &Host, from: HostId, now: Tick, digest: u64, urgent: bool) {
    let same = digest == host.directory.borrow().digest();
    if same {
        host.directory_differs.set(None);
        host.set_directory_loaded();
        return;
    }
    let since = host.directory_differs.get().unwrap_or(now);
    host.directory_differs.set(Some(since));
    if !urgent && now.since(since) < DIFFERS_DELAY {
        return;
    }
    let Some((shared, address, progress)) = begin_fetch(host, from, &host.fetching_directory)
    else {
        return;
    };
    let task = async move {
        match get(&shared, address, DIRECTORY_PATH, &progress).await {
            Ok(response) => apply_directory(&shared, now, &response.body),
            Err(reason) => debug!(shared.log, "directory not fetched"; "from" => %address,
                "reason" => reason),
        }
        drop(progress);
    };
    host.spawn(task).detach();
}

/// Applies the directory of another host, requested at `sent`.
fn apply_directory(host: &Host, sent: Tick, body: &Bytes) {
    match decode_directory(body) {
        Ok(Listing {
            digest,
            listed,
            age,
            read,
        }) => {
            let now = host.now();
            let as_of = age.map(|age| host.copied_as_of(sent, age, read));
            if as_of.is_some() && as_of <= host.directory_freshness.as_of() {
                debug!(host.log, "directory not fetched"; "reason" => "it is older than the own one");
                return;
            }
            let changes = host.directory.borrow_mut().replace_from_peer(now, listed);
            let own = host.directory.borrow().digest();
            info!(host.log, "directory fetched"; "changes" => changes.len(),
                "same" => own == digest);
            host.apply_changes(changes, Source::Copy);
            if let Some(as_of) = as_of {
                host.directory_freshness.confirm(as_of, read);
            }
            host.set_directory_loaded();
            // Digests may bring the remaining differences, so the delay starts again.
            host.directory_differs.set(None);
        }
        Err(reason) => host.log_rejected("directory of a host", &reason),
    }
}

/// Marks a fetch as in flight. Returns `None` if one already is or if the host is unknown.
fn begin_fetch(
    host: &Host,
    from: HostId,
    in_flight: &InFlight,
) -> Option<(Rc<Host>, SocketAddr, Rc<Progress>)> {
    let address = host.peers.borrow().address(from)?;
    Some((host.to_shared()?, address, in_flight.begin()?))
}

async fn get(
    host: &Host,
    address: SocketAddr,
    path: &str,
    progress: &Progress,
) -> Result<Response, String> {
    let timeout = async {
        progress.stalled(&*host.clock, TIMEOUT, FETCH_MAX).await;
        Err("no answer in time".to_owned())
    };
    let exchange = async {
        let stream = Async::<TcpStream>::connect(address).await;
        let link = ClientConnection::new(stream.map_err(|e| e.to_string())?);
        let mut link = link.with_progress(progress);
        let mut headers = HeaderMap::new();
        if let Ok(value) = HeaderValue::from_str(&address.to_string()) {
            headers.insert(HOST, value);
        }
        let request = encode_request(&Method::GET, path, &headers, &Bytes::new());
        let limit = BodyLimit::of_share(ANSWER_MAX, &host.memory.calls);
        let reply = link
            .exchange(&Method::GET, request, &limit, |_| Match::Own)
            .await;
        let reply = reply.map_err(|e| e.to_string())?;
        match reply.head.status {
            StatusCode::OK => Ok(reply),
            status => Err(status.to_string()),
        }
    };
    exchange.or(timeout).await
}
