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

/// Faults of one proxy. Held bytes are delivered when the fault ends, as TCP does.
#[derive(Debug, Default, Clone, PartialEq)]
pub struct ProxyFaults {
    /// Nothing passes in either direction.
    pub is_cut: bool,
    /// Nothing passes in one direction.
    pub held_direction: Option<Direction>,
    /// New connections are closed at once, present ones too.
    pub is_dropping: bool,
    /// Nothing passes for connections of these processes.
    pub cut_processes: BTreeSet<u32>,
    /// Time that each piece of data is late.
    pub delay: Duration,
}

#[derive(Debug, Default)]
struct ProxyState {
    target: Option<SocketAddr>,
    faults: ProxyFaults,
    links: Vec<Weak<ProxyLink>>,
}

/// State with a signal for each change of the faults, so that held connections cost no time.
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

/// Direction in which data passes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Direction {
    Request,
    Answer,
}

/// Proxy in front of one process.
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
    // A connection to loopback succeeds or fails at once.
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
            // An error of one side ends both.
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

/// Waits while the faults hold the data back and returns the delay in force then.
fn wait_passage(direction: Direction, sender: &mut SenderSocket, shared: &SharedState) -> Duration {
    let mut state = shared.state.lock().unwrap();
    loop {
        let faults = state.faults.clone();
        let is_held = faults.is_cut || faults.held_direction == Some(direction);
        if !is_held && faults.cut_processes.is_empty() {
            return faults.delay;
        }
        // The look-up takes a while.
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

/// Sender's end of a loopback connection, so that faults can depend on the process that holds it.
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

    /// Looks the socket up only when a fault names processes, and once for each: the socket table of a busy machine
    /// has many rows.
    fn is_held_by(&mut self, processes: &BTreeSet<u32>) -> bool {
        processes.iter().any(|process| {
            if let Some(verdict) = self.verdicts.get(process) {
                return *verdict;
            }
            self.link = self.link.take().or_else(|| find_socket(self.ends));
            // A socket that is not found is closed at the sender.
            let link = self.link.as_deref();
            let verdict = link.is_none_or(|link| holds_socket(*process, link));
            self.verdicts.insert(*process, verdict);
            verdict
        })
    }
}

fn find_socket(ends: [SocketAddr; 2]) -> Option<String> {
    // The socket table is not read at one moment and may lack a row, so it is read again if needed.
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
    // Connections to different receivers can share the sender's port.
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
