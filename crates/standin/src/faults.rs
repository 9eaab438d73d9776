//! A store with faults that a test switches on, and the HTTP call that switches them.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use futures_lite::FutureExt;
use futures_lite::future::{self, Boxed};
use http::{Method, Request, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use trefoil_core::Clock;
use trefoil_http::{Body, Service, full};
use trefoil_store::{Append, Appended, Batch, Newest, Page, Read, Store, StoreError};

/// What the store does wrong.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum StoreFault {
    /// Nothing.
    #[default]
    None,
    /// Every call fails without effect.
    Down,
    /// No call is answered or has an effect.
    Silent,
    /// Appends take effect, but the answer is an error.
    AnswerLost,
    /// Appends land twice.
    Twice,
    /// Every call takes this many milliseconds longer.
    Slow(u64),
}

/// A store with faults.
#[derive(Debug)]
pub struct FaultyStore {
    store: Arc<dyn Store>,
    clock: Arc<dyn Clock>,
    fault: Mutex<StoreFault>,
}

impl FaultyStore {
    /// Puts faults in front of `store`, at first none.
    pub fn new(store: Arc<dyn Store>, clock: Arc<dyn Clock>) -> Self {
        Self {
            store,
            clock,
            fault: Mutex::default(),
        }
    }

    /// Switches to `fault`.
    pub fn set_fault(&self, fault: StoreFault) {
        *self.fault.lock().unwrap_or_else(PoisonError::into_inner) = fault;
    }

    fn fault(&self) -> StoreFault {
        *self.fault.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits as long as the fault demands, and fails if it is an outage.
    fn pass(&self) -> Boxed<Result<(), StoreError>> {
        match self.fault() {
            StoreFault::Slow(millis) => {
                let slept = self.clock.sleep(Duration::from_millis(millis));
                async move {
                    slept.await;
                    Ok(())
                }
                .boxed()
            }
            StoreFault::Silent => future::pending().boxed(),
            StoreFault::Down => {
                let reason = "fault: down".to_owned();
                future::ready(Err(StoreError::Refused { reason })).boxed()
            }
            StoreFault::None | StoreFault::AnswerLost | StoreFault::Twice => {
                future::ready(Ok(())).boxed()
            }
        }
    }
}

impl Store for FaultyStore {
    fn append(&self, append: Append) -> Boxed<Result<Appended, StoreError>> {
        let (pass, store, fault) = (self.pass(), Arc::clone(&self.store), self.fault());
        async move {
            pass.await?;
            let appended = store.append(append.clone()).await?;
            match fault {
                StoreFault::Twice => store.append(append).await.map(|_| appended),
                StoreFault::AnswerLost => Err(StoreError::Ambiguous {
                    reason: "fault: answer lost".to_owned(),
                }),
                _ => Ok(appended),
            }
        }
        .boxed()
    }

    fn read(&self, read: Read) -> Boxed<Result<Batch, StoreError>> {
        let (pass, store) = (self.pass(), Arc::clone(&self.store));
        async move {
            pass.await?;
            store.read(read).await
        }
        .boxed()
    }

    fn newest(&self, newest: Newest) -> Boxed<Result<Page, StoreError>> {
        let (pass, store) = (self.pass(), Arc::clone(&self.store));
        async move {
            pass.await?;
            store.newest(newest).await
        }
        .boxed()
    }
}

/// Serves `POST /-/fault` and passes everything else on.
#[derive(Debug)]
pub struct FaultControl {
    store: Arc<FaultyStore>,
    inner: Arc<dyn Service>,
}

impl FaultControl {
    /// Controls the faults of `store` in front of `inner`.
    pub fn new(store: Arc<FaultyStore>, inner: Arc<dyn Service>) -> Self {
        Self { store, inner }
    }

    async fn switch(&self, request: Request<Incoming>) -> Response<Body> {
        let body = request
            .into_body()
            .collect()
            .await
            .map(http_body_util::Collected::to_bytes)
            .unwrap_or_default();
        let mut response = Response::new(full("ok\n"));
        match serde_json::from_slice::<StoreFault>(&body) {
            Ok(fault) => self.store.set_fault(fault),
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
