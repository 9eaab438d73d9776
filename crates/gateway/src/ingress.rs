//! Admission of callers' requests.

mod tracked;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use futures_lite::FutureExt;
use futures_lite::future::BoxedLocal;
use http::StatusCode;
use http::header::HOST;
use slog::info;
use smol::Task;
use trefoil_core::Key;
use trefoil_http::h1::{Answer, Handler, Limits, MemoryShare, RejectReason, Request, RequestHead};
use trefoil_route::{Delivery, Idempotency, Route, RouteName, Router, Spread};

use crate::cause::{Cause, Ending};
use crate::forward::{Completion, Job, forward, service_unavailable};
use crate::host::Host;
use crate::request_log::{self, RequestGuard};

/// Limits on callers before the first configuration is in force.
const UNCONFIGURED_LIMITS: Limits = Limits {
    head: 16 * 1024,
    body: 1024 * 1024,
    request_timeout: Duration::from_secs(3),
    idle_timeout: Duration::from_secs(15),
};

/// `Retry-After` while the host has no configuration, or does not know the evacuated domains.
const UNCONFIGURED_RETRY_AFTER: Duration = Duration::from_millis(500);

/// `Retry-After` while the memory for requests is in use. Another host may have some at once.
const NO_MEMORY_RETRY_AFTER: Duration = Duration::from_millis(200);

/// Timeout of requests that state none, before the limit of the route.
const CALLER_TIMEOUT_MAX: Duration = Duration::from_mins(1);

/// Handler of callers' requests.
#[derive(Debug)]
pub struct Ingress {
    host: Rc<Host>,
    spreads: RefCell<HashMap<RouteName, Spread>>,
}

/// Detaches the task of a request that must not be interrupted when its caller has gone, instead of
/// cancelling it.
struct DetachOnDrop<T> {
    host: Rc<Host>,
    task: Option<Task<T>>,
    caller_gone: Rc<Cell<bool>>,
}

impl<T> Drop for DetachOnDrop<T> {
    fn drop(&mut self) {
        self.caller_gone.set(true);
        if let Some(task) = self.task.take() {
            task.detach();
            self.host.waiting.wake_abandoned();
        }
    }
}

impl Ingress {
    /// Creates the ingress of a host.
    pub fn new(host: Rc<Host>) -> Rc<Self> {
        Rc::new(Self {
            host,
            spreads: RefCell::default(),
        })
    }

    fn select_service(&self, route: &Route) -> Option<trefoil_core::ServiceName> {
        if let [only] = route.targets.as_slice() {
            return Some(only.service.clone());
        }
        let mut spreads = self.spreads.borrow_mut();
        let spread = spreads
            .entry(route.name.clone())
            .or_insert_with(|| Spread::new(rand::random()));
        spread.next(&route.targets).map(|t| t.service.clone())
    }

    /// Builds the job of a request, or the answer that refuses it.
    fn build_job(&self, request: Request) -> Result<Job, Box<Completion>> {
        let host = &self.host;
        let now = host.now();
        let Some(router) = host.router() else {
            return Err(Box::new(Completion {
                answer: service_unavailable(UNCONFIGURED_RETRY_AFTER),
                cause: Cause::NoConfig,
            }));
        };
        if host.lacks_evacuations() {
            return Err(Box::new(Completion {
                answer: service_unavailable(UNCONFIGURED_RETRY_AFTER),
                cause: Cause::NoEvacuations,
            }));
        }
        if !request.head.headers.contains_key(HOST) {
            return Err(Box::new(refusal(StatusCode::BAD_REQUEST, Cause::NoHost)));
        }
        let Some(route) = find_route(&router, &request.head) else {
            return Err(Box::new(refusal(StatusCode::NOT_FOUND, Cause::NoRoute)));
        };
        let Some(service) = self.select_service(&route) else {
            return Err(Box::new(refusal(StatusCode::NOT_FOUND, Cause::NoService)));
        };
        let header_names = host.platform.header_names();
        let text = |name| {
            let value = request.head.headers.get(name);
            value.and_then(|v: &http::HeaderValue| v.to_str().ok())
        };
        let caller_timeout =
            text(&header_names.deadline).and_then(|v| v.trim().parse::<f64>().ok());
        let caller_timeout =
            caller_timeout.and_then(|ms| Duration::try_from_secs_f64(ms / 1000.0).ok());
        let timeout = route
            .timeout
            .min(caller_timeout.unwrap_or(CALLER_TIMEOUT_MAX));
        let keyed = router.service(&service).is_some_and(|s| s.keyed);
        let key = text(&header_names.key).filter(|_| keyed);
        let key = key.and_then(|v| v.trim().parse::<Key>().ok());
        if keyed && key.is_none() {
            return Err(Box::new(refusal(StatusCode::BAD_REQUEST, Cause::NoKey)));
        }
        if let Some(key) = key {
            host.peers.borrow_mut().record_keys(&service, [key]);
        }
        let deadline = now.after(timeout);
        if host.ends_before(now, deadline, route.idempotency) {
            return Err(Box::new(Completion {
                answer: service_unavailable(Duration::ZERO),
                cause: Cause::Stopping,
            }));
        }
        let id = request.head.headers.get(&header_names.request_id).cloned();
        Ok(Job {
            route,
            service,
            key,
            id,
            request,
            arrived: now,
            deadline,
            caller_gone: Rc::default(),
        })
    }

    async fn handle_request(self: Rc<Self>, request: Request) -> Answer {
        let host = Rc::clone(&self.host);
        let id = request
            .head
            .headers
            .get(&host.platform.header_names().request_id);
        let id = request_log::id_text(id).to_owned();
        let job = match self.build_job(request) {
            Ok(job) => job,
            Err(end) => {
                request_log::record_refused(&host, &id, end.answer.status, end.cause);
                return end.answer;
            }
        };
        let detaches = job.route.idempotency == Idempotency::AtMostOnce;
        let guard = RequestGuard::new(&host, &job, detaches);
        let end = match job.route.idempotency {
            Idempotency::Idempotent => forward(&host, &job).await,
            Idempotency::AtMostOnce => forward_detached(&host, job).await,
        };
        tracked::complete_request(end, guard)
    }
}

/// Forwards a request in a task of its own, which continues after its caller has gone. Cancelling
/// it would leave its effect unknown.
async fn forward_detached(host: &Rc<Host>, job: Job) -> Completion {
    let caller_gone = Rc::clone(&job.caller_gone);
    let forwarding = {
        let host = Rc::clone(host);
        async move { forward(&host, &job).await }
    };
    let task = host.spawn(forwarding);
    let mut detached = DetachOnDrop {
        host: Rc::clone(host),
        task: Some(task),
        caller_gone,
    };
    match detached.task.as_mut() {
        Some(task) => {
            let end = task.await;
            detached.task = None;
            end
        }
        None => refusal(StatusCode::BAD_GATEWAY, Cause::NotStarted),
    }
}

/// Finds the route of a request.
fn find_route(router: &Router, head: &RequestHead) -> Option<Rc<Route>> {
    let host = head.headers.get(HOST)?.to_str().ok()?;
    router.find(host, head.path()).cloned()
}

fn refusal(status: StatusCode, cause: Cause) -> Completion {
    Completion {
        answer: Answer::empty(status),
        cause,
    }
}

impl Handler for Ingress {
    fn limits(&self) -> Limits {
        self.host.router().map_or(UNCONFIGURED_LIMITS, |router| {
            let limits = router.limits();
            Limits {
                head: usize::try_from(limits.head.0).unwrap_or(usize::MAX),
                body: limits.body.0,
                request_timeout: limits.request_timeout,
                idle_timeout: limits.idle_timeout,
            }
        })
    }

    fn memory(&self) -> Option<MemoryShare> {
        Some(self.host.memory.requests.clone())
    }

    fn may_overlap(&self, head: &RequestHead) -> bool {
        let router = self.host.router();
        let route = router.and_then(|router| find_route(&router, head));
        // The upstream of a streamed answer could not send while an earlier answer is written, and
        // has little memory for what it cannot send.
        route.is_some_and(|route| {
            route.idempotency == Idempotency::Idempotent && route.delivery == Delivery::Collected
        })
    }

    fn handle(self: Rc<Self>, request: Request) -> BoxedLocal<Answer> {
        self.handle_request(request).boxed_local()
    }

    fn reject(&self, reason: RejectReason) -> Answer {
        info!(self.host.log, "request rejected"; "status" => reason.status().as_u16(),
            "cause" => ?reason);
        match reason {
            RejectReason::NoMemory => {
                let outcome = Ending::Refused;
                self.host.metrics.record_request(
                    request_log::NONE,
                    outcome,
                    Cause::NoMemory,
                    Duration::ZERO,
                );
                service_unavailable(NO_MEMORY_RETRY_AFTER)
            }
            _ => Answer::empty(reason.status()),
        }
    }
}
