//! The port for operators: health, metrics, resources and status.

pub mod watch;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::time::Duration;

use bytes::Bytes;
use futures_lite::FutureExt;
use futures_lite::future::Boxed;
use http::header::{CONNECTION, CONTENT_TYPE, HeaderValue};
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use serde::Serialize;
use trefoil_core::{DomainName, HostName, ResourceName, Revision, ServiceName, UpstreamName};
use trefoil_http::{Body, Service, full};
use trefoil_log::log::RECORD_MAX;
use trefoil_log::{
    Body as RecordBody, HostRecord, Resource, SignedRecord, SubmitError, Verdict, View,
};
use trefoil_wire::{Peers, decode, encode};

use crate::message::{Message, Reply};
use crate::report::deployment_report;
use crate::shared::Shared;

/// Timeout for an operator's record to be replayed after its append.
const SUBMIT_TIMEOUT: Duration = Duration::from_secs(5);

/// Timeout of a query for a host's revision.
const QUERY_TIMEOUT: Duration = Duration::from_millis(500);

/// The port for operators.
#[derive(Debug)]
pub struct Operator {
    shared: Arc<Shared>,
    peers: Arc<dyn Peers>,
    domain_cache: watch::DomainCache,
    streams: Arc<AtomicUsize>,
}

/// Revision in force in a failure domain.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct DomainStatus {
    /// Lowest revision of the domain's hosts that replied.
    pub revision: Option<Revision>,
    /// Number of hosts that replied.
    pub hosts: u32,
    /// Number of hosts that did not reply.
    pub silent: u32,
}

/// A resource with its status.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct ResourceStatus {
    /// The resource.
    pub resource: Resource,
    /// Status of each failure domain.
    pub domains: BTreeMap<DomainName, DomainStatus>,
    /// True if every known host serves this revision of the resource.
    pub everywhere: bool,
}

/// Status of the deployment as this host sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Status {
    /// Name of this host.
    pub host: HostName,
    /// Revision of this host.
    pub revision: Revision,
    /// True if this host is ready for new callers.
    pub ready: bool,
    /// State of log replay, with the reason if it does not progress.
    pub log: String,
    /// Record format in force.
    pub level: u16,
    /// Live hosts by name.
    pub hosts: Vec<HostStatus>,
    /// Upstreams with their dispatchers and shards.
    pub upstreams: Vec<UpstreamStatus>,
}

/// A host in the [`Status`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct HostStatus {
    /// Name of the host.
    pub name: HostName,
    /// Failure domain of the host.
    pub domain: DomainName,
    /// Address for callers.
    pub caller: SocketAddr,
}

/// An upstream in the [`Status`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct UpstreamStatus {
    /// Name of the upstream.
    pub name: UpstreamName,
    /// The service of the upstream.
    pub service: ServiceName,
    /// The host that is assigned as its dispatcher.
    pub dispatcher: Option<HostName>,
    /// Number of shards that it owns.
    pub shards: usize,
}

impl Operator {
    /// Creates the handler of a host's operators' port.
    pub fn new(shared: Arc<Shared>, peers: Arc<dyn Peers>) -> Self {
        Self {
            shared,
            peers,
            domain_cache: watch::DomainCache::default(),
            streams: Arc::default(),
        }
    }

    async fn handle_request(self: &Arc<Self>, request: Request<Incoming>) -> Response<Body> {
        let path = request.uri().path().to_owned();
        match (request.method(), path.as_str()) {
            (&Method::GET, "/livez") => text_response(StatusCode::OK, "ok"),
            (&Method::GET, "/readyz") if self.shared.is_ready() => {
                text_response(StatusCode::OK, "ok")
            }
            (&Method::GET, "/readyz") => {
                text_response(StatusCode::SERVICE_UNAVAILABLE, "not ready")
            }
            (&Method::GET, "/metrics") => self.metrics(),
            (&Method::GET, "/v1/status") => {
                json_response(StatusCode::OK, &build_status(&self.shared))
            }
            (&Method::GET, "/v1/resources") => {
                let view = self.shared.view();
                json_response(StatusCode::OK, &view.resources.values().collect::<Vec<_>>())
            }
            (&Method::GET, "/v1/report") => self.report(request.uri().query()).await,
            (&Method::GET, "/v1/watch") => self.watch(request.uri().query()),
            (&Method::POST, "/v1/records") => self.record(request).await,
            (&Method::POST, "/v1/drain") => {
                self.shared.start_drain();
                text_response(StatusCode::ACCEPTED, "draining")
            }
            (&Method::GET, _) => match path.strip_prefix("/v1/resources/") {
                Some(name) => self.resource(name).await,
                None => text_response(StatusCode::NOT_FOUND, "no such call"),
            },
            _ => text_response(StatusCode::NOT_FOUND, "no such call"),
        }
    }

    fn metrics(&self) -> Response<Body> {
        let kind = "application/openmetrics-text; version=1.0.0; charset=utf-8";
        match self.shared.metrics.encode() {
            Ok(metrics) => {
                let mut response = Response::new(full(metrics));
                response
                    .headers_mut()
                    .insert(CONTENT_TYPE, HeaderValue::from_static(kind));
                response
            }
            Err(e) => text_response(StatusCode::INTERNAL_SERVER_ERROR, &e.to_string()),
        }
    }

    async fn report(&self, query: Option<&str>) -> Response<Body> {
        let format = query.map_or(Some("text"), |q| q.strip_prefix("format="));
        let report = match format {
            Some("text" | "json" | "html") => deployment_report(&self.shared, &self.peers).await,
            _ => return text_response(StatusCode::BAD_REQUEST, "format is text, json or html"),
        };
        let (kind, page) = match format {
            Some("json") => match report.to_json() {
                Ok(json) => ("application/json", json),
                Err(e) => return text_response(StatusCode::INTERNAL_SERVER_ERROR, &e.to_string()),
            },
            Some("html") => ("text/html; charset=utf-8", report.to_html()),
            _ => ("text/plain; charset=utf-8", report.to_text()),
        };
        let mut response = Response::new(full(page));
        let kind = HeaderValue::from_static(kind);
        response.headers_mut().insert(CONTENT_TYPE, kind);
        response
    }

    async fn record(&self, request: Request<Incoming>) -> Response<Body> {
        let body = match Limited::new(request.into_body(), RECORD_MAX)
            .collect()
            .await
        {
            Ok(body) => body.to_bytes(),
            Err(e) => {
                let mut response = text_response(StatusCode::PAYLOAD_TOO_LARGE, &e.to_string());
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(CONNECTION, close);
                return response;
            }
        };
        if let Some(refusal) = check_resource(&body) {
            return refusal;
        }
        let until = self.shared.clock.now().after(SUBMIT_TIMEOUT);
        match self.shared.submit(body, until).await {
            Ok(verdict @ Verdict::Conflict { .. }) => json_response(StatusCode::CONFLICT, &verdict),
            Ok(verdict @ Verdict::Rejected { .. }) => {
                json_response(StatusCode::UNPROCESSABLE_ENTITY, &verdict)
            }
            Ok(verdict) => json_response(StatusCode::OK, &verdict),
            Err(e @ SubmitError::BadRecord { .. }) => {
                text_response(StatusCode::BAD_REQUEST, &e.to_string())
            }
            Err(e @ SubmitError::NotAppended { .. }) => {
                text_response(StatusCode::SERVICE_UNAVAILABLE, &e.to_string())
            }
            // The record may be in the log, so the answer must not look like a rejection.
            Err(e @ SubmitError::Unknown { .. }) => {
                text_response(StatusCode::BAD_GATEWAY, &e.to_string())
            }
        }
    }

    async fn resource(&self, name: &str) -> Response<Body> {
        let view = self.shared.view();
        let resource = name
            .parse::<ResourceName>()
            .ok()
            .and_then(|n| view.resources.get(&n));
        let Some(resource) = resource else {
            return text_response(
                StatusCode::NOT_FOUND,
                &format!("no resource is named {name:?}"),
            );
        };
        let domains = self.query_domains(&view).await;
        let serves =
            |d: &DomainStatus| d.silent == 0 && d.revision.is_some_and(|r| r >= resource.revision);
        let everywhere = domains.values().all(serves);
        json_response(
            StatusCode::OK,
            &ResourceStatus {
                resource: Resource::clone(resource),
                domains,
                everywhere,
            },
        )
    }

    /// Queries all live hosts for the revision that they serve.
    async fn query_domains(&self, view: &View) -> BTreeMap<DomainName, DomainStatus> {
        let asked: Vec<_> = view
            .hosts
            .values()
            .map(|host| {
                (
                    host.domain.clone(),
                    smol::spawn(self.query_revision(host, view.revision)),
                )
            })
            .collect();
        let mut domains = BTreeMap::<_, DomainStatus>::new();
        for (domain, answer) in asked {
            let status = domains.entry(domain).or_default();
            match answer.await {
                Some(revision) => {
                    status.hosts += 1;
                    status.revision = Some(status.revision.map_or(revision, |r| r.min(revision)));
                }
                None => status.silent += 1,
            }
        }
        domains
    }

    fn query_revision(&self, host: &HostRecord, sender: Revision) -> Boxed<Option<Revision>> {
        let (shared, peers) = (Arc::clone(&self.shared), Arc::clone(&self.peers));
        let (id, address) = (host.id, host.addresses.peer);
        async move {
            if id == shared.host.id {
                return Some(shared.view().revision);
            }
            let message = encode(&Message::Revision { sender }).ok()?;
            let timeout = async {
                shared.clock.sleep(QUERY_TIMEOUT).await;
                None
            };
            let reply = async { peers.call(address, message).await.ok() }
                .or(timeout)
                .await?;
            match decode::<Reply>(&reply).ok()? {
                Reply::Revision { revision } => Some(revision),
                _ => None,
            }
        }
        .boxed()
    }
}

impl Service for Operator {
    fn handle(
        self: Arc<Self>,
        _peer: SocketAddr,
        request: Request<Incoming>,
    ) -> Boxed<Response<Body>> {
        async move { self.handle_request(request).await }.boxed()
    }

    fn refusal(&self, status: StatusCode) -> Response<Bytes> {
        let reason = status.canonical_reason().unwrap_or("bad request");
        plain_response(status, reason)
    }
}

/// Returns a refusal if the resource in a record violates the rules for resource files. Replay
/// cannot check them: the rules differ between versions, and all hosts must reach the same view.
fn check_resource(record: &[u8]) -> Option<Response<Body>> {
    let envelope = SignedRecord::decode(record)
        .and_then(|s| s.envelope())
        .ok()?;
    let RecordBody::Config(routing) = envelope.body else {
        return None;
    };
    let findings = routing.check().err()?;
    let reason = format!("the resource has {} mistakes:\n{findings}", findings.len());
    let verdict = Verdict::Rejected { reason };
    Some(json_response(StatusCode::UNPROCESSABLE_ENTITY, &verdict))
}

fn build_status(shared: &Shared) -> Status {
    let view = shared.view();
    let mut upstreams = Vec::new();
    for service in view.services() {
        for upstream in &service.upstreams {
            let assignment = view.records.assignment(&upstream.name);
            let dispatcher = assignment.and_then(|a| a.hosts.first());
            let dispatcher = dispatcher.and_then(|id| view.hosts.get(id));
            let table = view.tables.get(&service.name);
            let member = table.and_then(|t| t.member(&upstream.name));
            let owned = |t: &trefoil_placement::Table| {
                t.replica_sets()
                    .iter()
                    .filter(|s| Some(s.owner) == member)
                    .count()
            };
            upstreams.push(UpstreamStatus {
                name: upstream.name.clone(),
                service: service.name.clone(),
                dispatcher: dispatcher.map(|h| h.name.clone()),
                shards: table.map_or(0, |t| owned(t)),
            });
        }
    }
    let host = |h: &HostRecord| HostStatus {
        name: h.name.clone(),
        domain: h.domain.clone(),
        caller: h.addresses.caller,
    };
    Status {
        host: shared.host.name.clone(),
        revision: view.revision,
        ready: shared.is_ready(),
        log: shared.replay_state().to_string(),
        level: view.format_level(),
        hosts: view.hosts.values().map(host).collect(),
        upstreams,
    }
}

fn json_response<T>(status: StatusCode, value: &T) -> Response<Body>
where
    T: Serialize,
{
    let (status, data) = match serde_json::to_vec(value) {
        Ok(data) => (status, Bytes::from(data)),
        Err(e) => (
            StatusCode::INTERNAL_SERVER_ERROR,
            Bytes::from(e.to_string()),
        ),
    };
    let mut response = Response::new(full(data));
    *response.status_mut() = status;
    let kind = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, kind);
    response
}

fn text_response(status: StatusCode, message: &str) -> Response<Body> {
    plain_response(status, message).map(full)
}

fn plain_response(status: StatusCode, message: &str) -> Response<Bytes> {
    let mut response = Response::new(Bytes::from(format!("{message}\n")));
    *response.status_mut() = status;
    let kind = HeaderValue::from_static("text/plain; charset=utf-8");
    response.headers_mut().insert(CONTENT_TYPE, kind);
    response
}
