//! Replication of leases and load between hosts: size and processing time of one heartbeat of every
//! server.

use std::time::Duration;

use pollendrift::fleet::BackendFleet;
use pollendrift::peers::{PeerFrame, decode_frame, encode_frame};
use pollendrift_coordination::base::{HostName, MonotonicTime, ServerName};
use pollendrift_coordination::leases::{
    BackendLeaseSettings, DeltaCursor, InitialSync, LeaseBatch, LeaseDelta, LeaseScope,
    LeaseSource, NamedLease, SubsetHost, SubsetSettings, entries_of,
};
use pollendrift_coordination::routing::RoutingSettings;

use crate::clock::micros_per_call;
use crate::fail;
use crate::fleet::{Announcer, DATA_CENTRES, FILLED_AT, filled};
use crate::routing::SERVER_SIZES;
use crate::series::Series;

const MAX_FRAME_BYTES: usize = 64 * 1024 * 1024;
/// Maximum leases in one frame, as in the daemon.
const FRAME_LEASES: usize = 256;
/// Number of averaged heartbeats; in each, every server announces itself once.
const HEARTBEATS: u64 = 16;
const HEARTBEAT: Duration = Duration::from_secs(1);
const HOST_SIZES: [usize; 5] = [9, 40, 100, 200, 400];
const REGIONS: usize = 4;
const SUBSET_SERVERS: usize = 12_000;

pub(crate) fn run(seed: u64) -> Vec<Series> {
    let mut measured = measure_replication(seed);
    measured.extend(measure_merge(seed));
    measured.extend(measure_subsets());
    measured
}

/// Frames with all changes after `cursor`, and the cursor after them.
fn frames_since(
    fleet: &BackendFleet,
    now: MonotonicTime,
    mut cursor: DeltaCursor,
) -> (Vec<LeaseBatch>, DeltaCursor) {
    let mut frames = Vec::new();
    loop {
        let (batch, reached) = fleet.batch(
            now,
            cursor,
            FRAME_LEASES,
            LeaseScope::Own,
            InitialSync::Full,
        );
        if batch.is_empty() {
            return (frames, reached);
        }
        cursor = reached;
        frames.push(batch);
    }
}

fn encoded_bytes(frames: &[LeaseBatch]) -> usize {
    let bytes = |batch: &LeaseBatch| {
        let frame = PeerFrame::Leases(batch.clone());
        encode_frame(&frame, MAX_FRAME_BYTES).map_or(0, |bytes| bytes.len())
    };
    frames.iter().map(bytes).sum()
}

fn measure_replication(seed: u64) -> Vec<Series> {
    let mut full = Series::new("all leases in full, to one peer", "servers", "bytes");
    let mut renewed = Series::new("one heartbeat of all, to one peer", "servers", "bytes");
    let mut sent_loads = Series::new("servers whose load was told, of 100", "servers", "percent");
    let mut encode = Series::new("encode one heartbeat of all", "servers", "us");
    for size in SERVER_SIZES {
        let (fleet, mut announcer) = filled(seed, size);
        let (full_frames, mut cursor) = frames_since(&fleet, FILLED_AT, DeltaCursor::default());
        full.add(size, encoded_bytes(&full_frames) as f64);
        let mut bytes = 0;
        let mut loads = 0;
        let mut last = Vec::new();
        let mut now = FILLED_AT;
        for beat in 1..=HEARTBEATS {
            now = now.after(HEARTBEAT);
            announce_all(&fleet, &mut announcer, now, size, beat + 2);
            let (frames, reached) = frames_since(&fleet, now, cursor);
            cursor = reached;
            bytes += encoded_bytes(&frames);
            loads += frames
                .iter()
                .flat_map(|batch| &batch.named)
                .filter(|named| includes_load(named))
                .count();
            last = frames;
        }
        let beats = HEARTBEATS as f64;
        renewed.add(size, bytes as f64 / beats);
        sent_loads.add(size, loads as f64 * 100.0 / beats / size as f64);
        encode.add(size, micros_per_call(|| encoded_bytes(&last)));
    }
    vec![full, renewed, sent_loads, encode]
}

fn includes_load(named: &NamedLease) -> bool {
    match &named.delta {
        LeaseDelta::Full(_) => true,
        LeaseDelta::Renewal(renewal) => renewal.load.is_some(),
    }
}

fn announce_all(
    fleet: &BackendFleet,
    announcer: &mut Announcer,
    now: MonotonicTime,
    servers: usize,
    sequence: u64,
) {
    for index in 0..servers {
        if let Err(error) = fleet.announce(now, &announcer.heartbeat(index, sequence)) {
            fail(&error.to_string());
        }
    }
}

/// Time to decode and merge one heartbeat of every server, received from a peer.
fn measure_merge(seed: u64) -> Vec<Series> {
    let mut full = Series::new("decode and take all leases in full", "servers", "us");
    let mut renewed = Series::new("decode and take a heartbeat of all", "servers", "us");
    for size in SERVER_SIZES {
        let (fleet, mut announcer) = filled(seed, size);
        let (_, cursor) = frames_since(&fleet, FILLED_AT, DeltaCursor::default());
        let (full_frames, _) = frames_since(&fleet, FILLED_AT, DeltaCursor::default());
        let receiver = || {
            let routing = RoutingSettings::default();
            BackendFleet::new(BackendLeaseSettings::default(), routing, seed)
        };
        let full_frames = encode_all(&full_frames);
        // The first run warms up. Each run needs a new receiver: one that already has the leases
        // would do less work.
        for _ in 0..2 {
            let peer = receiver();
            let start = std::time::Instant::now();
            merge_all(&peer, FILLED_AT, &full_frames);
            let micros = start.elapsed().as_secs_f64() * 1e6;
            full.samples.retain(|sample| sample.size != size as f64);
            full.add(size, micros);
        }
        let peer = receiver();
        merge_all(&peer, FILLED_AT, &full_frames);
        let mut cursor = cursor;
        let mut micros = f64::INFINITY;
        let mut now = FILLED_AT;
        for beat in 1..=HEARTBEATS {
            now = now.after(HEARTBEAT);
            announce_all(&fleet, &mut announcer, now, size, beat + 2);
            let (frames, reached) = frames_since(&fleet, now, cursor);
            cursor = reached;
            let frames = encode_all(&frames);
            let start = std::time::Instant::now();
            merge_all(&peer, now, &frames);
            micros = micros.min(start.elapsed().as_secs_f64() * 1e6);
        }
        if peer.serving(now).len() != size {
            fail("a receiver of renewals has another number of servers than the sender");
        }
        renewed.add(size, micros);
    }
    vec![full, renewed]
}

fn encode_all(frames: &[LeaseBatch]) -> Vec<Vec<u8>> {
    let encode = |batch: &LeaseBatch| {
        let frame = PeerFrame::Leases(batch.clone());
        match encode_frame(&frame, MAX_FRAME_BYTES) {
            Ok(bytes) => bytes.to_vec(),
            Err(error) => fail(&error.to_string()),
        }
    };
    frames.iter().map(encode).collect()
}

fn merge_all(fleet: &BackendFleet, now: MonotonicTime, frames: &[Vec<u8>]) {
    let sender = HostName::from("sender");
    for bytes in frames {
        let Ok(PeerFrame::Leases(batch)) = decode_frame(bytes) else {
            fail("an encoded frame can't be decoded as leases");
        };
        fleet.merge_batch(now, (&sender, LeaseSource::Peer), batch, Duration::ZERO);
    }
}

/// Number of servers per entry if each entry uses a subset of the servers.
fn measure_subsets() -> Vec<Series> {
    let mut mean = Series::new("servers of an entry, overlap 4, mean", "hosts", "servers");
    let mut maximum = Series::new("servers of an entry, overlap 4, most", "hosts", "servers");
    let mut cost = Series::new("entries of one server", "hosts", "us");
    let settings = SubsetSettings::default();
    let region = |centre: usize| format!("region-{}", centre % REGIONS).into();
    for size in HOST_SIZES {
        let host = |index: usize| SubsetHost {
            host: HostName::from(format!("host-{index}")),
            data_centre: format!("centre-{}", index % DATA_CENTRES).into(),
            region: region(index % DATA_CENTRES),
        };
        let hosts: Vec<SubsetHost> = (0..size).map(host).collect();
        let mut shares = std::collections::BTreeMap::new();
        for index in 0..SUBSET_SERVERS {
            let server = ServerName::from(format!("engine-{index:05}"));
            for entry in entries_of(&settings, &server, &region(index % DATA_CENTRES), &hosts) {
                *shares.entry(entry.host.clone()).or_insert(0_usize) += 1;
            }
        }
        let total: usize = shares.values().sum();
        mean.add(size, total as f64 / size as f64);
        maximum.add(
            size,
            shares.values().max().map_or(0.0, |count| *count as f64),
        );
        let server = ServerName::from("engine-00001");
        cost.add(
            size,
            micros_per_call(|| entries_of(&settings, &server, &region(1), &hosts).len()),
        );
    }
    vec![mean, maximum, cost]
}
