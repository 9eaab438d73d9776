//! What an ingress reads from a caller's request.

use std::net::SocketAddr;
use std::ops::Deref;
use std::sync::Arc;
use std::time::Duration;

use http::header::{self, HeaderName};
use http::request::Parts;
use http::{HeaderMap, StatusCode, Version};
use trefoil_config::{Key, Service};
use trefoil_core::{KeyHash, RequestId, ServiceName};
use trefoil_log::{Resource, View};
use trefoil_wire::Headers;

use crate::problem::Problem;

/// Header with the caller's request id.
pub const ID_HEADER: &str = "idempotency-key";

/// Header with the caller's deadline in milliseconds from now.
pub const TIMEOUT_HEADER: &str = "trefoil-timeout-ms";

/// Longest key in bytes.
pub const KEY_MAX: usize = 256;

/// Headers that end at each hop (RFC 9110, section 7.6.1).
const HOP_HEADERS: [HeaderName; 8] = [
    header::CONNECTION,
    header::HOST,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Prefixes of headers that only the router may set.
const RESERVED: [&str; 2] = ["trefoil-", "fence-token"];

/// A declared service, held through its resource.
///
/// A copy of the service would copy its upstreams, which took 81 us for each request at 1,000
/// upstreams.
#[derive(Debug, Clone)]
pub struct Declared {
    resource: Arc<Resource>,
    /// Index of the service in the resource, below the number of its services.
    index: usize,
}

impl Declared {
    /// The service of that name in a view.
    pub fn find(view: &View, name: &ServiceName) -> Option<Self> {
        view.resources.values().find_map(|resource| {
            let mut services = resource.spec.services.iter();
            let index = services.position(|s| s.name == *name)?;
            Some(Self {
                resource: Arc::clone(resource),
                index,
            })
        })
    }
}

impl Deref for Declared {
    type Target = Service;

    fn deref(&self) -> &Service {
        &self.resource.spec.services[self.index]
    }
}

/// What a request asks for.
#[derive(Debug, Clone)]
pub struct ParsedRequest {
    /// The service.
    pub service: Declared,
    /// Hash of the key.
    pub key: KeyHash,
    /// Whether the method is idempotent.
    pub idempotent: bool,
    /// The caller's request id.
    pub id: Option<RequestId>,
    /// Time until the deadline.
    pub budget: Duration,
    /// Trace context of the ingress's span, or the caller's if there is no tracing.
    pub trace: Option<String>,
}

impl ParsedRequest {
    /// Reads the head of a request.
    ///
    /// # Errors
    ///
    /// Fails with the problem that the caller is told.
    pub fn read(parts: &Parts, view: &View) -> Result<Self, Box<Problem>> {
        if parts.version == Version::HTTP_11 && text(&parts.headers, "host")?.is_none() {
            return refuse(StatusCode::BAD_REQUEST, "the request has no Host header");
        }
        let path = parts.uri.path();
        let name = path
            .trim_start_matches('/')
            .split('/')
            .next()
            .unwrap_or_default();
        let service = name
            .parse::<ServiceName>()
            .ok()
            .and_then(|n| Declared::find(view, &n));
        let Some(service) = service else {
            return refuse(
                StatusCode::NOT_FOUND,
                format!("no service is named {name:?}"),
            );
        };
        let key = read_key(&service.key, parts)?;
        let idempotent = classify(&service, parts.method.as_str())?;
        let id = read_id(&parts.headers)?;
        let budget = read_budget(&service, &parts.headers)?;
        let length = text(&parts.headers, header::CONTENT_LENGTH.as_str())?;
        let length = length.and_then(|l| l.parse::<u64>().ok()).unwrap_or(0);
        if length > service.limits.body {
            let detail = format!(
                "the body has {length} bytes, at most {} are allowed",
                service.limits.body
            );
            return refuse(StatusCode::PAYLOAD_TOO_LARGE, detail);
        }
        Ok(Self {
            service,
            key,
            idempotent,
            id,
            budget,
            trace: None,
        })
    }
}

fn refuse<T, D>(status: StatusCode, detail: D) -> Result<T, Box<Problem>>
where
    D: Into<String>,
{
    Err(Box::new(Problem::not_run(status, detail)))
}

/// The value of a header that may be given once. With two values, this host and the upstream could
/// read different ones.
fn text<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, Box<Problem>> {
    let mut values = headers.get_all(name).iter();
    let first = values.next();
    if values.next().is_some() {
        let detail = format!("the header {name} is given more than once");
        return refuse(StatusCode::BAD_REQUEST, detail);
    }
    match first.map(http::HeaderValue::to_str) {
        None => Ok(None),
        Some(Ok(text)) => Ok(Some(text.trim())),
        Some(Err(_)) => refuse(
            StatusCode::BAD_REQUEST,
            format!("the header {name} is not visible ASCII"),
        ),
    }
}

fn read_key(key: &Key, parts: &Parts) -> Result<KeyHash, Box<Problem>> {
    let value = match key {
        Key::Header(name) => text(&parts.headers, name)?,
        Key::Path(index) => parts.uri.path().split('/').nth(usize::from(*index) + 1),
    };
    let place = match key {
        Key::Header(name) => format!("the header {name}"),
        Key::Path(index) => format!("path segment {index} after the service"),
    };
    match value {
        None | Some("") => refuse(
            StatusCode::BAD_REQUEST,
            format!("the request has no key in {place}"),
        ),
        Some(v) if v.len() > KEY_MAX => {
            let detail = format!(
                "the key in {place} has {} bytes, at most {KEY_MAX} are allowed",
                v.len()
            );
            refuse(StatusCode::BAD_REQUEST, detail)
        }
        Some(v) => Ok(KeyHash::of(v.as_bytes())),
    }
}

fn classify(service: &Service, method: &str) -> Result<bool, Box<Problem>> {
    let listed = |list: &[String]| list.iter().any(|m| m == method);
    match () {
        () if listed(&service.methods.idempotent) => Ok(true),
        () if listed(&service.methods.non_idempotent) => Ok(false),
        () => {
            let detail = format!("service {} does not declare {method}", service.name);
            let mut problem = Problem::not_run(StatusCode::METHOD_NOT_ALLOWED, detail);
            let methods = &service.methods;
            let declared = methods.idempotent.iter().chain(&methods.non_idempotent);
            let declared: Vec<_> = declared.map(String::as_str).collect();
            problem.allow = Some(declared.join(", "));
            Err(Box::new(problem))
        }
    }
}

fn read_id(headers: &HeaderMap) -> Result<Option<RequestId>, Box<Problem>> {
    // The header is a structured string, but many clients send it without quotes.
    let Some(value) = text(headers, ID_HEADER)? else {
        return Ok(None);
    };
    let bare = value
        .strip_prefix('"')
        .and_then(|v| v.strip_suffix('"'))
        .unwrap_or(value);
    match bare.parse() {
        Ok(id) => Ok(Some(id)),
        Err(e) => refuse(
            StatusCode::BAD_REQUEST,
            format!("the header Idempotency-Key {e}"),
        ),
    }
}

fn read_budget(service: &Service, headers: &HeaderMap) -> Result<Duration, Box<Problem>> {
    let max = service.deadlines.max;
    let millis = match text(headers, TIMEOUT_HEADER)?.map(str::parse::<u32>) {
        None => service.deadlines.default,
        Some(Ok(millis)) if millis > 0 => millis.min(max),
        Some(_) => {
            let detail = "the header Trefoil-Timeout-Ms is not a number above 0";
            return refuse(StatusCode::BAD_REQUEST, detail);
        }
    };
    Ok(Duration::from_millis(millis.into()))
}

/// The headers that are passed on.
pub fn end_to_end_headers(headers: &HeaderMap) -> Headers {
    let listed = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok());
    let listed: Vec<_> = listed
        .flat_map(|v| v.split(','))
        .map(|n| n.trim().to_ascii_lowercase())
        .collect();
    let reserved = |name: &str| RESERVED.iter().any(|p| name.starts_with(p));
    let passes = |name: &HeaderName| {
        !HOP_HEADERS.contains(name)
            && name.as_str() != "keep-alive"
            && !reserved(name.as_str())
            && !listed.iter().any(|l| l == name.as_str())
    };
    let pairs = headers.iter().filter(|(name, _)| passes(name));
    pairs
        .map(|(name, value)| (name.as_str().to_owned(), value.as_bytes().to_vec()))
        .collect()
}

/// Whether the upstream marked its answer as a refusal before execution.
pub fn is_refusal(status: StatusCode, headers: &HeaderMap) -> bool {
    let marked = headers.get("trefoil-refused").is_some_and(|v| v == "1");
    marked
        && matches!(
            status,
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::CONFLICT
        )
}

/// The `Host` header for an upstream.
pub fn host_value(address: SocketAddr) -> http::HeaderValue {
    // A socket address is visible ASCII.
    http::HeaderValue::from_str(&address.to_string())
        .unwrap_or(http::HeaderValue::from_static("upstream"))
}
