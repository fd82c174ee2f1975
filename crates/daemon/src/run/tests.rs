use std::cell::Cell;
use std::io;
use std::net::SocketAddr;

use pollendrift::daemon::StartError;
use pollendrift::keeper::KeeperError;
use pollendrift::node::NodeError;
use pollendrift_store::StoreError;

use super::{ProcessSignals, start_with_retries};

fn disk_full() -> StartError {
    let error = StoreError::DiskFull {
        action: "writing the identity",
        path: "data/identity".to_owned(),
    };
    StartError::from(NodeError::from(KeeperError::from(error)))
}

fn address_in_use() -> StartError {
    StartError::Listen {
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        error: io::ErrorKind::AddrInUse.into(),
    }
}

// Guards against a process that ends because its disk is full at the start: it would be restarted
// repeatedly. Any other error must still end the start.
#[tokio::test]
async fn a_start_is_retried_only_while_the_disk_is_full() {
    let mut signals = ProcessSignals::new().expect("signals");
    let attempts = Cell::new(0);
    let start = || {
        attempts.set(attempts.get() + 1);
        let attempt = attempts.get();
        async move {
            if attempt < 3 {
                Err(disk_full())
            } else {
                Ok(attempt)
            }
        }
    };
    let started = start_with_retries(start, StartError::is_disk_full, &mut signals).await;
    assert!(matches!(started, Ok(Some(3))), "{started:?}");
    let start = || async { Err::<(), _>(address_in_use()) };
    let started = start_with_retries(start, StartError::is_disk_full, &mut signals).await;
    assert!(
        matches!(started, Err(StartError::Listen { .. })),
        "{started:?}"
    );
}
