//! Tests of the choice of hosts that requests are forwarded to.

use std::time::Duration;

use pollendrift_coordination::base::{HostName, MonotonicTime, ServiceName};
use pollendrift_coordination::forwarding::{
    ForwardHost, ForwardSettings, ForwardTable, PartitionTable,
};

fn host(name: &str, centre: &str) -> ForwardHost {
    ForwardHost {
        host: name.into(),
        address: ([127, 0, 0, 1], 7_000).into(),
        data_centre: Some(centre.into()),
    }
}

fn table(hosts: &[(&str, &str)]) -> ForwardTable {
    let mut table = ForwardTable::new(ForwardSettings::default(), "one".into(), 7);
    let hosts = hosts.iter().map(|(name, centre)| host(name, centre));
    table.set_hosts(hosts.collect());
    table
}

fn start(table: &mut ForwardTable, millis: u64, excluded: &[HostName]) -> Option<String> {
    let now = MonotonicTime::from_millis(millis);
    let chosen = table.start(now, &ServiceName::from("writers"), excluded)?;
    Some(chosen.host.to_string())
}

/// Guards against requests that cross data centres although a host in the own one is free, and against
/// a single host there that gets the requests of all the others.
#[test]
fn hosts_of_the_own_data_centre_come_first_until_they_are_busy() {
    let mut table = table(&[("near", "one"), ("far-1", "two"), ("far-2", "three")]);
    let chosen: Vec<String> = (0..12)
        .map(|_| start(&mut table, 0, &[]).expect("a host"))
        .collect();
    assert_eq!(chosen[..4], ["near", "near", "near", "near"]);
    let near = chosen.iter().filter(|host| *host == "near").count();
    assert!((4..=8).contains(&near), "{chosen:?}");
    let far = |name: &str| chosen.iter().filter(|host| *host == name).count();
    assert!(far("far-1") > 0 && far("far-2") > 0, "{chosen:?}");
}

/// Guards against one of many hosts that gets most requests.
#[test]
fn requests_are_spread_evenly() {
    let names: Vec<String> = (0..16).map(|index| format!("near-{index}")).collect();
    let hosts: Vec<(&str, &str)> = names.iter().map(|name| (name.as_str(), "one")).collect();
    let mut table = table(&hosts);
    for _ in 0..160 {
        start(&mut table, 0, &[]).expect("a host");
    }
    let running: Vec<u32> = table.dump().iter().map(|host| host.running).collect();
    assert!(
        running.iter().all(|running| (7..=13).contains(running)),
        "{running:?}"
    );
}

/// Guards against requests that go to a host again that could not be reached, or that has just refused
/// one for the same service, and against a host that is left out for ever.
#[test]
fn failed_and_refusing_hosts_get_no_requests_for_a_while() {
    let mut table = table(&[("near", "one"), ("far", "two")]);
    let (service, near) = (ServiceName::from("writers"), HostName::from("near"));
    table.record_refused(MonotonicTime::START, &near, &service);
    assert_eq!(start(&mut table, 400, &[]).as_deref(), Some("far"));
    assert_eq!(start(&mut table, 600, &[]).as_deref(), Some("near"));
    table.record_failed(MonotonicTime::from_millis(600), &near);
    assert_eq!(start(&mut table, 2_500, &[]).as_deref(), Some("far"));
    assert_eq!(start(&mut table, 2_500, &["far".into()]), None);
    assert_eq!(
        start(&mut table, 2_700, &["far".into()]).as_deref(),
        Some("near")
    );
}

/// Guards against a request under way that is counted twice, or is lost, when a new list arrives.
#[test]
fn a_new_list_keeps_the_requests_under_way() {
    let mut table = table(&[("near", "one")]);
    start(&mut table, 0, &[]);
    table.set_hosts(vec![host("other", "one")]);
    assert_eq!(start(&mut table, 0, &[]).as_deref(), Some("other"));
    table.ended(&"near".into());
    table.set_hosts(vec![host("near", "one")]);
    let running: Vec<(String, u32)> = table
        .dump()
        .iter()
        .map(|host| (host.host.host.to_string(), host.running))
        .collect();
    assert_eq!(running, [("near".to_owned(), 0), ("other".to_owned(), 1)]);
}

/// Guards against keepers that name a host which is cut off itself, and against one that is left out
/// after its links have returned or its reports have ended.
#[test]
fn cut_off_hosts_are_known_while_they_report() {
    let mut table = PartitionTable::default();
    let (host, services) = (HostName::from("near"), vec![ServiceName::from("writers")]);
    let at = |seconds| MonotonicTime::START.after(Duration::from_secs(seconds));
    table.record(at(0), &host, services.clone());
    assert!(table.is_cut_off(at(5), &host, &services));
    assert!(!table.is_cut_off(at(5), &host, &["desk".into()]));
    assert!(!table.is_cut_off(at(6), &host, &services));
    table.record(at(7), &host, services.clone());
    table.record(at(8), &host, Vec::new());
    assert!(!table.is_cut_off(at(8), &host, &services));
}
