//! TCP proxy that holds back, delays or refuses traffic without closing connections.

use std::collections::{BTreeMap, BTreeSet};
use std::fs::File;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{IpAddr, Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, Weak};
use std::thread;
use std::time::Duration;

const LOOKUP_PAUSE: Duration = Duration::from_millis(20);
const LOOKUPS: usize = 20;

/// Faults of one proxy. Bytes that are held back are delivered when the fault ends, as TCP retransmission would.
#[derive(Debug, Default, Clone, PartialEq)]
pub struct ProxyFaults {
    /// Holds back data in both directions.
    pub is_cut: bool,
    /// Holds back data in this direction.
    pub held_direction: Option<Direction>,
    /// Closes existing connections, and new ones as soon as they are accepted.
    pub is_dropping: bool,
    /// Holds back data in both directions on connections that these processes opened.
    pub cut_processes: BTreeSet<u32>,
    /// Delay before each chunk of data is forwarded.
    pub delay: Duration,
}

#[derive(Debug, Default)]
struct ProxyState {
    target: Option<SocketAddr>,
    faults: ProxyFaults,
    links: Vec<Weak<ProxyLink>>,
}

/// State with a condition variable for changes of the faults, so that held connections wait without polling.
#[derive(Debug, Default)]
struct SharedState {
    state: Mutex<ProxyState>,
    changed: Condvar,
}

#[derive(Debug)]
struct ProxyLink {
    client: TcpStream,
    server: TcpStream,
}

impl ProxyLink {
    fn close(&self) {
        let _ = self.client.shutdown(Shutdown::Both);
        let _ = self.server.shutdown(Shutdown::Both);
    }
}

/// Direction of data through the proxy.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Direction {
    Request,
    Answer,
}

/// TCP proxy in front of one process.
#[derive(Debug, Clone)]
pub struct FaultProxy {
    pub address: SocketAddr,
    shared: Arc<SharedState>,
}

impl FaultProxy {
    pub fn start() -> Self {
        Self::start_at((Ipv4Addr::LOCALHOST, 0).into())
    }

    pub fn start_at(address: SocketAddr) -> Self {
        let listener = TcpListener::bind(address).unwrap();
        let address = listener.local_addr().unwrap();
        let shared = Arc::<SharedState>::default();
        let accepted = Arc::clone(&shared);
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                serve(client, &accepted);
            }
        });
        Self { address, shared }
    }

    pub fn set_target(&self, target: SocketAddr) {
        self.shared.state.lock().unwrap().target = Some(target);
    }

    pub fn clear_target(&self) {
        self.shared.state.lock().unwrap().target = None;
    }

    pub fn set_faults(&self, change: impl FnOnce(&mut ProxyFaults)) {
        let mut state = self.shared.state.lock().unwrap();
        change(&mut state.faults);
        if state.faults.is_dropping {
            let links = state.links.drain(..);
            links
                .filter_map(|link| link.upgrade())
                .for_each(|link| link.close());
        }
        self.shared.changed.notify_all();
    }
}

fn serve(client: TcpStream, shared: &Arc<SharedState>) {
    let mut state = shared.state.lock().unwrap();
    let target = state.target.filter(|_| !state.faults.is_dropping);
    // Connecting to loopback succeeds or fails immediately, so it does not block while the state is locked.
    let Some(Ok(server)) = target.map(TcpStream::connect) else {
        return;
    };
    let _ = (client.set_nodelay(true), server.set_nodelay(true));
    let link = Arc::new(ProxyLink { client, server });
    state.links.retain(|link| link.strong_count() > 0);
    state.links.push(Arc::downgrade(&link));
    for direction in [Direction::Request, Direction::Answer] {
        let (link, shared) = (Arc::clone(&link), Arc::clone(shared));
        thread::spawn(move || {
            // The end of one direction, with or without an error, closes both connections.
            let _ = copy(&link, direction, &shared);
            link.close();
        });
    }
}

fn copy(link: &ProxyLink, direction: Direction, shared: &SharedState) -> std::io::Result<()> {
    let (mut from, mut to) = match direction {
        Direction::Request => (&link.client, &link.server),
        Direction::Answer => (&link.server, &link.client),
    };
    let mut sender = SenderSocket::new([link.client.peer_addr()?, link.client.local_addr()?]);
    let mut buffer = vec![0; 64 * 1024];
    loop {
        let length = from.read(&mut buffer)?;
        if length == 0 {
            return Ok(());
        }
        let delay = wait_passage(direction, &mut sender, shared);
        thread::sleep(delay);
        to.write_all(&buffer[..length])?;
    }
}

/// Waits while the faults hold the data back, and returns the delay that applies afterwards.
fn wait_passage(direction: Direction, sender: &mut SenderSocket, shared: &SharedState) -> Duration {
    let mut state = shared.state.lock().unwrap();
    loop {
        let faults = state.faults.clone();
        let is_held = faults.is_cut || faults.held_direction == Some(direction);
        if !is_held && faults.cut_processes.is_empty() {
            return faults.delay;
        }
        // The socket lookup is slow, so it runs without the lock.
        drop(state);
        if !is_held && !sender.is_held_by(&faults.cut_processes) {
            return faults.delay;
        }
        state = shared.state.lock().unwrap();
        if state.faults == faults {
            state = shared.changed.wait(state).unwrap();
        }
    }
}

/// Client socket of a loopback connection, used to find out whether a process with a fault holds it.
#[derive(Debug)]
struct SenderSocket {
    ends: [SocketAddr; 2],
    link: Option<String>,
    verdicts: BTreeMap<u32, bool>,
}

impl SenderSocket {
    fn new(ends: [SocketAddr; 2]) -> Self {
        Self {
            ends,
            link: None,
            verdicts: BTreeMap::new(),
        }
    }

    /// Returns whether one of the processes holds the socket. The socket is looked up only when a fault names
    /// processes, and the result is cached for each process, because the socket table of a busy machine has many rows.
    fn is_held_by(&mut self, processes: &BTreeSet<u32>) -> bool {
        processes.iter().any(|process| {
            if let Some(verdict) = self.verdicts.get(process) {
                return *verdict;
            }
            self.link = self.link.take().or_else(|| find_socket(self.ends));
            // A socket that is missing from the table was closed by the sender. It counts as held.
            let link = self.link.as_deref();
            let verdict = link.is_none_or(|link| holds_socket(*process, link));
            self.verdicts.insert(*process, verdict);
            verdict
        })
    }
}

fn find_socket(ends: [SocketAddr; 2]) -> Option<String> {
    // Reading the socket table is not atomic and can miss a row, so the lookup is retried.
    (0..LOOKUPS).find_map(|_| {
        let socket = socket_of(ends);
        if socket.is_none() {
            thread::sleep(LOOKUP_PAUSE);
        }
        socket
    })
}

fn holds_socket(process: u32, socket: &str) -> bool {
    let Ok(files) = std::fs::read_dir(format!("/proc/{process}/fd")) else {
        return false;
    };
    let mut links = files
        .flatten()
        .filter_map(|file| std::fs::read_link(file.path()).ok());
    links.any(|link| link.to_str() == Some(socket))
}

fn socket_of(ends: [SocketAddr; 2]) -> Option<String> {
    // Both ends are compared, because connections to different receivers can share the sender's port.
    let ends = ends.map(|end| {
        let IpAddr::V4(ip) = end.ip() else {
            return String::new();
        };
        let ip = u32::from_le_bytes(ip.octets());
        format!("{ip:08X}:{:04X}", end.port())
    });
    let sockets = File::open("/proc/net/tcp").ok()?;
    let mut lines = BufReader::new(sockets).lines().map_while(Result::ok);
    lines.find_map(|line| {
        let row: Vec<&str> = line.split_whitespace().collect();
        let is_wanted = row.get(1..3).is_some_and(|found| found == ends);
        let inode = row.get(9).filter(|_| is_wanted)?;
        Some(format!("socket:[{inode}]"))
    })
}
