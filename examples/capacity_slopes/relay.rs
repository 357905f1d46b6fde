//! TCP relay that counts the bytes of all connections that pass through it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};

const BUFFER_BYTES: usize = 16 * 1024;

/// Relay in front of one listener; it counts payload bytes in both directions.
#[derive(Debug, Clone)]
pub(crate) struct CountingRelay {
    pub(crate) address: SocketAddr,
    bytes: Arc<AtomicU64>,
}

impl CountingRelay {
    pub(crate) async fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("bound");
        let bytes = Arc::new(AtomicU64::new(0));
        tokio::spawn(accept(listener, target, Arc::clone(&bytes)));
        Self { address, bytes }
    }

    pub(crate) fn bytes(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }
}

async fn accept(listener: TcpListener, target: SocketAddr, bytes: Arc<AtomicU64>) {
    while let Ok((client, _)) = listener.accept().await {
        tokio::spawn(relay(client, target, Arc::clone(&bytes)));
    }
}

// Closes both directions as soon as either side closes, as when a process is killed.
async fn relay(client: TcpStream, target: SocketAddr, bytes: Arc<AtomicU64>) {
    let Ok(server) = TcpStream::connect(target).await else {
        return;
    };
    let _ = (client.set_nodelay(true), server.set_nodelay(true));
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    tokio::select! {
        () = copy_counted(client_read, server_write, &bytes) => {}
        () = copy_counted(server_read, client_write, &bytes) => {}
    }
}

async fn copy_counted(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, bytes: &AtomicU64) {
    let mut buffer = vec![0; BUFFER_BYTES];
    while let Ok(count) = from.read(&mut buffer).await {
        bytes.fetch_add(count as u64, Ordering::Relaxed);
        if count == 0 || to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
}
