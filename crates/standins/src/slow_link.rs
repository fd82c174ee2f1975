//! A network link with faults: forwards connections to an address, delays what their clients send,
//! and breaks them.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt, copy};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep_until};

use crate::harness::loopback;

/// Size of one read in bytes.
const READ_BYTES: usize = 16 * 1024;

/// Link to one address; dropping it accepts no more connections.
#[derive(Debug)]
pub struct SlowLink {
    address: SocketAddr,
    delay: watch::Sender<Duration>,
    /// Number of breaks so far; a connection ends when it changes.
    breaks: watch::Sender<u64>,
    task: JoinHandle<()>,
}

impl SlowLink {
    /// Starts a link to `target` that delivers what clients send after `delay`. Bytes of a client
    /// that disconnects meanwhile are still delivered, as on a real network.
    ///
    /// # Errors
    /// No port is free.
    pub async fn start(target: SocketAddr, delay: Duration) -> std::io::Result<Self> {
        let listener = TcpListener::bind(loopback()).await?;
        let address = listener.local_addr()?;
        let delay = watch::Sender::new(delay);
        let breaks = watch::Sender::new(0);
        let (delay_receiver, break_receiver) = (delay.subscribe(), breaks.subscribe());
        let task = tokio::spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                let delay = delay_receiver.clone();
                let mut breaks = break_receiver.clone();
                breaks.mark_unchanged();
                tokio::spawn(async move {
                    tokio::select! {
                        () = forward(client, target, delay) => {}
                        _ = breaks.changed() => {}
                    }
                });
            }
        });
        Ok(Self {
            address,
            delay,
            breaks,
            task,
        })
    }

    /// Address to which clients connect.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the delay of what clients send from now on.
    pub fn set_delay(&self, delay: Duration) {
        self.delay.send_replace(delay);
    }

    /// Ends all open connections; what was sent on them before is still delivered.
    pub fn break_connections(&self) {
        self.breaks.send_modify(|breaks| *breaks += 1);
    }
}

impl Drop for SlowLink {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn forward(client: TcpStream, target: SocketAddr, delay: watch::Receiver<Duration>) {
    let Ok(server) = TcpStream::connect(target).await else {
        return;
    };
    let (client_reader, mut client_writer) = client.into_split();
    let (mut server_reader, server_writer) = server.into_split();
    tokio::spawn(delay_bytes(client_reader, server_writer, delay));
    // The link ends with either side.
    let _ = copy(&mut server_reader, &mut client_writer).await;
}

async fn delay_bytes(
    mut reader: OwnedReadHalf,
    mut writer: OwnedWriteHalf,
    delay: watch::Receiver<Duration>,
) {
    let (sender, mut receiver) = mpsc::unbounded_channel::<(Instant, Vec<u8>)>();
    tokio::spawn(async move {
        while let Some((due, bytes)) = receiver.recv().await {
            sleep_until(due).await;
            if writer.write_all(&bytes).await.is_err() {
                return;
            }
        }
    });
    let mut buffer = vec![0; READ_BYTES];
    while let Ok(count) = reader.read(&mut buffer).await {
        let Some(bytes) = buffer.get(..count).filter(|bytes| !bytes.is_empty()) else {
            return;
        };
        let due = Instant::now() + *delay.borrow();
        if sender.send((due, bytes.to_vec())).is_err() {
            return;
        }
    }
}
