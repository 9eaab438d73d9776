//! Sending ownership orders to upstreams.
//!
//! An earlier answer that is taken for that to an order would confirm a release that has not
//! happened, or a refusal of a grant that was applied. Each order therefore has an id. An upstream
//! that leaves it out of its answers gets every order on a new connection.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use futures_lite::FutureExt;
use http::header::{HeaderMap, HeaderValue};
use trefoil_http::h1::{Sent, encode_request};
use trefoil_ranges::{Order, OrderKind, OrderOutcome};

use crate::forward::FRESH_IDLE_MAX;
use crate::host::Host;
use crate::limits::Source;
use crate::pool::{self, CallId, Traffic, UpstreamLink};

/// Longest time between the decision and the transmission of an order. The ownership protocol
/// counts a grant from its decision, with a margin for the transmission.
const ORDER_AGE_MAX: Duration = Duration::from_millis(200);

/// Time in which an upstream answers a grant.
const GRANT_TIMEOUT: Duration = Duration::from_millis(600);

/// Time in which an upstream answers a release, which includes finishing the requests in progress.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(3);

/// Sends an order to an upstream and returns its answer.
pub(crate) async fn send_order(host: &Host, order: &Order) -> OrderOutcome {
    let decided_at = host.now();
    let address = host
        .directory
        .borrow()
        .get_recent(&order.incarnation.name)
        .map(|r| r.address);
    let Some(address) = address else {
        return OrderOutcome::NotApplied;
    };
    let span = match order.kind {
        OrderKind::Grant { .. } => GRANT_TIMEOUT,
        OrderKind::Release => RELEASE_TIMEOUT,
    };
    let call = host.platform.encode_order(order);
    let mut headers: HeaderMap = call.headers;
    if let Ok(value) = HeaderValue::from_str(&address.to_string()) {
        headers.insert(http::header::HOST, value);
    }
    let id = host.pool.borrow_mut().next_order_id();
    let id_name = &host.platform.header_names().request_id;
    headers.extend(id.clone().map(|id| (id_name.clone(), id)));
    let bytes = encode_request(&call.method, &call.target, &headers, &call.body);
    let Ok(mut link) = open_link(host, address, id.as_ref()).await else {
        return OrderOutcome::NotApplied;
    };
    if host.now().since(decided_at) > ORDER_AGE_MAX {
        return OrderOutcome::NotApplied;
    }
    let timeout = async {
        host.clock.sleep(span).await;
        None
    };
    let call_id = CallId {
        name: id_name,
        value: id.as_ref(),
    };
    let limit = &host.memory.answer_limit;
    let exchange = async {
        let exchanged = link.exchange(&call.method, bytes, call_id, limit);
        Some(exchanged.await)
    };
    match exchange.or(timeout).await {
        Some(Ok(reply)) => {
            let source = Source {
                upstream: &order.incarnation,
                sent: decided_at,
                carried_out: false,
            };
            host.record_notice(source, &reply.head);
            let repeats_id = id.is_some() && reply.head.headers.get(id_name) == id.as_ref();
            let traffic = if repeats_id {
                Traffic::Orders
            } else {
                Traffic::Requests
            };
            let now = host.now();
            host.pool.borrow_mut().put(now, (address, traffic), link);
            host.platform.decode_order_answer(order, &reply.head)
        }
        Some(Err(error)) if error.sent == Sent::Nothing => OrderOutcome::NotApplied,
        _ => OrderOutcome::NoAnswer,
    }
}

/// Takes or opens a connection on which no earlier answer can be taken for that to the order.
async fn open_link(
    host: &Host,
    address: SocketAddr,
    id: Option<&HeaderValue>,
) -> io::Result<UpstreamLink> {
    let started = host.now();
    let to = (address, Traffic::Orders);
    let pooled = host.pool.borrow_mut().take(started, to, FRESH_IDLE_MAX, id);
    if let Some(link) = pooled {
        return Ok(link);
    }
    let opened = pool::connect(&*host.clock, address).await;
    let span = host.now().since(started);
    host.metrics.record_hop("order_connect", span);
    opened
}
