//! Trace spans of the hops of a request, written to a file as JSON lines.
//!
//! A request that traverses two hosts has four spans, each the parent of the next:
//!
//! | name | kind | ends |
//! |---|---|---|
//! | `ingress` | server | when the head of the caller's answer is ready |
//! | `forward` | client | when a host has answered the ingress, or has failed to |
//! | `dispatch` | server | when the dispatcher's answer has a head |
//! | `upstream` | client | when the upstream's answer has a head, once for each attempt |
//!
//! The caller's `traceparent` is the parent of the first span, and the upstream receives the
//! context of the last one. An invalid `traceparent` is replaced by a new trace; `tracestate` is
//! forwarded unchanged. If the caller's trace is not sampled, no span is written, but the context
//! is propagated. If tracing is disabled, both headers are forwarded unchanged and there are no
//! spans.
//!
//! A thread of the `opentelemetry` SDK writes the spans from a bounded queue. Spans that do not fit
//! are dropped, so a slow disk loses spans but never delays a request.

use std::collections::HashMap;
use std::fmt::{self, Display};
use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::path::Path;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use opentelemetry::propagation::TextMapPropagator;
use opentelemetry::trace::{Span as _, SpanId, SpanKind, Tracer, TracerProvider};
use opentelemetry::{Context, KeyValue};
use opentelemetry_sdk::Resource;
use opentelemetry_sdk::error::{OTelSdkError, OTelSdkResult};
use opentelemetry_sdk::propagation::TraceContextPropagator;
use opentelemetry_sdk::trace::{
    BatchConfigBuilder, BatchSpanProcessor, Sampler, SdkTracer, SdkTracerProvider, SpanData,
    SpanExporter,
};
use serde_json::{Map, Value, json};

/// Header with the W3C trace context.
pub const TRACE_HEADER: &str = "traceparent";

/// Capacity of the span queue. At about 1 KB per span it takes 8 MB.
const QUEUE_MAX: usize = 8192;

/// Maximum time that a span stays in the queue.
const WRITE_INTERVAL: Duration = Duration::from_millis(500);

/// Source of spans. The default is disabled.
#[derive(Debug, Default)]
pub struct Tracing {
    active: Option<Active>,
}

#[derive(Debug)]
struct Active {
    provider: SdkTracerProvider,
    tracer: SdkTracer,
    propagator: TraceContextPropagator,
}

/// A span that ends when it is dropped. Does nothing if tracing is disabled.
#[derive(Debug, Default)]
pub struct Span {
    span: Option<opentelemetry_sdk::trace::Span>,
}

impl Tracing {
    /// Creates a source whose spans are appended to a file.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be opened.
    pub fn to_file(path: &Path, host: &str) -> io::Result<Self> {
        let file = OpenOptions::new().create(true).append(true).open(path)?;
        let exporter = JsonLines {
            host: host.to_owned(),
            file: Mutex::new(file),
        };
        let config = BatchConfigBuilder::default()
            .with_max_queue_size(QUEUE_MAX)
            .with_scheduled_delay(WRITE_INTERVAL)
            .build();
        let processor = BatchSpanProcessor::builder(exporter)
            .with_batch_config(config)
            .build();
        let provider = SdkTracerProvider::builder()
            .with_span_processor(processor)
            .with_sampler(Sampler::ParentBased(Box::new(Sampler::AlwaysOn)))
            .with_resource(Resource::builder_empty().build())
            .build();
        let tracer = provider.tracer("trefoil");
        let propagator = TraceContextPropagator::new();
        let active = Some(Active {
            provider,
            tracer,
            propagator,
        });
        Ok(Self { active })
    }

    /// Starts the span of an incoming request.
    pub fn server(&self, name: &'static str, parent: Option<&str>) -> Span {
        self.start_span(name, SpanKind::Server, parent)
    }

    /// Starts the span of an outgoing request.
    pub fn client(&self, name: &'static str, parent: Option<&str>) -> Span {
        self.start_span(name, SpanKind::Client, parent)
    }

    fn start_span(&self, name: &'static str, kind: SpanKind, parent: Option<&str>) -> Span {
        let span = self.active.as_ref().map(|active| {
            let headers = parent.map(|p| (TRACE_HEADER.to_owned(), p.to_owned()));
            let headers: HashMap<_, _> = headers.into_iter().collect();
            let parent = active
                .propagator
                .extract_with_context(&Context::new(), &headers);
            let builder = active.tracer.span_builder(name).with_kind(kind);
            active.tracer.build_with_context(builder, &parent)
        });
        Span { span }
    }

    /// Writes all ended spans.
    pub fn flush(&self) {
        if let Some(active) = &self.active {
            // Spans that cannot be written in time are lost, which is acceptable for traces.
            let _ = active.provider.force_flush();
        }
    }
}

impl Span {
    /// Sets an attribute.
    pub fn set<V>(&mut self, key: &'static str, value: V)
    where
        V: Display,
    {
        if let Some(span) = self.span.as_mut().filter(|s| s.is_recording()) {
            span.set_attribute(KeyValue::new(key, value.to_string()));
        }
    }

    /// Returns the `traceparent` for the next hop, if tracing is enabled.
    pub fn context(&self) -> Option<String> {
        let context = self.span.as_ref()?.span_context();
        let flags = u8::from(context.is_sampled());
        let (trace, span) = (context.trace_id(), context.span_id());
        Some(format!("00-{trace}-{span}-{flags:02x}"))
    }
}

/// Exporter that writes one JSON line per span.
struct JsonLines {
    host: String,
    file: Mutex<File>,
}

impl fmt::Debug for JsonLines {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("JsonLines").finish_non_exhaustive()
    }
}

impl JsonLines {
    fn line(&self, span: &SpanData) -> Value {
        let micros = |at: SystemTime| {
            let since = at.duration_since(UNIX_EPOCH).unwrap_or_default();
            u64::try_from(since.as_micros()).unwrap_or(u64::MAX)
        };
        let (start, end) = (micros(span.start_time), micros(span.end_time));
        let parent = span.parent_span_id;
        let parent = (parent != SpanId::INVALID).then(|| parent.to_string());
        let attributes: Map<String, Value> = span
            .attributes
            .iter()
            .map(|kv| (kv.key.to_string(), Value::from(kv.value.to_string())))
            .collect();
        json!({
            "trace": span.span_context.trace_id().to_string(),
            "span": span.span_context.span_id().to_string(),
            "parent": parent,
            "name": span.name,
            "kind": format!("{:?}", span.span_kind).to_ascii_lowercase(),
            "host": self.host,
            "start_us": start,
            "us": end.saturating_sub(start),
            "attributes": attributes,
        })
    }
}

impl SpanExporter for JsonLines {
    async fn export(&self, batch: Vec<SpanData>) -> OTelSdkResult {
        let mut text = String::new();
        for span in &batch {
            text.push_str(&self.line(span).to_string());
            text.push('\n');
        }
        // One write per batch, so that lines of several processes are not interleaved in one file.
        let mut file = self.file.lock().unwrap_or_else(PoisonError::into_inner);
        let written = file.write_all(text.as_bytes());
        written.map_err(|e| OTelSdkError::InternalFailure(e.to_string()))
    }
}
