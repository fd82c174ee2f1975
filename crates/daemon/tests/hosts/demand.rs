//! Tests that hosts exchange reports of their demand for services.

use std::sync::Arc;
use std::time::Duration;

use pollendrift::peers::{
    LinkSettings, PeerAddress, PeerFrame, PeerHandler, PeerHub, PeerNode, PlainTransport,
    start_peers,
};
use pollendrift_coordination::base::{HostName, Incarnation};
use pollendrift_coordination::demand::{DemandBatch, DemandReport, ReportScope};
use pollendrift_standins::harness::HostBuilder;
use tokio::net::TcpListener;
use tokio::sync::mpsc::{UnboundedSender, unbounded_channel};

use crate::support::HostGroup;

/// Longest wait for a report; only a failing test waits that long.
const TIMEOUT: Duration = Duration::from_secs(30);
/// Time between two reports of the test's peer.
const REPORT_INTERVAL: Duration = Duration::from_millis(100);

/// Passes the batches that a peer gets to the test.
struct BatchHandler {
    batches: UnboundedSender<DemandBatch>,
}

impl PeerHandler for BatchHandler {
    fn handle(&self, _: &PeerHub, _: &HostName, frame: PeerFrame) {
        if let PeerFrame::Survey {
            demand: Some(batch),
            ..
        } = frame
        {
            let _ = self.batches.send(batch);
        }
    }
}

fn frame(service: &str, tokens_per_second: f64) -> PeerFrame {
    let report = DemandReport {
        service: service.into(),
        tokens_per_second,
        hosts: 1,
    };
    PeerFrame::Survey {
        notes: Vec::new(),
        pass_on: false,
        rates: None,
        partition: None,
        quarantine: None,
        poison: None,
        demand: Some(DemandBatch {
            scope: ReportScope::Part,
            reports: vec![report],
        }),
    }
}

/// Guards against reports that are not sent, not applied, or whose invalid values end the link: a
/// host without demand must count itself for a service that its peer has demand for.
#[tokio::test(flavor = "multi_thread")]
async fn a_host_answers_reports_of_demand_with_its_own() {
    let mut group = HostGroup::start(2, 1).await;
    group.crash(1);
    let [host, peer] = [0, 1].map(|index| group.builder.hosts()[index].peers);
    let listener = loop {
        match TcpListener::bind(peer).await {
            Ok(listener) => break listener,
            Err(_) => tokio::time::sleep(REPORT_INTERVAL).await,
        }
    };
    let node = PeerNode {
        host: HostBuilder::name(1).as_str().into(),
        process: Incarnation(u64::MAX),
        discovery: None,
    };
    let host = PeerAddress {
        host: HostBuilder::name(0).as_str().into(),
        address: host,
    };
    let (batches, mut received) = unbounded_channel();
    let mut tasks = start_peers(
        node,
        LinkSettings::default(),
        vec![host.clone()],
        Box::new(PlainTransport),
        Arc::new(BatchHandler { batches }),
    );
    tasks.accept(listener, Arc::new(PlainTransport));
    let exchange = async {
        loop {
            let _ = tasks.hub().send(&host.host, &frame("invalid", f64::NAN));
            let _ = tasks.hub().send(&host.host, &frame("writers", 9_000.0));
            tokio::time::sleep(REPORT_INTERVAL).await;
            let dump = group.dump(0).await["demand_shares"].take();
            // On a busy machine a report can expire before the dump.
            if dump[0]["known_hosts"] == 2
                && let Ok(batch) = received.try_recv()
            {
                return (batch, dump);
            }
        }
    };
    let (batch, dump) = tokio::time::timeout(TIMEOUT, exchange).await.unwrap();
    insta::assert_snapshot!(format!("{batch:?}\n{dump}"), @r#"
    DemandBatch { scope: Part, reports: [DemandReport { service: ServiceName("writers"), tokens_per_second: 0.0, hosts: 1 }] }
    [{"hosts":64,"known_demand":9000.0,"known_hosts":2,"own_demand":0.0,"service":"writers","share":0.0015625}]
    "#);
}
