//! TCP proxy that holds back, delays or refuses traffic without closing connections.

use std::collections::BTreeSet;
use std::fs::File;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const HOLD_POLL: Duration = Duration::from_millis(5);
const READ_BOUND: Duration = Duration::from_millis(200);
const LOOKUPS: usize = 100;

/// Faults of one proxy. Held bytes are delivered when the fault ends, as TCP does.
#[derive(Debug, Default, Clone)]
pub struct ProxyFaults {
    /// Nothing passes in either direction.
    pub is_cut: bool,
    /// Answers do not pass.
    pub holds_answers: bool,
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
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum Direction {
    Request,
    Answer,
}

/// Proxy in front of one process.
#[derive(Debug, Clone)]
pub struct FaultProxy {
    pub address: SocketAddr,
    state: Arc<Mutex<ProxyState>>,
}

impl FaultProxy {
    pub fn start() -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
        let address = listener.local_addr().unwrap();
        let state = Arc::<Mutex<ProxyState>>::default();
        let accepted = Arc::clone(&state);
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let state = Arc::clone(&accepted);
                thread::spawn(move || serve(&client, &state));
            }
        });
        Self { address, state }
    }

    pub fn set_target(&self, target: SocketAddr) {
        self.state.lock().unwrap().target = Some(target);
    }

    pub fn clear_target(&self) {
        self.state.lock().unwrap().target = None;
    }

    pub fn set_faults(&self, change: impl FnOnce(&mut ProxyFaults)) {
        change(&mut self.state.lock().unwrap().faults);
    }
}

fn serve(client: &TcpStream, state: &Arc<Mutex<ProxyState>>) {
    let (target, faults) = {
        let state = state.lock().unwrap();
        (state.target, state.faults.clone())
    };
    let Some(target) = target.filter(|_| !faults.is_dropping) else {
        return;
    };
    let Ok(server) = TcpStream::connect(target) else {
        return;
    };
    let (Ok(peer), Ok(own)) = (client.peer_addr(), client.local_addr()) else {
        return;
    };
    for (from, to, direction) in [
        (client, &server, Direction::Request),
        (&server, client, Direction::Answer),
    ] {
        let (Ok(from), Ok(to)) = (from.try_clone(), to.try_clone()) else {
            return;
        };
        let state = Arc::clone(state);
        thread::spawn(move || copy(from, to, direction, SenderSocket::new(peer, own), &state));
    }
}

fn copy(
    mut from: TcpStream,
    mut to: TcpStream,
    direction: Direction,
    mut sender: SenderSocket,
    state: &Mutex<ProxyState>,
) {
    let _ = (
        to.set_nodelay(true),
        from.set_read_timeout(Some(READ_BOUND)),
    );
    let mut buffer = vec![0; 64 * 1024];
    loop {
        let length = match from.read(&mut buffer) {
            Ok(0) => break,
            Ok(length) => length,
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => 0,
            Err(_) => break,
        };
        loop {
            let faults = state.lock().unwrap().faults.clone();
            if faults.is_dropping {
                let _ = (from.shutdown(Shutdown::Both), to.shutdown(Shutdown::Both));
                return;
            }
            let is_held = faults.is_cut
                || (faults.holds_answers && direction == Direction::Answer)
                || sender.is_held_by(&faults.cut_processes);
            if length == 0 || !is_held {
                thread::sleep(if length == 0 {
                    Duration::ZERO
                } else {
                    faults.delay
                });
                break;
            }
            thread::sleep(HOLD_POLL);
        }
        if to.write_all(&buffer[..length]).is_err() {
            break;
        }
    }
    let _ = (from.shutdown(Shutdown::Both), to.shutdown(Shutdown::Both));
}

/// Sender's end of a loopback connection, so that faults can depend on the process that holds it.
#[derive(Debug)]
struct SenderSocket {
    peer: SocketAddr,
    own: SocketAddr,
    link: Option<String>,
}

impl SenderSocket {
    fn new(peer: SocketAddr, own: SocketAddr) -> Self {
        Self {
            peer,
            own,
            link: None,
        }
    }

    /// Looks the socket up only when a fault names processes: the socket table of a busy machine has many rows.
    fn is_held_by(&mut self, processes: &BTreeSet<u32>) -> bool {
        if processes.is_empty() {
            return false;
        }
        if self.link.is_none() {
            self.link = find_socket(self.peer, self.own);
        }
        // Data of an unknown sender waits: passing it on would end an isolation unnoticed.
        let link = self.link.as_deref();
        link.is_none_or(|link| processes.iter().any(|it| holds_socket(*it, link)))
    }
}

fn find_socket(peer: SocketAddr, own: SocketAddr) -> Option<String> {
    // The socket table is not read at one moment and may lack a row, so it is read again if needed.
    (0..LOOKUPS).find_map(|_| {
        let socket = socket_of(peer, own);
        if socket.is_none() {
            thread::sleep(HOLD_POLL);
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

// Connections to other peers may have the same local port, and a closed one has no inode.
fn socket_of(peer: SocketAddr, own: SocketAddr) -> Option<String> {
    let ends = [peer, own].map(|end| format!("0100007F:{:04X}", end.port()));
    let sockets = File::open("/proc/net/tcp").ok()?;
    let mut lines = BufReader::new(sockets).lines().map_while(Result::ok);
    lines.find_map(|line| {
        let words: Vec<&str> = line.split_whitespace().collect();
        let is_sender = words.get(1..3)? == ends;
        let inode = words.get(9).filter(|inode| **inode != "0")?;
        is_sender.then(|| format!("socket:[{inode}]"))
    })
}
