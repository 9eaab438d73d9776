//! Startup and shutdown of a host.

use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use futures_lite::FutureExt;
use futures_lite::future::BoxedLocal;
use http::{HeaderValue, StatusCode};
use slog::{info, warn};
use smol::Task;
use snafu::{ResultExt, Snafu};
use trefoil_http::h1::{
    Answer, Handler, Limits, RejectReason, Request, RequestHead, ServerConnection, StreamHooks,
};
use trefoil_reactor::Async;

use crate::fetch::PeerHandler;
use crate::host::{Host, StopTimes};
use crate::ingress::Ingress;
use crate::{coordinator, discovery, follow, relay};

/// Wait after a failed accept, for example because the process has no free file descriptor.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Most connections to each address but the callers'.
const SERVICE_CONNECTIONS_MAX: usize = 64;

/// Part of the connections that is closed at once when there are too many.
const SURPLUS_PART: usize = 8;

/// Idle time of the connections that are closed first when there are too many. It is halved until
/// there is room, but no further than to the smallest.
const SURPLUS_IDLE: Duration = Duration::from_secs(1);
const SURPLUS_IDLE_MIN: Duration = Duration::from_millis(100);

/// Most bytes of a streamed answer that the socket keeps for a caller that does not read, as many
/// as the process keeps itself. The socket's buffer counts as memory of the process.
const UNSENT_MAX: u32 = 64 * 1024;

/// Time between two passes that close idle connections and log refused memory.
const HOUSEKEEPING_INTERVAL: Duration = Duration::from_secs(1);

/// Time for which new connections are accepted after the stop signal. The load balancer checks
/// readiness once a second and removes a host after the second failure.
const ACCEPT_AFTER_STOP: Duration = Duration::from_millis(2600);

/// Part of the grace period that is reserved for the end of the process.
const SHUTDOWN_RESERVE: Duration = Duration::from_millis(600);

/// Why a host cannot start or go on.
#[derive(Debug, Snafu)]
pub enum ServeError {
    /// A task that must not end has ended.
    #[snafu(display("the task {name} has ended"))]
    TaskEnded {
        /// Name of the task.
        name: &'static str,
    },
    /// An address cannot be bound.
    #[snafu(display("cannot listen on {address}: {source}"))]
    Bind {
        /// The address.
        address: SocketAddr,
        /// Error of the socket.
        source: std::io::Error,
    },
}

/// Handler of the load balancer's and operators' requests.
#[derive(Debug)]
struct StatusHandler {
    host: Rc<Host>,
}

impl Handler for StatusHandler {
    fn limits(&self) -> Limits {
        Limits {
            head: 16 * 1024,
            body: 0,
            request_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(30),
        }
    }

    fn may_overlap(&self, _head: &RequestHead) -> bool {
        false
    }

    fn handle(self: Rc<Self>, request: Request) -> BoxedLocal<Answer> {
        let answer = match request.head.path() {
            "/metrics" => self.metrics(),
            "/livez" => Answer::empty(StatusCode::OK),
            _ if self.host.is_ready() => Answer::empty(StatusCode::OK),
            _ => Answer::empty(StatusCode::SERVICE_UNAVAILABLE),
        };
        async { answer }.boxed_local()
    }

    fn reject(&self, reason: RejectReason) -> Answer {
        Answer::empty(reason.status())
    }
}

impl StatusHandler {
    fn metrics(&self) -> Answer {
        let mut answer = Answer::empty(StatusCode::OK);
        self.host.update_gauges();
        match self.host.metrics.encode() {
            Ok(text) => {
                let kind = HeaderValue::from_static(
                    "application/openmetrics-text; version=1.0.0; charset=utf-8",
                );
                answer.headers.insert(http::header::CONTENT_TYPE, kind);
                answer.body = text.into();
            }
            Err(error) => {
                warn!(self.host.log, "metrics not encoded"; "reason" => %error);
                answer.status = StatusCode::INTERNAL_SERVER_ERROR;
            }
        }
        answer
    }
}

/// Runs a host until `stop` completes and then until all connections are closed or the grace period
/// is over.
///
/// # Errors
///
/// Fails if an address cannot be bound, and after the shutdown if a permanent task has ended.
pub async fn serve<F>(host: Rc<Host>, stop: F) -> Result<(), ServeError>
where
    F: Future<Output = ()>,
{
    let config = &host.config;
    let callers = bind(config.caller)?;
    let readiness = bind(config.ready)?;
    let operators = bind(config.operator)?;
    let peers = bind(config.peer)?;
    let socket = Async::<UdpSocket>::bind(config.peer).context(BindSnafu {
        address: config.peer,
    })?;
    let socket = Rc::new(socket);
    info!(host.log, "started"; "host" => %config.name, "domain" => %config.domain,
        "incarnation" => %host.id, "caller" => %config.caller, "peer" => %config.peer);
    let probe: Rc<dyn Handler> = Rc::new(StatusHandler {
        host: Rc::clone(&host),
    });
    let ingress: Rc<dyn Handler> = Ingress::new(Rc::clone(&host));
    let _probes = [
        accept_on(&host, "readiness", readiness, Rc::clone(&probe)),
        accept_on(&host, "operators", operators, probe),
        accept_on(&host, "hosts", peers, PeerHandler::new(Rc::clone(&host))),
    ];
    let limit = config.limits.connections();
    let accepting = accept(Rc::clone(&host), callers, ingress, limit);
    let accepting = host.spawn_permanent("callers", accepting);
    let _tasks = [
        host.spawn_permanent("config", follow::follow_config(Rc::clone(&host))),
        host.spawn_permanent("registry", follow::follow_registry(Rc::clone(&host))),
        host.spawn_permanent("discovery", discovery::discover_hosts(Rc::clone(&host))),
        host.spawn_permanent(
            "receiver",
            relay::receive(Rc::clone(&host), Rc::clone(&socket)),
        ),
        host.spawn_permanent("sender", relay::send(Rc::clone(&host), Rc::clone(&socket))),
        host.spawn_permanent("services", coordinator::watch_services(Rc::clone(&host))),
        host.spawn_permanent("tables", coordinator::follow_tables(Rc::clone(&host))),
        host.spawn_permanent("housekeeping", keep_house(Rc::clone(&host))),
    ];
    stop.or(host.ended_task.wait()).await;
    let stopped = host.now();
    info!(host.log, "stopping");
    let grace = host.bounds.get().grace;
    let times = StopTimes {
        late_from: stopped.after(ACCEPT_AFTER_STOP),
        end: stopped.after(grace.saturating_sub(SHUTDOWN_RESERVE)),
    };
    host.leave(times);
    host.stop.close_connections();
    host.events.directory.notify(usize::MAX);
    host.clock.sleep(ACCEPT_AFTER_STOP).await;
    drop(accepting);
    host.stop.close_connections();
    relay::announce_leaving(&host, &socket).await;
    while host.connections.get() > 0 && host.now() < times.end {
        host.clock.sleep(ACCEPT_RETRY_DELAY).await;
    }
    host.running.borrow().log_cut(&host);
    info!(host.log, "stopped"; "connections" => host.connections.get(),
        "after_ms" => host.now().since(stopped).as_millis());
    match host.ended_task.name() {
        Some(name) => TaskEndedSnafu { name }.fail(),
        None => Ok(()),
    }
}

/// Accepts connections of others than callers.
fn accept_on(
    host: &Rc<Host>,
    name: &'static str,
    listener: Async<TcpListener>,
    handler: Rc<dyn Handler>,
) -> Task<()> {
    let accepting = accept(Rc::clone(host), listener, handler, SERVICE_CONNECTIONS_MAX);
    host.spawn_permanent(name, accepting)
}

fn bind(address: SocketAddr) -> Result<Async<TcpListener>, ServeError> {
    Async::<TcpListener>::bind(address).context(BindSnafu { address })
}

/// Accepts connections, at most `limit` at a time.
async fn accept(
    host: Rc<Host>,
    listener: Async<TcpListener>,
    handler: Rc<dyn Handler>,
    limit: usize,
) {
    // Each connection has a clone of the counter.
    let open = Rc::new(());
    loop {
        make_room(&host, &open, limit).await;
        match listener.accept().await {
            Ok((stream, _)) => {
                let task = serve_connection(Rc::clone(&host), stream, Rc::clone(&handler));
                let counted = Rc::clone(&open);
                let task = async move {
                    task.await;
                    drop(counted);
                };
                host.spawn(task).detach();
            }
            Err(error) => {
                warn!(host.log, "cannot accept"; "reason" => %error);
                host.clock.sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Waits until there are fewer than `limit` connections, and closes idle ones. New ones stay in the
/// queue of the listener meanwhile.
async fn make_room(host: &Host, open: &Rc<()>, limit: usize) {
    let count = || Rc::strong_count(open) - 1;
    if count() < limit {
        return;
    }
    warn!(host.log, "connections at limit"; "limit" => limit);
    let mut idle = SURPLUS_IDLE;
    while count() >= limit {
        host.stop.close_idle(limit.div_ceil(SURPLUS_PART), idle);
        host.clock.sleep(ACCEPT_RETRY_DELAY).await;
        idle = (idle / 2).max(SURPLUS_IDLE_MIN);
    }
}

async fn serve_connection(host: Rc<Host>, stream: Async<TcpStream>, handler: Rc<dyn Handler>) {
    // An answer is sent in one write; Nagle's algorithm would only delay it.
    if let Err(error) = stream.get_ref().set_nodelay(true) {
        info!(host.log, "connection lost"; "reason" => %error);
        return;
    }
    host.connections.set(host.connections.get() + 1);
    let (clock, stop) = (Arc::clone(&host.clock), Rc::clone(&host.stop));
    ServerConnection::new(stream, handler, clock, stop)
        .with_hooks(StreamHooks {
            begin: limit_unsent,
            recheck: Async::recheck_output,
        })
        .run()
        .await;
    host.connections.set(host.connections.get() - 1);
}

/// Limits what the socket buffers of a streamed answer. A socket that cannot do so is used as it is.
fn limit_unsent(stream: &Async<TcpStream>) {
    let _ = stream.limit_unsent(UNSENT_MAX);
}

async fn keep_house(host: Rc<Host>) {
    loop {
        host.clock.sleep(HOUSEKEEPING_INTERVAL).await;
        host.pool.borrow_mut().expire(host.now());
        host.memory.log_refusals(&host);
        host.waiting.expire(host.now());
    }
}
