//! Client tasks that send heartbeats as nodes do and keep their copy of the directory up to date.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use ebonyjunction::config::MeshToken;
use ebonyjunction::control_client::ControlClient;
use ebonyjunction::directory::DirectoryDigests;
use ebonyjunction::generated::{
    HeartbeatReply, HeartbeatRequest, NodeInfo, TargetInfo, TargetState,
};
use prost::Message;
use tokio::task::JoinHandle;

const SERVICES: usize = 44;
const ZONES: usize = 5;
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
const HEARTBEAT_JITTER: f64 = 0.1;

/// State that one announcer has received from the control replicas.
#[derive(Debug, Default)]
pub(crate) struct AnnouncerView {
    pub(crate) term: u64,
    revision: u64,
    plan_version: u64,
    pub(crate) nodes: BTreeSet<Bytes>,
    held: DirectoryDigests,
    /// Encoded bytes of all replies.
    pub(crate) reply_bytes: u64,
    pub(crate) failed: u64,
}

/// One client task that sends heartbeats in place of a node.
#[derive(Debug)]
pub(crate) struct Announcer {
    pub(crate) node_id: Bytes,
    view: Arc<Mutex<AnnouncerView>>,
    task: JoinHandle<()>,
}

impl Announcer {
    pub(crate) fn start(number: usize, control: &[SocketAddr], token: &str) -> Self {
        let info = node_info(number);
        let node_id = info.node_id.clone();
        let token = MeshToken::try_from(token).expect("valid token");
        let client = ControlClient::new(control.to_vec(), token);
        let view = Arc::default();
        let task = tokio::spawn(run(client, info, Arc::clone(&view)));
        Self {
            node_id,
            view,
            task,
        }
    }

    pub(crate) fn view(&self) -> MutexGuard<'_, AnnouncerView> {
        self.view.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Announcer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Starts `count` announcers, numbered from 0.
pub(crate) fn start_announcers(
    count: usize,
    control: &[SocketAddr],
    token: &str,
) -> Vec<Announcer> {
    (0..count)
        .map(|number| Announcer::start(number, control, token))
        .collect()
}

fn node_info(number: usize) -> NodeInfo {
    let zone = number % ZONES;
    let node_id = uuid::Uuid::new_v4();
    NodeInfo {
        node_id: Bytes::copy_from_slice(node_id.as_bytes()),
        zone: format!("zone-{zone}"),
        region: format!("region-{}", zone % 2),
        mesh_address: format!("127.1.{}.{}:7101", number / 250, number % 250 + 1),
        target: Some(TargetInfo {
            service: format!("service-{}", number % SERVICES),
            slots: 35,
            connections: 300,
            state: TargetState::Ready.into(),
        }),
    }
}

async fn run(client: ControlClient, info: NodeInfo, view: Arc<Mutex<AnnouncerView>>) {
    let lock = || view.lock().unwrap_or_else(PoisonError::into_inner);
    tokio::time::sleep(HEARTBEAT_INTERVAL.mul_f64(rand::random_range(0.0..1.0))).await;
    loop {
        let request = heartbeat(&info, &lock());
        match client.heartbeat(request).await {
            Ok(reply) => lock().apply_reply(reply.message),
            Err(_) => lock().failed += 1,
        }
        let factor = rand::random_range(1.0 - HEARTBEAT_JITTER..1.0 + HEARTBEAT_JITTER);
        tokio::time::sleep(HEARTBEAT_INTERVAL.mul_f64(factor)).await;
    }
}

fn heartbeat(info: &NodeInfo, view: &AnnouncerView) -> HeartbeatRequest {
    HeartbeatRequest {
        node: Some(info.clone()),
        plan_version: view.plan_version,
        directory_term: view.term,
        directory_revision: view.revision,
        directory_digest: view.held.digest(),
        all_services: true,
        ..HeartbeatRequest::default()
    }
}

impl AnnouncerView {
    fn apply_reply(&mut self, reply: HeartbeatReply) {
        self.reply_bytes += reply.encoded_len() as u64;
        self.plan_version = reply.plan_version;
        let Some(delta) = reply.directory else {
            return;
        };
        self.held.apply(&delta);
        if delta.full {
            self.nodes.clear();
        }
        self.nodes
            .extend(delta.changed.into_iter().map(|node| node.node_id));
        for node_id in &delta.removed {
            self.nodes.remove(node_id);
        }
        self.term = delta.term;
        self.revision = delta.revision;
    }
}
