//! A log with faults that a test switches on, and the HTTP call that switches them.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use futures_lite::FutureExt;
use futures_lite::future::Boxed;
use http::{Method, Request, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use trefoil_core::{Clock, Offset};
use trefoil_http::{Body, Service, full};
use trefoil_log::{Batch, Log, LogError};

/// What the log does wrong.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fault {
    /// Nothing.
    #[default]
    None,
    /// Every call fails without effect.
    Down,
    /// Appends take effect, but the answer is an error.
    AnswerLost,
    /// Appends land twice.
    Twice,
    /// Every call takes this many milliseconds longer.
    Slow(u64),
}

/// A log with faults.
#[derive(Debug)]
pub struct FaultyLog {
    log: Arc<dyn Log>,
    clock: Arc<dyn Clock>,
    fault: Mutex<Fault>,
}

impl FaultyLog {
    /// Puts faults in front of `log`, at first none.
    pub fn new(log: Arc<dyn Log>, clock: Arc<dyn Clock>) -> Self {
        Self {
            log,
            clock,
            fault: Mutex::default(),
        }
    }

    /// Switches to `fault`.
    pub fn set(&self, fault: Fault) {
        *self.fault.lock().unwrap_or_else(PoisonError::into_inner) = fault;
    }

    fn fault(&self) -> Fault {
        *self.fault.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn delay(&self) -> Boxed<()> {
        match self.fault() {
            Fault::Slow(millis) => self.clock.sleep(Duration::from_millis(millis)),
            _ => async {}.boxed(),
        }
    }
}

fn down<T>() -> Boxed<Result<T, LogError>>
where
    T: Send + 'static,
{
    async {
        Err(LogError::Unavailable {
            reason: "fault: down".to_owned(),
        })
    }
    .boxed()
}

impl Log for FaultyLog {
    fn append(&self, data: Bytes) -> Boxed<Result<Offset, LogError>> {
        let (delay, log, fault) = (self.delay(), Arc::clone(&self.log), self.fault());
        if fault == Fault::Down {
            return down();
        }
        async move {
            delay.await;
            let offset = log.append(data.clone()).await?;
            match fault {
                Fault::Twice => log.append(data).await.map(|_| offset),
                Fault::AnswerLost => Err(LogError::Ambiguous {
                    reason: "fault: answer lost".to_owned(),
                }),
                _ => Ok(offset),
            }
        }
        .boxed()
    }

    fn read(&self, from: Offset, max: usize, wait: Duration) -> Boxed<Result<Batch, LogError>> {
        let (delay, log) = (self.delay(), Arc::clone(&self.log));
        if self.fault() == Fault::Down {
            return down();
        }
        async move {
            delay.await;
            log.read(from, max, wait).await
        }
        .boxed()
    }
}

/// Serves `POST /-/fault` and passes everything else on.
#[derive(Debug)]
pub struct FaultControl {
    log: Arc<FaultyLog>,
    inner: Arc<dyn Service>,
}

impl FaultControl {
    /// Controls the faults of `log` in front of `inner`.
    pub fn new(log: Arc<FaultyLog>, inner: Arc<dyn Service>) -> Self {
        Self { log, inner }
    }

    async fn switch(&self, request: Request<Incoming>) -> Response<Body> {
        let body = request
            .into_body()
            .collect()
            .await
            .map(http_body_util::Collected::to_bytes)
            .unwrap_or_default();
        let mut response = Response::new(full("ok\n"));
        match serde_json::from_slice::<Fault>(&body) {
            Ok(fault) => self.log.set(fault),
            Err(e) => {
                *response.body_mut() = full(format!("{e}\n"));
                *response.status_mut() = StatusCode::BAD_REQUEST;
            }
        }
        response
    }
}

impl Service for FaultControl {
    fn handle(
        self: Arc<Self>,
        peer: SocketAddr,
        request: Request<Incoming>,
    ) -> Boxed<Response<Body>> {
        match (request.method(), request.uri().path()) {
            (&Method::POST, "/-/fault") => async move { self.switch(request).await }.boxed(),
            _ => Arc::clone(&self.inner).handle(peer, request),
        }
    }
}
