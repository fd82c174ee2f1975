//! Tests that planned stops do not interrupt running requests.

use std::sync::Arc;

use pollendrift_coordination::base::Revision;
use pollendrift_standins::harness::{CUSTOMER_TOKEN, loopback};
use pollendrift_standins::load::{CallOutcome, ServiceCaller};
use pollendrift_standins::service::PlainService;

use crate::support::{HostGroup, wait_until};

// Guards against a planned stop that interrupts a running call. The entry stops while a call runs:
// it refuses new calls as not run, waits for the running one and forwards its answer.
#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_lets_a_running_call_finish() {
    let mut group = HostGroup::start(4, 3).await;
    let mut service = PlainService::start("portal-1", "portal", loopback())
        .await
        .unwrap();
    service.announce(group.entries(), 1, "dc-a");
    group.wait_servers(1).await;
    service.hold_answers(true);
    let caller = ServiceCaller::new(&group.entry(3), CUSTOMER_TOKEN);
    let running = caller.clone();
    let sent = tokio::spawn(async move { running.post("portal", "filings", "held", "a").await });
    wait_until(|| service.runs().contains_key("held")).await;
    let stopping = group.take_host(3);
    let stopped = tokio::spawn(stopping.drain());
    let address = group.builder.hosts()[3].entry;
    while tokio::net::TcpStream::connect(address).await.is_ok() {
        tokio::time::sleep(std::time::Duration::from_millis(2)).await;
    }
    let refused = matches!(
        caller.post("portal", "filings", "late", "a").await,
        CallOutcome::NotRun(_) | CallOutcome::NotSent(_)
    );
    service.hold_answers(false);
    let answered = matches!(sent.await.unwrap(), CallOutcome::Answered(_));
    let finished = stopped.await.unwrap();
    let late = service.runs().get("late").copied().unwrap_or(0);
    insta::assert_snapshot!(
        format!(
            "running call answered {answered}, late call refused {refused}, runs of it {late}, \
             all finished {finished}"
        ),
        @"running call answered true, late call refused true, runs of it 0, all finished true"
    );
}

// Guards against a crashed keeper that votes and holds its port and folder while a request that is
// still running refers to its node. Calls would then be claimed without a quorum of live keepers.
#[tokio::test(flavor = "multi_thread")]
async fn a_crashed_host_stops_although_a_request_refers_to_its_node() {
    let mut group = HostGroup::start(4, 3).await;
    let node = Arc::clone(group.host(0).node());
    group.crash(0);
    assert_eq!(node.keeper_status(), None);
    group.restart(0).await;
    group.wait_revision(0, Revision(1)).await;
    drop(node);
}
