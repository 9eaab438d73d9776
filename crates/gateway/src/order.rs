//! Sending ownership orders to upstreams.

use std::time::Duration;

use futures_lite::FutureExt;
use http::header::{HeaderMap, HeaderValue};
use trefoil_http::h1::{ClientConnection, Match, Sent, encode_request};
use trefoil_ranges::{Order, OrderKind, OrderOutcome};

use crate::forward::FRESH_IDLE_MAX;
use crate::host::Host;
use crate::pool;

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
    let bytes = encode_request(&call.method, &call.target, &headers, &call.body);
    let pooled = host
        .pool
        .borrow_mut()
        .take(host.now(), address, FRESH_IDLE_MAX);
    let mut link: ClientConnection<_> = match pooled {
        Some(link) => link,
        None => match pool::connect(&*host.clock, address).await {
            Ok(link) => link,
            Err(_) => return OrderOutcome::NotApplied,
        },
    };
    if host.now().since(decided_at) > ORDER_AGE_MAX {
        return OrderOutcome::NotApplied;
    }
    let timeout = async {
        host.clock.sleep(span).await;
        None
    };
    let own = |_: &trefoil_http::h1::ResponseHead| Match::Own;
    let exchange = async {
        Some(
            link.exchange(&call.method, bytes, &host.memory.answer_limit, own)
                .await,
        )
    };
    match exchange.or(timeout).await {
        Some(Ok(reply)) => {
            host.pool.borrow_mut().put(host.now(), address, link);
            host.platform.decode_order_answer(order, &reply.head)
        }
        Some(Err(error)) if error.sent == Sent::Nothing => OrderOutcome::NotApplied,
        _ => OrderOutcome::NoAnswer,
    }
}
