//! Measures the replicated log on real files: commits per second, latency, and reopening.
//!
//! Prints one `key=value` line per figure. `write FOLDER COUNT` only writes a log with that many
//! entries. `open FOLDER` only reopens a log and prints the resident memory that this added, which is
//! accurate only in a process that did nothing else before. The three-replica runs use one thread per
//! replica and pass messages through channels, so they include the syncs of three replicas on one
//! machine but no network.

use std::collections::BTreeMap;
use std::error::Error;
use std::path::Path;
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::thread;
use std::time::{Duration, Instant};

use ebonyjunction::consensus::{
    ReplicaAction, ReplicaCore, ReplicaEvent, ReplicaRole, ReplicaSettings,
};
use ebonyjunction::generated::command::Change;
use ebonyjunction::generated::{
    ClaimCommand, ClaimKey, ClaimRow, Command, ControlSnapshot, LogEntry, Membership, ReplicaInfo,
};
use ebonyjunction::storage::{FileStore, HardState, LogStore};
use ebonyjunction::types::TickTime;
use hdrhistogram::Histogram;
use prost::Message;

type AnyResult<T> = Result<T, Box<dyn Error>>;

const RUN_TIME: Duration = Duration::from_secs(3);
const TICK_INTERVAL: Duration = Duration::from_millis(10);
const IN_FLIGHT: [usize; 4] = [1, 10, 100, 1_000];
const REOPEN_ENTRIES: [u64; 3] = [100, 1_000, 10_000];
const REOPEN_RUNS: usize = 9;
/// Entries appended per sync while the log for the reopening test is written.
const ENTRIES_PER_SYNC: usize = 10;

fn main() -> AnyResult<()> {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let words: Vec<&str> = arguments.iter().map(String::as_str).collect();
    match words[..] {
        [] => measure_all(),
        ["write", folder, count] => write_log(Path::new(folder), count.parse()?),
        ["open", folder] => measure_memory(Path::new(folder)),
        _ => Err("expected no arguments, `write FOLDER COUNT` or `open FOLDER`".into()),
    }
}

fn measure_all() -> AnyResult<()> {
    for replicas in [1, 3] {
        for in_flight in IN_FLIGHT {
            measure_commits(replicas, in_flight)?;
        }
    }
    for entries in REOPEN_ENTRIES {
        measure_reopen(entries)?;
    }
    print_sizes();
    Ok(())
}

fn claim(number: u64) -> Command {
    let mut key = [0; 16];
    key[..8].copy_from_slice(&number.to_be_bytes());
    Command {
        change: Some(Change::Claim(ClaimCommand {
            key: Some(ClaimKey {
                caller: "maison-web".to_owned(),
                service: "orders".to_owned(),
                key: key.to_vec().into(),
            }),
            attempt_id: key.to_vec().into(),
        })),
    }
}

fn replica_info(replica_id: u64) -> ReplicaInfo {
    ReplicaInfo {
        replica_id,
        address: format!("replica-{replica_id}"),
        ..ReplicaInfo::default()
    }
}

fn now(start: Instant) -> TickTime {
    TickTime::from_start(start.elapsed())
}

/// One replica in its own thread. While it leads, it keeps a fixed number of proposals in flight (closed loop).
struct ReplicaThread {
    id: u64,
    start: Instant,
    core: ReplicaCore,
    inbox: Receiver<(u64, ReplicaEvent)>,
    peers: BTreeMap<u64, Sender<(u64, ReplicaEvent)>>,
    in_flight: BTreeMap<u64, Instant>,
    max_in_flight: usize,
    next_token: u64,
    latency: Histogram<u64>,
    first_commit: Option<Instant>,
    /// Index and term of the last applied entry.
    applied: (u64, u64),
}

impl ReplicaThread {
    fn run(mut self, bound: Duration) -> AnyResult<Option<(f64, Histogram<u64>)>> {
        while self.start.elapsed() < bound {
            let event = match self.inbox.recv_timeout(self.receive_timeout()) {
                Ok((_, event)) => Some(event),
                Err(RecvTimeoutError::Timeout) => None,
                Err(RecvTimeoutError::Disconnected) => break,
            };
            self.step(event.unwrap_or(ReplicaEvent::Tick))?;
            while let Ok((_, event)) = self.inbox.try_recv() {
                self.step(event)?;
            }
            self.propose()?;
            let actions = self.core.flush(now(self.start))?;
            self.perform_actions(actions)?;
        }
        let Some(first_commit) = self.first_commit else {
            return Ok(None);
        };
        let rate = self.latency.len() as f64 / first_commit.elapsed().as_secs_f64();
        Ok(Some((rate, self.latency)))
    }

    /// Returns how long to wait for a message. A leader without peers gets none, so it does not wait.
    fn receive_timeout(&self) -> Duration {
        let is_leader = self.core.role() == ReplicaRole::Leader;
        if is_leader && self.peers.is_empty() {
            Duration::ZERO
        } else {
            TICK_INTERVAL
        }
    }

    fn step(&mut self, event: ReplicaEvent) -> AnyResult<()> {
        let actions = self.core.step(now(self.start), event)?;
        self.perform_actions(actions)
    }

    fn propose(&mut self) -> AnyResult<()> {
        while self.core.role() == ReplicaRole::Leader && self.in_flight.len() < self.max_in_flight {
            let token = self.next_token;
            self.next_token += 1;
            self.in_flight.insert(token, Instant::now());
            let command = claim(token);
            self.step(ReplicaEvent::Propose { token, command })?;
        }
        Ok(())
    }

    fn perform_actions(&mut self, actions: Vec<ReplicaAction>) -> AnyResult<()> {
        for action in actions {
            match action {
                ReplicaAction::Send { to, message } => self.send(to.replica_id, message),
                ReplicaAction::Commit {
                    index, term, token, ..
                } => {
                    self.applied = (index, term);
                    self.record_commit(token)?;
                }
                ReplicaAction::RejectProposal { token } => {
                    self.in_flight.remove(&token);
                }
                ReplicaAction::CreateSnapshot { .. } => self.snapshot()?,
                ReplicaAction::Restore { .. } | ReplicaAction::RoleChanged { .. } => {}
            }
        }
        Ok(())
    }

    fn send(&self, to: u64, message: ebonyjunction::consensus::PeerMessage) {
        let event = ReplicaEvent::Message {
            from: self.id,
            message,
        };
        if let Some(peer) = self.peers.get(&to) {
            // A replica that has reached the end of its run no longer receives.
            let _ = peer.send((self.id, event));
        }
    }

    fn record_commit(&mut self, token: Option<u64>) -> AnyResult<()> {
        let Some(sent_at) = token.and_then(|token| self.in_flight.remove(&token)) else {
            return Ok(());
        };
        self.first_commit.get_or_insert_with(Instant::now);
        let micros = sent_at.elapsed().as_micros() as u64;
        self.latency.record(micros.max(1))?;
        Ok(())
    }

    fn snapshot(&mut self) -> AnyResult<()> {
        let (last_index, last_term) = self.applied;
        self.step(ReplicaEvent::SnapshotReady {
            meta: ebonyjunction::storage::SnapshotMeta {
                last_index,
                last_term,
            },
            data: ControlSnapshot::default().encode_to_vec().into(),
        })
    }
}

fn measure_commits(replicas: u64, in_flight: usize) -> AnyResult<()> {
    let folder = tempfile::tempdir()?;
    let start = Instant::now();
    let mut inboxes = BTreeMap::new();
    let mut senders = BTreeMap::new();
    for id in 1..=replicas {
        let (sender, inbox) = channel();
        senders.insert(id, sender);
        inboxes.insert(id, inbox);
    }
    let mut threads = Vec::new();
    for (id, inbox) in inboxes {
        let mut peers = senders.clone();
        peers.remove(&id);
        let path = folder.path().join(id.to_string());
        threads.push(thread::spawn(move || {
            let core = open_core(id, replicas, &path, start).map_err(|error| error.to_string())?;
            let replica = ReplicaThread {
                id,
                start,
                core,
                inbox,
                peers,
                in_flight: BTreeMap::new(),
                max_in_flight: in_flight,
                next_token: 1,
                latency: Histogram::new(3).map_err(|error| error.to_string())?,
                first_commit: None,
                applied: (0, 0),
            };
            replica.run(RUN_TIME).map_err(|error| error.to_string())
        }));
    }
    for thread in threads {
        let result = thread.join().map_err(|_| "a replica thread panicked")??;
        if let Some((rate, latency)) = result {
            print_commits(replicas, in_flight, rate, &latency);
        }
    }
    Ok(())
}

fn open_core(id: u64, replicas: u64, path: &Path, start: Instant) -> AnyResult<ReplicaCore> {
    let membership = Membership {
        voters: (1..=replicas).map(replica_info).collect(),
        learners: Vec::new(),
    };
    let settings = ReplicaSettings {
        bootstrap: true,
        ..ReplicaSettings::default()
    };
    let store = Box::new(FileStore::open(path)?);
    let own = replica_info(id);
    Ok(ReplicaCore::new(
        settings,
        own,
        store,
        membership,
        now(start),
        id,
    )?)
}

fn print_commits(replicas: u64, in_flight: usize, rate: f64, latency: &Histogram<u64>) {
    let name = format!("replicas_{replicas}_in_flight_{in_flight}");
    println!("{name}_commits_per_s={rate:.0}");
    for (label, quantile) in [("p50", 0.50), ("p99", 0.99)] {
        println!(
            "{name}_latency_{label}_us={}",
            latency.value_at_quantile(quantile)
        );
    }
}

fn write_log(folder: &Path, entries: u64) -> AnyResult<()> {
    let mut store = FileStore::open(folder)?;
    store.set_hard_state(HardState {
        term: 1,
        vote: Some(1),
    })?;
    let all: Vec<LogEntry> = (1..=entries)
        .map(|index| LogEntry {
            index,
            term: 1,
            command: Some(claim(index)),
        })
        .collect();
    for batch in all.chunks(ENTRIES_PER_SYNC) {
        store.append(batch)?;
        store.sync()?;
    }
    Ok(())
}

fn measure_reopen(entries: u64) -> AnyResult<()> {
    let folder = tempfile::tempdir()?;
    write_log(folder.path(), entries)?;
    let mut times = Vec::new();
    for _ in 0..REOPEN_RUNS {
        let started = Instant::now();
        let store = FileStore::open(folder.path())?;
        times.push(started.elapsed().as_micros());
        drop(store);
    }
    times.sort_unstable();
    println!("reopen_{entries}_median_us={}", times[REOPEN_RUNS / 2]);
    println!("reopen_{entries}_max_us={}", times[REOPEN_RUNS - 1]);
    println!(
        "reopen_{entries}_file_bytes={}",
        folder_bytes(folder.path())?
    );
    Ok(())
}

fn measure_memory(folder: &Path) -> AnyResult<()> {
    let before = resident_kib()?;
    let store = FileStore::open(folder)?;
    let added = resident_kib()?.saturating_sub(before);
    println!("open_entries={}", store.last_index());
    println!("open_added_rss_kib={added}");
    Ok(())
}

fn folder_bytes(folder: &Path) -> AnyResult<u64> {
    let mut total = 0;
    for item in std::fs::read_dir(folder)? {
        total += item?.metadata()?.len();
    }
    Ok(total)
}

/// Returns the resident memory of the process, as Linux reports it.
fn resident_kib() -> AnyResult<u64> {
    let status = std::fs::read_to_string("/proc/self/status")?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().nth(1));
    Ok(number.ok_or("no VmRSS line")?.parse()?)
}

fn print_sizes() {
    let entry = LogEntry {
        index: 100_000,
        term: 10,
        command: Some(claim(1)),
    };
    println!("claim_entry_bytes={}", entry.encoded_len());
    let row = ClaimRow {
        key: Some(ClaimKey {
            caller: "maison-web".to_owned(),
            service: "orders".to_owned(),
            key: vec![0; 16].into(),
        }),
        attempt_id: vec![0; 16].into(),
        outcome: 2,
        released_attempt_ids: Vec::new(),
    };
    let snapshot = ControlSnapshot {
        claims: vec![row; 1_000],
        ..ControlSnapshot::default()
    };
    println!("snapshot_1000_claims_bytes={}", snapshot.encoded_len());
}
