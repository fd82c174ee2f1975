//! Tests that a call is stopped under which one backend server after the other ends.

use std::sync::Arc;
use std::time::Duration;

use pollendrift_standins::harness::{CUSTOMER_TOKEN, loopback};
use pollendrift_standins::load::{CallOutcome, ServiceCaller};
use pollendrift_standins::service::PlainService;
use tokio::sync::Mutex;

use crate::support::HostGroup;

const SERVERS: usize = 6;
/// Servers that may end under one request.
const MAX_ENDS: usize = 3;

/// Servers that run; those that get a call end.
type Servers = Arc<Mutex<Vec<PlainService>>>;

/// Starts servers that end as soon as they run a call, and answer none.
async fn start_servers(group: &HostGroup) -> Servers {
    let mut servers = Vec::new();
    for number in 1..=SERVERS {
        let name = format!("portal-{number}");
        let mut service = PlainService::start(&name, "portal", loopback())
            .await
            .unwrap();
        service.hold_answers(true);
        service.announce(group.entries(), 1, "dc-a");
        servers.push(service);
    }
    group.wait_servers(SERVERS).await;
    let servers = Arc::new(Mutex::new(servers));
    let running = Arc::clone(&servers);
    tokio::spawn(async move {
        loop {
            running
                .lock()
                .await
                .retain(|server| server.runs().is_empty());
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    });
    servers
}

// Guards against a call that ends one server after the other: its caller sends it again through each entry,
// each time with a new idempotency key.
#[tokio::test(flavor = "multi_thread")]
async fn a_call_that_ends_its_servers_is_stopped_at_all_entries() {
    let group = HostGroup::start(4, 3).await;
    let servers = start_servers(&group).await;
    let mut last = None;
    for attempt in 0..SERVERS {
        let caller = ServiceCaller::new(&group.entry(attempt % 4), CUSTOMER_TOKEN);
        let key = format!("key-{attempt}");
        last = Some(caller.post("portal", "filings", &key, "a").await);
        println!("{last:?}");
        tokio::time::sleep(Duration::from_millis(300)).await;
    }
    let ended = SERVERS - servers.lock().await.len();
    assert_eq!(ended, MAX_ENDS);
    assert!(matches!(last, Some(CallOutcome::NotRun(_))), "{last:?}");
}
