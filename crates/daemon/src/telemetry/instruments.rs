//! All metric instruments of the daemon, named by the OpenTelemetry conventions.

/// Type of an instrument.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InstrumentKind {
    /// Sum that only increases.
    Counter,
    /// Current value.
    Gauge,
    /// Distribution of values.
    Histogram,
    /// Sum that increases and decreases.
    UpDownCounter,
}

/// Definition of one instrument.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InstrumentSpec {
    /// Name by the OpenTelemetry conventions.
    pub name: &'static str,
    /// Type of the instrument.
    pub kind: InstrumentKind,
    /// Unit in UCUM notation.
    pub unit: &'static str,
    /// Help text of the metric.
    pub description: &'static str,
}

macro_rules! instruments {
    ($($(#[$doc:meta])* $spec:ident: $kind:ident $name:literal, $unit:literal, $description:literal;)*) => {
        $(
            pub(super) const $spec: InstrumentSpec = InstrumentSpec {
                name: $name,
                kind: InstrumentKind::$kind,
                unit: $unit,
                description: $description,
            };
        )*

        /// All instruments, sorted by name.
        pub const INSTRUMENTS: &[InstrumentSpec] = &[$($spec),*];
    };
}

instruments! {
    ACCESS_REFUSALS: Counter "pollendrift.access.refusals", "{connection}",
        "Connections and requests without an accepted credential, by face and reason";
    DRAFTS_ADMITTED: Counter "pollendrift.admission.admitted", "{request}",
        "Drafts admitted, at once or after a wait, by service and priority";
    ADMISSION_CAPACITY: Gauge "pollendrift.admission.capacity", "{token}",
        "KV memory of engines that the admitted drafts of this host may hold, by service";
    ADMISSION_HELD: Gauge "pollendrift.admission.held", "{token}",
        "KV memory that the admitted drafts of this host hold, by service";
    PROMISED_RETURNS: Gauge "pollendrift.admission.promised_returns.count", "{caller}",
        "Refused callers whose time to come back has not passed, by service";
    DRAFTS_REFUSED: Counter "pollendrift.admission.refusals", "{request}",
        "Drafts not admitted, by service and priority";
    DEMAND_SHARE: Gauge "pollendrift.admission.share", "1",
        "Fraction of the free KV memory of engines that this host may use, by service";
    DRAFTS_ADMITTED_LATE: Counter "pollendrift.admission.waited", "{request}",
        "Drafts admitted after a wait, by service and priority";
    DRAFTS_WAITING: Gauge "pollendrift.admission.waiting.count", "{request}",
        "Drafts that wait for admission, by service and priority";
    BACKED_OFF_SERVERS: Gauge "pollendrift.backend_server.backed_off.count", "{backend_server}",
        "Backend servers that asked this host to send nothing for a while";
    BACKEND_SERVERS: Gauge "pollendrift.backend_server.count", "{backend_server}",
        "Backend servers with a lease at this host";
    RATE_LIMITED_SERVERS: Gauge "pollendrift.backend_server.rate_limited.count", "{backend_server}",
        "Backend servers that state a limit on their request rate, as known at this host";
    BODIES_DISPLACED: Counter "pollendrift.body.displaced", "{body}",
        "Bodies that found no memory at this host or lost it to others, by kind";
    CLAIMS: Gauge "pollendrift.claim.count", "{claim}",
        "Claims on calls that may not be repeated, as known at this host";
    CONFIGURATION_LEASE: Gauge "pollendrift.configuration.lease.remaining", "s",
        "Time until this host refuses new work for want of a renewed configuration lease";
    CONFIGURATION_REVISION: Gauge "pollendrift.configuration.revision", "{revision}",
        "Revision in force at this host";
    CONNECTIONS: UpDownCounter "pollendrift.connection.count", "{connection}",
        "Open connections, by face";
    CONNECTIONS_DISPLACED: Counter "pollendrift.connection.displaced", "{connection}",
        "Connections that found no place at this host or lost it to others, by result";
    CONNECTIONS_SHED: Counter "pollendrift.connection.shed", "{connection}",
        "Connections of callers that were closed unread because this host is overloaded";
    EVIDENCE_DURABLE: Gauge "pollendrift.evidence.durable", "{record}",
        "Last evidence record that enough keepers have stored";
    EVIDENCE_WAITING: Gauge "pollendrift.evidence.waiting.count", "{record}",
        "Evidence records that wait for the keepers, reservations included";
    EVIDENCE_WAITING_BYTES: Gauge "pollendrift.evidence.waiting.size", "By",
        "Bytes of evidence that wait for the keepers";
    KEEPER_LEADER: Gauge "pollendrift.keeper.leader", "{leader}",
        "1 while this host leads the agreement group, else 0";
    PEER_FRAMES: Counter "pollendrift.peer.sent.count", "{frame}",
        "Frames queued for peers, by kind";
    PEER_BYTES: Counter "pollendrift.peer.sent.size", "By",
        "Bytes of the frames queued for peers, by kind";
    WITHHELD_REQUESTS: Counter "pollendrift.poison.refusals", "{request}",
        "Requests not sent to servers because servers ended under them";
    STOPPED_REQUESTS: Gauge "pollendrift.poison.stopped.count", "{request}",
        "Requests that are not sent any more because servers ended under them";
    SUSPECTED_PARTS: Gauge "pollendrift.quarantine.suspected.count", "{part}",
        "Prompt parts whose requests are held back because engines crashed under them";
    PART_VERDICTS: Counter "pollendrift.quarantine.verdicts", "{part}",
        "Prompt parts that became suspected of crashes of engines, or were cleared, by verdict";
    REQUESTS_ACTIVE: UpDownCounter "pollendrift.request.active", "{request}",
        "Requests that have begun and not ended";
    REQUEST_ATTEMPTS: Counter "pollendrift.request.attempts", "{attempt}",
        "Attempts at requests, the first ones included";
    REQUEST_DURATION: Histogram "pollendrift.request.duration", "s",
        "Time from the arrival of a request to its end, by outcome";
    REQUEST_FIRST_TOKEN: Histogram "pollendrift.request.first_token.duration", "s",
        "Time from the arrival of a draft to its first token";
    REQUESTS_FORWARDED: Counter "pollendrift.request.forwarded", "{request}",
        "Requests forwarded to another host because no server is reached, by result";
    PEER_REQUESTS: Counter "pollendrift.request.of_peers", "{request}",
        "Requests that other hosts forwarded to this one and that it took";
    REQUESTS_QUEUED: Gauge "pollendrift.request.queued", "{request}",
        "Requests that wait for admission";
    REQUEST_REFUSALS: Counter "pollendrift.request.refusals", "{request}",
        "Refused requests, by outcome and kind";
    UNREACHABLE_SERVICES: Gauge "pollendrift.service.unreachable.count", "{service}",
        "Services to whose servers this host can't open a connection";
    STREAM_COPY_LOSSES: Counter "pollendrift.stream.copy_losses", "{copy}",
        "Copies of streams that the host storing them did not confirm or lost";
    STREAM_RESUMES: Counter "pollendrift.stream.resumes", "{request}",
        "Requests to resume a stream, by what the look-up found";
    TOKENS: Counter "pollendrift.token.count", "{token}",
        "Tokens sent to callers";
    TOKEN_INTERVAL: Histogram "pollendrift.token.interval", "s",
        "Time between two tokens of one draft";
    TOKENS_UNCONFIRMED: Counter "pollendrift.token.unconfirmed", "{token}",
        "Tokens sent to callers of streams before another host confirmed their copy";
    WORK_DROPPED: Counter "pollendrift.work.dropped", "{piece}",
        "Pieces of work that were dropped as too many waited, by kind";
    WORK_STEPS: Counter "pollendrift.work.steps", "{step}",
        "Steps of work of this process, by kind";
    WORK_TIME: Counter "pollendrift.work.time", "s",
        "Time that this process spent on steps of work, by kind";
}
