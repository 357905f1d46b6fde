//! In-memory network between simulated processes. Connections behave like TCP: bytes arrive in order, late, or not at all.

use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard};
use std::task::{Context, Poll};
use std::time::Duration;

use ebonyjunction::environment::ChannelOpener;
use hyper_util::rt::TokioIo;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream, ReadHalf, WriteHalf, duplex, split};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::time::{Instant, sleep, sleep_until};
use tokio_util::sync::CancellationToken;
use tonic::codegen::Service;
use tonic::transport::{Channel, Endpoint, Uri};

const BUFFER_BYTES: usize = 64 * 1024;
const CHUNK_BYTES: usize = 16 * 1024;
/// Pauses between the opening packets of a connection that get no answer.
const CONNECT_RETRIES: [Duration; 4] = [
    Duration::ZERO,
    Duration::from_secs(1),
    Duration::from_secs(2),
    Duration::from_secs(4),
];
const RETRANSMISSION_MIN: Duration = Duration::from_millis(200);
const RETRANSMISSION_MAX: Duration = Duration::from_secs(8);
const FREEZE_POLL: Duration = Duration::from_millis(5);

/// Stream that a listener accepts.
pub type AcceptedStream = io::Result<DuplexStream>;

#[derive(Debug)]
struct NetworkListener {
    sender: UnboundedSender<AcceptedStream>,
}

/// Connection between two machines.
#[derive(Debug)]
struct NetworkLink {
    ends: (SocketAddr, SocketAddr),
    reset: CancellationToken,
    is_silent: bool,
}

#[derive(Debug)]
struct NetworkState {
    rng: SmallRng,
    base_delay: Duration,
    listeners: BTreeMap<SocketAddr, NetworkListener>,
    /// Pairs whose packets from the first to the second are dropped.
    blocked: BTreeSet<(SocketAddr, SocketAddr)>,
    /// Machines that neither send nor receive.
    dark: BTreeSet<SocketAddr>,
    /// Machines whose processes stand still. Their kernel keeps what arrives.
    frozen: BTreeSet<SocketAddr>,
    /// Time for which packets wait at a machine's own link.
    queue_delays: BTreeMap<SocketAddr, Duration>,
    /// Fraction of the packets from and to a machine that are lost and sent again.
    losses: BTreeMap<SocketAddr, f64>,
    links: BTreeMap<u64, NetworkLink>,
    last_link: u64,
}

/// Handle of the network; clones share it.
#[derive(Debug, Clone)]
pub struct StreamNetwork(Arc<Mutex<NetworkState>>);

impl StreamNetwork {
    pub fn new(seed: u64, base_delay: Duration) -> Self {
        Self(Arc::new(Mutex::new(NetworkState {
            rng: SmallRng::seed_from_u64(seed),
            base_delay,
            listeners: BTreeMap::new(),
            blocked: BTreeSet::new(),
            dark: BTreeSet::new(),
            frozen: BTreeSet::new(),
            queue_delays: BTreeMap::new(),
            losses: BTreeMap::new(),
            links: BTreeMap::new(),
            last_link: 0,
        })))
    }

    fn state(&self) -> MutexGuard<'_, NetworkState> {
        self.0.lock().unwrap()
    }

    /// Starts to accept connections at an address.
    pub fn listen(&self, address: SocketAddr) -> UnboundedReceiver<AcceptedStream> {
        let (sender, receiver) = unbounded_channel();
        self.state()
            .listeners
            .insert(address, NetworkListener { sender });
        receiver
    }

    /// Ends the process at an address. Its machine resets connections to it, unless it is dark.
    pub fn end_process(&self, address: SocketAddr) {
        let mut state = self.state();
        state.listeners.remove(&address);
        let is_dark = state.dark.contains(&address);
        if !is_dark {
            state.reset_links(|link| link.touches(address));
        }
    }

    pub fn block(&self, from: SocketAddr, to: SocketAddr) {
        self.state().blocked.insert((from, to));
    }

    pub fn unblock(&self, from: SocketAddr, to: SocketAddr) {
        self.state().blocked.remove(&(from, to));
    }

    pub fn set_dark(&self, address: SocketAddr, is_dark: bool) {
        let mut state = self.state();
        if is_dark {
            state.dark.insert(address);
        } else {
            state.dark.remove(&address);
            // The machine has forgotten its connections.
            state.reset_links(|link| link.touches(address));
        }
    }

    pub fn set_frozen(&self, address: SocketAddr, is_frozen: bool) {
        let mut state = self.state();
        if is_frozen {
            state.frozen.insert(address);
        } else {
            state.frozen.remove(&address);
        }
    }

    pub fn set_queue_delay(&self, address: SocketAddr, delay: Duration) {
        self.state().queue_delays.insert(address, delay);
    }

    pub fn set_loss(&self, address: SocketAddr, fraction: f64) {
        self.state().losses.insert(address, fraction);
    }

    /// Lets a fraction of the open connections go silent for good.
    pub fn silence_links(&self, fraction: f64) {
        let mut state = self.state();
        let NetworkState { rng, links, .. } = &mut *state;
        for link in links.values_mut() {
            link.is_silent |= rng.random_bool(fraction);
        }
    }

    /// Resets a fraction of the open connections of a machine.
    pub fn reset_some_links(&self, address: SocketAddr, fraction: f64) {
        let mut state = self.state();
        let NetworkState { rng, links, .. } = &mut *state;
        for link in links.values() {
            if link.touches(address) && rng.random_bool(fraction) {
                link.reset.cancel();
            }
        }
    }

    async fn connect(&self, from: SocketAddr, to: SocketAddr) -> io::Result<DuplexStream> {
        for pause in CONNECT_RETRIES {
            sleep(pause).await;
            if !self.state().is_passable(from, to) || !self.state().is_passable(to, from) {
                continue;
            }
            let round_trip = self.delay(from, to) + self.delay(to, from);
            sleep(round_trip).await;
            return self.accept(from, to);
        }
        std::future::pending().await
    }

    fn accept(&self, from: SocketAddr, to: SocketAddr) -> io::Result<DuplexStream> {
        let mut state = self.state();
        let refused = || io::Error::from(io::ErrorKind::ConnectionRefused);
        let listener = state.listeners.get(&to).ok_or_else(refused)?;
        let (near, near_wire) = duplex(BUFFER_BYTES);
        let (far, far_wire) = duplex(BUFFER_BYTES);
        listener.sender.send(Ok(far)).map_err(|_| refused())?;
        state.last_link += 1;
        let number = state.last_link;
        let reset = CancellationToken::new();
        let link = NetworkLink {
            ends: (from, to),
            reset: reset.clone(),
            is_silent: false,
        };
        state.links.insert(number, link);
        let (network, carried) = (self.clone(), self.clone());
        drop(state);
        tokio::spawn(async move {
            let (near_read, near_write) = split(near_wire);
            let (far_read, far_write) = split(far_wire);
            let there = carried.carry(number, from, to, near_read, far_write);
            let back = carried.carry(number, to, from, far_read, near_write);
            tokio::select! {
                () = reset.cancelled() => {}
                _ = async { tokio::join!(there, back) } => {}
            }
            network.state().links.remove(&number);
        });
        Ok(near)
    }

    /// Carries bytes in one direction until the sender closes the connection.
    async fn carry(
        &self,
        number: u64,
        from: SocketAddr,
        to: SocketAddr,
        mut reader: ReadHalf<DuplexStream>,
        mut writer: WriteHalf<DuplexStream>,
    ) {
        let (sender, mut queue) = unbounded_channel::<(Instant, Vec<u8>)>();
        let reading = async {
            loop {
                let mut chunk = vec![0; CHUNK_BYTES];
                let length = reader.read(&mut chunk).await.unwrap_or(0);
                chunk.truncate(length);
                let arrives_at = Instant::now() + self.delay(from, to);
                let _ = sender.send((arrives_at, chunk));
                if length == 0 {
                    return;
                }
            }
        };
        let writing = async {
            while let Some((arrives_at, chunk)) = queue.recv().await {
                sleep_until(arrives_at).await;
                self.wait_passable(number, from, to).await;
                if chunk.is_empty() || writer.write_all(&chunk).await.is_err() {
                    break;
                }
            }
            let _ = writer.shutdown().await;
        };
        tokio::join!(reading, writing);
    }

    /// Waits until a packet gets through. Each attempt that fails doubles the pause before the next one.
    async fn wait_passable(&self, number: u64, from: SocketAddr, to: SocketAddr) {
        let mut pause = RETRANSMISSION_MIN;
        loop {
            let (is_passable, is_frozen, is_silent) = {
                let state = self.state();
                let is_silent = state.links.get(&number).is_none_or(|link| link.is_silent);
                let is_frozen = state.frozen.contains(&from) || state.frozen.contains(&to);
                (state.is_passable(from, to), is_frozen, is_silent)
            };
            if is_silent {
                std::future::pending::<()>().await;
            } else if !is_passable {
                sleep(pause).await;
                pause = (pause * 2).min(RETRANSMISSION_MAX);
            } else if is_frozen {
                sleep(FREEZE_POLL).await;
            } else {
                return;
            }
        }
    }

    fn delay(&self, from: SocketAddr, to: SocketAddr) -> Duration {
        let mut state = self.state();
        let queued = [from, to]
            .iter()
            .filter_map(|end| state.queue_delays.get(end).copied())
            .sum::<Duration>();
        let loss = [from, to]
            .iter()
            .filter_map(|end| state.losses.get(end).copied())
            .fold(0.0, f64::max);
        let mut delay = state.base_delay.mul_f64(state.rng.random_range(0.5..2.0)) + queued;
        let mut pause = RETRANSMISSION_MIN;
        while loss > 0.0 && state.rng.random_bool(loss) {
            delay += pause;
            pause = (pause * 2).min(RETRANSMISSION_MAX);
        }
        delay
    }
}

impl NetworkState {
    fn is_passable(&self, from: SocketAddr, to: SocketAddr) -> bool {
        !self.blocked.contains(&(from, to))
            && !self.dark.contains(&from)
            && !self.dark.contains(&to)
    }

    fn reset_links(&self, is_chosen: impl Fn(&NetworkLink) -> bool) {
        for link in self.links.values().filter(|link| is_chosen(link)) {
            link.reset.cancel();
        }
    }
}

impl NetworkLink {
    fn touches(&self, address: SocketAddr) -> bool {
        self.ends.0 == address || self.ends.1 == address
    }
}

/// Opens connections of one machine.
#[derive(Debug)]
pub struct NetworkOpener {
    pub network: StreamNetwork,
    pub own: SocketAddr,
}

impl ChannelOpener for NetworkOpener {
    fn open(&self, endpoint: &Endpoint) -> Channel {
        endpoint.connect_with_connector_lazy(NetworkConnector {
            network: self.network.clone(),
            own: self.own,
        })
    }
}

/// Connects to the address in a URI.
#[derive(Debug)]
struct NetworkConnector {
    network: StreamNetwork,
    own: SocketAddr,
}

impl Service<Uri> for NetworkConnector {
    type Response = TokioIo<DuplexStream>;
    type Error = io::Error;
    type Future = Pin<Box<dyn Future<Output = io::Result<Self::Response>> + Send>>;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, uri: Uri) -> Self::Future {
        let (network, own) = (self.network.clone(), self.own);
        Box::pin(async move {
            let authority = uri.authority().expect("an endpoint has an authority");
            let address = authority.as_str().parse().expect("an address");
            network.connect(own, address).await.map(TokioIo::new)
        })
    }
}
