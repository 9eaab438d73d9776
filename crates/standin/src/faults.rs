//! Fault injection for a store, and the HTTP endpoint that selects the fault.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use futures_lite::FutureExt;
use futures_lite::future::{self, Boxed};
use http::{Method, Request, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use trefoil_core::{Clock, Offset};
use trefoil_http::{Body, Service, full};
use trefoil_store::{Append, Appended, Batch, Era, Newest, Page, Read, Store, StoreError, Topic};

/// A fault that every call to a [`FaultyStore`] meets.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum StoreFault {
    /// No fault.
    #[default]
    None,
    /// Every call fails and has no effect.
    Down,
    /// No call is answered, and none has an effect.
    Silent,
    /// Appends take effect but return an error, as if the answer had been lost.
    AnswerLost,
    /// Appends are written twice.
    Twice,
    /// Every call is delayed by this many milliseconds.
    Slow(u64),
    /// Reads find that the records from their offset on were deleted.
    Truncated,
}

/// A store that injects faults into the calls to another store.
#[derive(Debug)]
pub struct FaultyStore {
    store: Arc<dyn Store>,
    clock: Arc<dyn Clock>,
    fault: Mutex<StoreFault>,
    /// Faults of single topics, which come before the fault of all.
    topics: Mutex<BTreeMap<Topic, StoreFault>>,
}

impl FaultyStore {
    /// Wraps `store`, initially without a fault.
    pub fn new(store: Arc<dyn Store>, clock: Arc<dyn Clock>) -> Self {
        Self {
            store,
            clock,
            fault: Mutex::default(),
            topics: Mutex::default(),
        }
    }

    /// Replaces the current fault.
    pub fn set_fault(&self, fault: StoreFault) {
        *self.fault.lock().unwrap_or_else(PoisonError::into_inner) = fault;
    }

    /// Replaces the current fault of the calls for one topic.
    pub fn set_topic_fault(&self, topic: Topic, fault: StoreFault) {
        let mut topics = self.topics.lock().unwrap_or_else(PoisonError::into_inner);
        topics.insert(topic, fault);
    }

    fn fault(&self, topic: &Topic) -> StoreFault {
        let topics = self.topics.lock().unwrap_or_else(PoisonError::into_inner);
        let of_topic = topics.get(topic).copied();
        of_topic.unwrap_or_else(|| *self.fault.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Applies the part of the fault that precedes a call: a delay, an error, or no completion at
    /// all.
    fn apply_fault(&self, topic: &Topic) -> Boxed<Result<(), StoreError>> {
        match self.fault(topic) {
            StoreFault::Slow(millis) => {
                let delay = self.clock.sleep(Duration::from_millis(millis));
                async move {
                    delay.await;
                    Ok(())
                }
                .boxed()
            }
            StoreFault::Silent => future::pending().boxed(),
            StoreFault::Down => {
                let reason = "fault: down".to_owned();
                future::ready(Err(StoreError::Refused { reason })).boxed()
            }
            StoreFault::None
            | StoreFault::AnswerLost
            | StoreFault::Twice
            | StoreFault::Truncated => future::ready(Ok(())).boxed(),
        }
    }
}

impl Store for FaultyStore {
    fn append(&self, append: Append) -> Boxed<Result<Appended, StoreError>> {
        let topic = &append.partition.topic;
        let (precondition, fault) = (self.apply_fault(topic), self.fault(topic));
        let store = Arc::clone(&self.store);
        async move {
            precondition.await?;
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
        let topic = &read.partition.topic;
        let (precondition, store) = (self.apply_fault(topic), Arc::clone(&self.store));
        let deleted = self.fault(topic) == StoreFault::Truncated;
        async move {
            precondition.await?;
            if deleted {
                let first = Offset(read.from.0 + 1);
                return Err(StoreError::Truncated { first });
            }
            store.read(read).await
        }
        .boxed()
    }

    fn newest(&self, newest: Newest) -> Boxed<Result<Page, StoreError>> {
        let topic = &newest.partition.topic;
        let (precondition, store) = (self.apply_fault(topic), Arc::clone(&self.store));
        async move {
            precondition.await?;
            store.newest(newest).await
        }
        .boxed()
    }

    fn era(&self) -> Era {
        self.store.era()
    }
}

/// Serves `POST /-/fault`, which selects the fault, and forwards all other requests.
#[derive(Debug)]
pub struct FaultControl {
    store: Arc<FaultyStore>,
    inner: Arc<dyn Service>,
}

impl FaultControl {
    /// Selects the fault of `store` and forwards other requests to `inner`.
    pub fn new(store: Arc<FaultyStore>, inner: Arc<dyn Service>) -> Self {
        Self { store, inner }
    }

    async fn replace_fault(&self, request: Request<Incoming>) -> Response<Body> {
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
            (&Method::POST, "/-/fault") => async move { self.replace_fault(request).await }.boxed(),
            _ => Arc::clone(&self.inner).handle(peer, request),
        }
    }
}
