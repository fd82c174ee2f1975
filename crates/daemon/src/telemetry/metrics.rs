//! Metrics of one process, exported in the Prometheus text format.
//!
//! Attribute values come from fixed lists in the code, never from untrusted clients, so the number
//! of time series is limited.

use std::fmt;
use std::time::Duration;

use derive_more::{Display, Error, From};
use opentelemetry::metrics::{Counter, Gauge, Histogram, Meter, MeterProvider, UpDownCounter};
use opentelemetry::{KeyValue, StringValue};
use opentelemetry_sdk::error::OTelSdkError;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use pollendrift_coordination::base::Revision;
use pollendrift_coordination::evidence::{BufferStatus, OutcomeKind};
use prometheus::{Registry, TextEncoder};

use super::admission_metrics::AdmissionMetrics;
use super::instruments::{self, InstrumentSpec};
use crate::peers::FrameCount;
use crate::work::WorkCount;

const SCOPE: &str = "pollendrift";

/// Bucket boundaries of durations, in seconds: from a plain call within a data centre to the
/// longest draft.
const DURATION_BOUNDARIES: [f64; 18] = [
    0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0, 60.0,
    300.0, 1_800.0,
];

/// The metrics exporter can't be built.
#[derive(Debug, Display, Error, From)]
#[display("metrics: {_0}")]
pub struct MetricError(OTelSdkError);

/// Result of a request that ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestEnd {
    /// Outcome reported to the caller.
    pub outcome: OutcomeKind,
    /// Number of attempts, the first included.
    pub attempts: u64,
    /// Time from the arrival to the end.
    pub duration: Duration,
}

/// A connection or request without an accepted credential.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RefusedConnection {
    /// Face, such as `callers`.
    pub face: &'static str,
    /// Reason, such as `handshake` or `token`.
    pub reason: &'static str,
}

/// All instruments of one process.
pub struct MetricRegistry {
    registry: Registry,
    provider: SdkMeterProvider,
    access_refusals: Counter<u64>,
    admission: AdmissionMetrics,
    backend_servers: Gauge<u64>,
    backed_off_servers: Gauge<u64>,
    rate_limited_servers: Gauge<u64>,
    claims: Gauge<u64>,
    configuration_lease: Gauge<f64>,
    configuration_revision: Gauge<u64>,
    connections: UpDownCounter<i64>,
    bodies_displaced: Counter<u64>,
    connections_displaced: Counter<u64>,
    connections_shed: Counter<u64>,
    evidence_durable: Gauge<u64>,
    evidence_waiting_bytes: Gauge<u64>,
    evidence_waiting: Gauge<u64>,
    keeper_leader: Gauge<u64>,
    peer_frames: Counter<u64>,
    peer_bytes: Counter<u64>,
    requests_active: UpDownCounter<i64>,
    request_attempts: Counter<u64>,
    request_duration: Histogram<f64>,
    request_first_token: Histogram<f64>,
    withheld_requests: Counter<u64>,
    stopped_requests: Gauge<u64>,
    part_verdicts: Counter<u64>,
    suspected_parts: Gauge<u64>,
    requests_forwarded: Counter<u64>,
    peer_requests: Counter<u64>,
    requests_queued: Gauge<u64>,
    request_refusals: Counter<u64>,
    unreachable_services: Gauge<u64>,
    stream_copy_losses: Counter<u64>,
    stream_resumes: Counter<u64>,
    tokens: Counter<u64>,
    token_interval: Histogram<f64>,
    tokens_unconfirmed: Counter<u64>,
    work_dropped: Counter<u64>,
    work_steps: Counter<u64>,
    work_time: Counter<f64>,
}

impl MetricRegistry {
    /// Creates all instruments with no recorded values.
    ///
    /// # Errors
    ///
    /// If the exporter can't be built.
    pub fn new() -> Result<Self, MetricError> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .without_target_info()
            .build()?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter(SCOPE);
        let metrics = Self {
            registry,
            provider,
            access_refusals: counter(&meter, &instruments::ACCESS_REFUSALS),
            admission: AdmissionMetrics::new(&meter),
            backend_servers: gauge(&meter, &instruments::BACKEND_SERVERS),
            backed_off_servers: gauge(&meter, &instruments::BACKED_OFF_SERVERS),
            rate_limited_servers: gauge(&meter, &instruments::RATE_LIMITED_SERVERS),
            claims: gauge(&meter, &instruments::CLAIMS),
            configuration_lease: float_gauge(&meter, &instruments::CONFIGURATION_LEASE),
            configuration_revision: gauge(&meter, &instruments::CONFIGURATION_REVISION),
            connections: up_down(&meter, &instruments::CONNECTIONS),
            bodies_displaced: counter(&meter, &instruments::BODIES_DISPLACED),
            connections_displaced: counter(&meter, &instruments::CONNECTIONS_DISPLACED),
            connections_shed: counter(&meter, &instruments::CONNECTIONS_SHED),
            evidence_durable: gauge(&meter, &instruments::EVIDENCE_DURABLE),
            evidence_waiting_bytes: gauge(&meter, &instruments::EVIDENCE_WAITING_BYTES),
            evidence_waiting: gauge(&meter, &instruments::EVIDENCE_WAITING),
            keeper_leader: gauge(&meter, &instruments::KEEPER_LEADER),
            peer_frames: counter(&meter, &instruments::PEER_FRAMES),
            peer_bytes: counter(&meter, &instruments::PEER_BYTES),
            requests_active: up_down(&meter, &instruments::REQUESTS_ACTIVE),
            request_attempts: counter(&meter, &instruments::REQUEST_ATTEMPTS),
            request_duration: durations(&meter, &instruments::REQUEST_DURATION),
            request_first_token: durations(&meter, &instruments::REQUEST_FIRST_TOKEN),
            withheld_requests: counter(&meter, &instruments::WITHHELD_REQUESTS),
            stopped_requests: gauge(&meter, &instruments::STOPPED_REQUESTS),
            part_verdicts: counter(&meter, &instruments::PART_VERDICTS),
            suspected_parts: gauge(&meter, &instruments::SUSPECTED_PARTS),
            requests_forwarded: counter(&meter, &instruments::REQUESTS_FORWARDED),
            peer_requests: counter(&meter, &instruments::PEER_REQUESTS),
            requests_queued: gauge(&meter, &instruments::REQUESTS_QUEUED),
            request_refusals: counter(&meter, &instruments::REQUEST_REFUSALS),
            unreachable_services: gauge(&meter, &instruments::UNREACHABLE_SERVICES),
            stream_copy_losses: counter(&meter, &instruments::STREAM_COPY_LOSSES),
            stream_resumes: counter(&meter, &instruments::STREAM_RESUMES),
            tokens: counter(&meter, &instruments::TOKENS),
            token_interval: durations(&meter, &instruments::TOKEN_INTERVAL),
            tokens_unconfirmed: counter(&meter, &instruments::TOKENS_UNCONFIRMED),
            work_dropped: counter(&meter, &instruments::WORK_DROPPED),
            work_steps: counter(&meter, &instruments::WORK_STEPS),
            work_time: float_counter(&meter, &instruments::WORK_TIME),
        };
        // Series of rare events exist from the start, so that an alert sees the first one.
        metrics.connections_shed.add(0, &[]);
        metrics.add_displaced_bodies("request", 0);
        metrics.add_displaced_bodies("answer", 0);
        for result in ["closed", "refused"] {
            let attributes = [KeyValue::new("result", result)];
            metrics.connections_displaced.add(0, &attributes);
        }
        metrics.set_unreachable_services(0);
        metrics.withheld_requests.add(0, &[]);
        metrics.set_stopped_requests(0);
        metrics.set_suspected_parts(0);
        metrics.part_verdicts.add(0, &[part_verdict("suspected")]);
        metrics
            .requests_forwarded
            .add(0, &[forward_result("answered")]);
        metrics.peer_requests.add(0, &[]);
        metrics.add_peer_frames("leases", FrameCount::default());
        metrics.add_work("agreement", WorkCount::default());
        metrics.stream_copy_losses.add(0, &[]);
        metrics.stream_resumes.add(0, &[resume_verdict("lost")]);
        metrics.tokens_unconfirmed.add(0, &[]);
        Ok(metrics)
    }

    /// Returns all metrics in the Prometheus text format.
    pub fn text(&self) -> String {
        TextEncoder::new()
            .encode_to_string(&self.registry.gather())
            .unwrap_or_else(|error| format!("# {error}\n"))
    }

    /// Instruments of the admission of drafts by priority.
    pub fn admission(&self) -> &AdmissionMetrics {
        &self.admission
    }

    /// Counts a connection or request without an accepted credential.
    pub fn record_access_refusal(&self, refused: RefusedConnection) {
        let attributes = [
            KeyValue::new("face", refused.face),
            KeyValue::new("reason", refused.reason),
        ];
        self.access_refusals.add(1, &attributes);
    }

    /// Records the number of backend servers with a lease.
    pub fn set_backend_servers(&self, count: u64) {
        self.backend_servers.record(count, &[]);
    }

    /// Records the number of backend servers that asked this host to back off.
    pub fn set_backed_off_servers(&self, count: u64) {
        self.backed_off_servers.record(count, &[]);
    }

    /// Records the number of backend servers that state a limit on their request rate.
    pub fn set_rate_limited_servers(&self, count: u64) {
        self.rate_limited_servers.record(count, &[]);
    }

    /// Records the number of services whose servers this host can't reach.
    pub fn set_unreachable_services(&self, count: u64) {
        self.unreachable_services.record(count, &[]);
    }

    /// Records the number of known claims.
    pub fn set_claims(&self, count: u64) {
        self.claims.record(count, &[]);
    }

    /// Records the revision in force and the remaining time of the configuration lease.
    pub fn set_configuration(&self, revision: Revision, lease: Duration) {
        self.configuration_revision.record(revision.0, &[]);
        self.configuration_lease.record(lease.as_secs_f64(), &[]);
    }

    /// Counts a new open connection on `face`.
    pub fn add_connection(&self, face: &'static str) {
        self.connections.add(1, &[KeyValue::new("face", face)]);
    }

    /// Removes a closed connection on `face` from the count.
    pub fn remove_connection(&self, face: &'static str) {
        self.connections.add(-1, &[KeyValue::new("face", face)]);
    }

    /// Records the state of the evidence buffer.
    pub fn set_evidence(&self, status: &BufferStatus) {
        let records = status.records.saturating_add(status.reserved);
        self.evidence_durable.record(status.durable.0, &[]);
        self.evidence_waiting.record(size(records), &[]);
        self.evidence_waiting_bytes.record(size(status.bytes), &[]);
    }

    /// Records whether this host leads the agreement group.
    pub fn set_keeper_leader(&self, leads: bool) {
        self.keeper_leader.record(u64::from(leads), &[]);
    }

    /// Counts a request that starts.
    pub fn record_request_start(&self) {
        self.requests_active.add(1, &[]);
    }

    /// Records the result of a request counted by [`MetricRegistry::record_request_start`].
    pub fn record_request_end(&self, end: RequestEnd) {
        self.requests_active.add(-1, &[]);
        self.request_attempts.add(end.attempts, &[]);
        let attributes = [outcome(end.outcome)];
        self.request_duration
            .record(end.duration.as_secs_f64(), &attributes);
    }

    /// Counts an attempt: a request sent to a server, for the first time or again.
    pub fn record_attempt(&self) {
        self.request_attempts.add(1, &[]);
    }

    /// Counts bodies that found no memory or lost it; `kind` is `request` or `answer`.
    pub fn add_displaced_bodies(&self, kind: &'static str, count: u64) {
        let attributes = [KeyValue::new("kind", kind)];
        self.bodies_displaced.add(count, &attributes);
    }

    /// Counts a connection that found no place, or was closed for another one.
    pub fn record_displaced_connection(&self, result: &'static str) {
        let attributes = [KeyValue::new("result", result)];
        self.connections_displaced.add(1, &attributes);
    }

    /// Counts a connection that was closed unread.
    pub fn record_shed_connection(&self) {
        self.connections_shed.add(1, &[]);
    }

    /// Counts a request that was not sent because servers ended under it.
    pub fn record_withheld_request(&self) {
        self.withheld_requests.add(1, &[]);
    }

    /// Records the number of requests that are not sent any more.
    pub fn set_stopped_requests(&self, count: u64) {
        self.stopped_requests.record(count, &[]);
    }

    /// Counts a prompt part whose verdict changed.
    pub fn record_part_verdict(&self, verdict: &'static str) {
        self.part_verdicts.add(1, &[part_verdict(verdict)]);
    }

    /// Records the number of suspected prompt parts.
    pub fn set_suspected_parts(&self, count: u64) {
        self.suspected_parts.record(count, &[]);
    }

    /// Counts a request that was forwarded to another host; `result` is how that ended.
    pub fn record_forwarded(&self, result: &'static str) {
        self.requests_forwarded.add(1, &[forward_result(result)]);
    }

    /// Counts a request that another host forwarded to this one.
    pub fn record_peer_request(&self) {
        self.peer_requests.add(1, &[]);
    }

    /// Records the number of requests that wait for admission.
    pub fn set_requests_queued(&self, count: u64) {
        self.requests_queued.record(count, &[]);
    }

    /// Counts a refused request; `kind` is one of the kinds of the problem documents.
    pub fn record_refusal<K>(&self, reported: OutcomeKind, kind: K)
    where
        K: Into<StringValue>,
    {
        let attributes = [outcome(reported), KeyValue::new("kind", kind.into())];
        self.request_refusals.add(1, &attributes);
    }

    /// Counts frames queued for peers; `kind` is one of the fixed names of kinds.
    pub fn add_peer_frames(&self, kind: &'static str, added: FrameCount) {
        let attributes = [KeyValue::new("kind", kind)];
        self.peer_frames.add(added.frames, &attributes);
        self.peer_bytes.add(added.bytes, &attributes);
    }

    /// Counts work; `kind` is one of the fixed names of kinds.
    pub fn add_work(&self, kind: &'static str, added: WorkCount) {
        let attributes = [KeyValue::new("kind", kind)];
        self.work_dropped.add(added.dropped, &attributes);
        self.work_steps.add(added.steps, &attributes);
        self.work_time.add(added.time.as_secs_f64(), &attributes);
    }

    /// Counts a copy of a stream that was lost.
    pub fn record_copy_loss(&self) {
        self.stream_copy_losses.add(1, &[]);
    }

    /// Counts a request to resume a stream; `verdict` is what the look-up found.
    pub fn record_resume(&self, verdict: &'static str) {
        self.stream_resumes.add(1, &[resume_verdict(verdict)]);
    }

    /// Counts tokens sent to a caller before another host confirmed their copy.
    pub fn record_unconfirmed_tokens(&self, count: usize) {
        self.tokens_unconfirmed.add(size(count), &[]);
    }

    /// Records the first token of a draft, sent `since_arrival` after the request arrived.
    pub fn record_first_token(&self, since_arrival: Duration) {
        self.tokens.add(1, &[]);
        self.request_first_token
            .record(since_arrival.as_secs_f64(), &[]);
    }

    /// Records a further token of a draft, sent `since_last` after the previous one.
    pub fn record_next_token(&self, since_last: Duration) {
        self.tokens.add(1, &[]);
        self.token_interval.record(since_last.as_secs_f64(), &[]);
    }
}

impl fmt::Debug for MetricRegistry {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("MetricRegistry")
            .field("provider", &self.provider)
            .finish_non_exhaustive()
    }
}

fn forward_result(result: &'static str) -> KeyValue {
    KeyValue::new("result", result)
}

fn part_verdict(verdict: &'static str) -> KeyValue {
    KeyValue::new("verdict", verdict)
}

fn resume_verdict(verdict: &'static str) -> KeyValue {
    KeyValue::new("verdict", verdict)
}

fn outcome(reported: OutcomeKind) -> KeyValue {
    let name = match reported {
        OutcomeKind::CallerGone => "caller-gone",
        OutcomeKind::Complete => "complete",
        OutcomeKind::Incomplete => "incomplete",
        OutcomeKind::NotRun => "not-run",
        OutcomeKind::Unknown => "unknown",
    };
    KeyValue::new("outcome", name)
}

fn size(value: usize) -> u64 {
    u64::try_from(value).unwrap_or(u64::MAX)
}

pub(super) fn counter(meter: &Meter, spec: &InstrumentSpec) -> Counter<u64> {
    let builder = meter.u64_counter(spec.name).with_unit(spec.unit);
    builder.with_description(spec.description).build()
}

fn float_counter(meter: &Meter, spec: &InstrumentSpec) -> Counter<f64> {
    let builder = meter.f64_counter(spec.name).with_unit(spec.unit);
    builder.with_description(spec.description).build()
}

pub(super) fn gauge(meter: &Meter, spec: &InstrumentSpec) -> Gauge<u64> {
    let builder = meter.u64_gauge(spec.name).with_unit(spec.unit);
    builder.with_description(spec.description).build()
}

pub(super) fn float_gauge(meter: &Meter, spec: &InstrumentSpec) -> Gauge<f64> {
    let builder = meter.f64_gauge(spec.name).with_unit(spec.unit);
    builder.with_description(spec.description).build()
}

fn up_down(meter: &Meter, spec: &InstrumentSpec) -> UpDownCounter<i64> {
    let builder = meter.i64_up_down_counter(spec.name).with_unit(spec.unit);
    builder.with_description(spec.description).build()
}

fn durations(meter: &Meter, spec: &InstrumentSpec) -> Histogram<f64> {
    let builder = meter.f64_histogram(spec.name).with_unit(spec.unit);
    builder
        .with_description(spec.description)
        .with_boundaries(DURATION_BOUNDARIES.to_vec())
        .build()
}
