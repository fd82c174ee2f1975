//! Losses of power at all hosts, in which what was written and not synced may be gone, and lost disks.

use std::collections::BTreeMap;

use crate::cluster::{Cluster, KEEPERS, settings};
use crate::fault_files::{Fault, FaultFiles};

/// Commands that are accepted before the loss.
const COMMANDS: usize = 20;

/// Guards against accepted commands that only unsynced writes hold: right after a command was accepted one
/// host loses its disk, and all others lose power with any part of what they had not synced.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn accepted_commands_survive_a_lost_disk_while_all_other_hosts_lose_power() {
    for seed in 0..12_u64 {
        let mut cluster = Cluster::prepare(settings());
        let mut disks: BTreeMap<&str, FaultFiles> =
            KEEPERS.map(|name| (name, FaultFiles::default())).into();
        for name in KEEPERS {
            let files = Box::new(disks[name].clone());
            cluster.start_on(name, files).await.expect("it starts");
        }
        let texts: Vec<String> = (0..COMMANDS).map(|number| format!("{number}")).collect();
        for text in &texts {
            cluster.submit_until_accepted("a", text).await;
        }
        // No step to a disk comes between the acknowledgement and the loss of power.
        for disk in disks.values() {
            disk.fail_after(0, Fault::PowerLoss);
        }
        for name in KEEPERS {
            cluster.crash(name).await;
        }
        for disk in disks.values() {
            disk.restore_power(seed);
        }
        let wiped = KEEPERS[seed as usize % KEEPERS.len()];
        disks.insert(wiped, FaultFiles::default());
        cluster.settings.may_found = false;
        for name in KEEPERS {
            let files = Box::new(disks[name].clone());
            cluster.start_on(name, files).await.expect("it starts");
        }
        let expected: Vec<&str> = texts.iter().map(String::as_str).collect();
        for name in KEEPERS {
            assert_eq!(
                cluster.list(name).await,
                expected,
                "seed {seed}, host {name}"
            );
        }
    }
}
