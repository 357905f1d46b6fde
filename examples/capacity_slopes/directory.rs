//! Measures a node, the leader and the followers at several directory sizes: in a steady state, after the loss of a
//! fifth of the nodes, and after the loss of the leader.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;

use crate::announcers::{Announcer, start_announcers};
use crate::calls::lists;
use crate::processes::{
    ChildProcess, ReplicaChild, TOKEN, control_client, start_node, start_replicas, wait_for_leader,
};
use crate::relay::CountingRelay;
use crate::{print_figure, print_load};

const SETTLE_TIME: Duration = Duration::from_secs(8);
const WINDOW: Duration = Duration::from_secs(10);
const NEW_LEADER_WINDOW: Duration = Duration::from_secs(5);
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(10);
const LOST_ONE_IN: usize = 5;

struct DirectoryMesh {
    size: usize,
    replicas: Vec<ReplicaChild>,
    announcers: Vec<Announcer>,
    node: ChildProcess,
    node_relays: Vec<CountingRelay>,
    leader: usize,
}

/// Processor times and byte counts of all processes at one moment.
struct Sample {
    node_cpu: f64,
    cpu: Vec<f64>,
    from_nodes: Vec<f64>,
    from_peers: Vec<f64>,
    node_bytes: f64,
}

/// Measures a directory of `size` announced nodes.
pub(crate) async fn measure(size: usize) {
    print_load(&format!("directory_{size}"));
    let folder = tempfile::tempdir().expect("temporary folder");
    let mut mesh = DirectoryMesh::start(folder.path(), size).await;
    mesh.measure_steady().await;
    mesh.measure_loss().await;
    mesh.measure_new_leader().await;
}

impl DirectoryMesh {
    async fn start(folder: &std::path::Path, size: usize) -> Self {
        let replicas = start_replicas(folder, 3).await;
        wait_for_leader(&replicas, None).await;
        // A node without plans sends five heartbeats per second, which would raise the steady figures.
        let reply = control_client(&replicas).apply_plans(lists()).await;
        assert!(reply.expect("an answer").accepted);
        let mut node_relays = Vec::new();
        for replica in &replicas {
            node_relays.push(CountingRelay::start(replica.address).await);
        }
        let addresses = |relays: &mut dyn Iterator<Item = &CountingRelay>| {
            relays
                .map(|relay| relay.address)
                .collect::<Vec<SocketAddr>>()
        };
        let node = start_node(folder, "node", &addresses(&mut node_relays.iter()));
        let relays = addresses(&mut replicas.iter().map(|replica| &replica.from_nodes));
        let announcers = start_announcers(size, &relays, TOKEN);
        tokio::time::sleep(SETTLE_TIME).await;
        let leader = wait_for_leader(&replicas, None).await;
        Self {
            size,
            replicas,
            announcers,
            node,
            node_relays,
            leader,
        }
    }

    fn print(&self, name: &str, value: f64) {
        print_figure("directory", self.size, name, value);
    }

    fn sample(&self) -> Sample {
        let each = |read: &dyn Fn(&ReplicaChild) -> f64| self.replicas.iter().map(read).collect();
        Sample {
            node_cpu: self.node.cpu_s(),
            cpu: each(&|replica| replica.process.cpu_s()),
            from_nodes: each(&|replica| replica.from_nodes.bytes() as f64),
            from_peers: each(&|replica| replica.from_peers.bytes() as f64),
            node_bytes: self
                .node_relays
                .iter()
                .map(|relay| relay.bytes() as f64)
                .sum(),
        }
    }

    fn followers(&self) -> impl Iterator<Item = usize> + '_ {
        (0..self.replicas.len()).filter(|position| *position != self.leader)
    }

    async fn measure_steady(&self) {
        let before = self.sample();
        tokio::time::sleep(WINDOW).await;
        let after = self.sample();
        let seconds = WINDOW.as_secs_f64();
        let rate = |after: f64, before: f64| (after - before) / seconds;
        self.print(
            "node_core_percent",
            100.0 * rate(after.node_cpu, before.node_cpu),
        );
        self.print("node_rss_mb", self.node.rss_mb());
        self.print(
            "node_bytes_per_s",
            rate(after.node_bytes, before.node_bytes),
        );
        let cpu = |position: usize| 100.0 * rate(after.cpu[position], before.cpu[position]);
        let from_nodes = |at: usize| rate(after.from_nodes[at], before.from_nodes[at]);
        let from_peers = |at: usize| rate(after.from_peers[at], before.from_peers[at]);
        // All replica traffic has the leader at one end; half of the calls it accepts come from each follower.
        let peers: f64 = (0..self.replicas.len()).map(from_peers).sum();
        self.print("leader_core_percent", cpu(self.leader));
        self.print("leader_rss_mb", self.replicas[self.leader].process.rss_mb());
        self.print("leader_bytes_per_s", from_nodes(self.leader) + peers);
        for follower in self.followers() {
            let bytes = from_nodes(follower) + from_peers(follower) + from_peers(self.leader) / 2.0;
            self.print("follower_core_percent", cpu(follower));
            self.print("follower_rss_mb", self.replicas[follower].process.rss_mb());
            self.print("follower_bytes_per_s", bytes);
        }
        let failed: u64 = self
            .announcers
            .iter()
            .map(|announcer| announcer.view().failed)
            .sum();
        self.print("failed_heartbeats", failed as f64);
    }

    async fn measure_loss(&mut self) {
        let replies_before = self.reply_bytes();
        let kept = self.announcers.len() - self.announcers.len() / LOST_ONE_IN;
        let start = Instant::now();
        let leader_cpu = self.replicas[self.leader].process.cpu_s();
        self.announcers.truncate(kept);
        let live: BTreeSet<Bytes> = self
            .announcers
            .iter()
            .map(|announcer| announcer.node_id.clone())
            .collect();
        let times = self
            .wait_for_all(start, |announcer| announcer.view().nodes == live)
            .await;
        self.print("loss_first_node_s", times[0]);
        self.print("loss_last_node_s", times[times.len() - 1]);
        let seconds = start.elapsed().as_secs_f64();
        let received_bytes: u64 = self
            .reply_bytes()
            .iter()
            .zip(&replies_before)
            .map(|(now, old)| now - old)
            .sum();
        self.print(
            "loss_reply_bytes_per_node",
            received_bytes as f64 / kept as f64,
        );
        let cpu = self.replicas[self.leader].process.cpu_s() - leader_cpu;
        self.print("loss_leader_core_percent", 100.0 * cpu / seconds);
    }

    async fn measure_new_leader(&mut self) {
        let old = self.leader;
        let term = self.announcers[0].view().term;
        let before = self.sample();
        let replies_before = self.reply_bytes();
        let start = Instant::now();
        self.replicas[old].process.kill();
        self.leader = wait_for_leader(&self.replicas, Some(old)).await;
        self.print("new_leader_elected_s", start.elapsed().as_secs_f64());
        tokio::time::sleep(NEW_LEADER_WINDOW).await;
        let after = self.sample();
        let new = self.leader;
        self.print("new_leader_core_s", after.cpu[new] - before.cpu[new]);
        self.print("new_leader_rss_mb", self.replicas[new].process.rss_mb());
        let peers = after.from_peers.iter().sum::<f64>() - before.from_peers.iter().sum::<f64>();
        let nodes = after.from_nodes[new] - before.from_nodes[new];
        self.print("new_leader_bytes", nodes + peers);
        let live: BTreeSet<Bytes> = self
            .announcers
            .iter()
            .map(|announcer| announcer.node_id.clone())
            .collect();
        let is_new = |announcer: &Announcer| {
            let view = announcer.view();
            view.term > term && view.nodes.is_superset(&live)
        };
        let times = self.wait_for_all(start, is_new).await;
        // An upper bound, because the views are first checked after the window above.
        self.print("new_leader_directory_within_s", times[times.len() - 1]);
        let received_bytes: u64 = self
            .reply_bytes()
            .iter()
            .zip(&replies_before)
            .map(|(now, old)| now - old)
            .sum();
        self.print(
            "new_leader_reply_bytes_per_node",
            received_bytes as f64 / self.announcers.len() as f64,
        );
        let bytes = self.sample().node_bytes - before.node_bytes;
        self.print("new_leader_node_bytes", bytes);
    }

    fn reply_bytes(&self) -> Vec<u64> {
        self.announcers
            .iter()
            .map(|announcer| announcer.view().reply_bytes)
            .collect()
    }

    /// Waits until `check` holds for every announcer. Returns the sorted seconds after `start` at which it first held.
    async fn wait_for_all(&self, start: Instant, check: impl Fn(&Announcer) -> bool) -> Vec<f64> {
        let mut times = Vec::new();
        let mut waiting: Vec<&Announcer> = self.announcers.iter().collect();
        while !waiting.is_empty() {
            let left = waiting.len();
            assert!(
                start.elapsed() < WAIT_TIMEOUT,
                "{left} nodes are not up to date"
            );
            waiting.retain(|announcer| !check(announcer));
            let now = start.elapsed().as_secs_f64();
            times.resize(times.len() + left - waiting.len(), now);
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        times
    }
}
