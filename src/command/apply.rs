//! The `plans apply` action: sends edited lists to the control replicas and optionally waits for all nodes.

use std::collections::BTreeSet;
use std::time::Duration;

use prost::Message;
use sha2::{Digest, Sha256};
use tokio::time::{Instant, sleep};
use uuid::Uuid;

use crate::config::OperatorConfig;
use crate::control_client::ControlClient;
use crate::error::{MeshError, Result};
use crate::generated::{ApplyReply, ApplyRequest, PlanSet, StatusReply};
use crate::plans::{PlanBook, encode_hex};

use super::arguments::ApplyOptions;
use super::change_folder::{ChangeFolder, PendingChange};
use super::lists::{describe_difference, fetch_book, read_book};
use super::status::describe_node;
use super::{Outcome, print};

const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(250);
// Nodes report their version in a heartbeat each second; a shorter interval would list nodes that are only between two
// heartbeats.
const REPORT_INTERVAL: Duration = Duration::from_millis(2_500);
// A new leader has heard from all live nodes after one lease of 3 s; this adds 1 s.
const LEADER_SETTLE_TIME: Duration = Duration::from_secs(4);

pub(super) async fn apply(
    client: &ControlClient,
    config: &OperatorConfig,
    options: &ApplyOptions,
) -> Result<Outcome> {
    let book = read_book(&options.files)?;
    let folder = ChangeFolder::open(&config.change_folder)?;
    let change = prepare_change(client, &folder, options, &book).await?;
    let before = if options.is_waiting {
        client.status().await.ok()
    } else {
        None
    };
    let request = ApplyRequest {
        change_id: change.change_id.clone(),
        base_version: change.base_version,
        plans: Some(PlanSet::from(&book)),
        relayed: false,
    };
    let reply = match client.apply_plans(request).await {
        Ok(reply) => reply,
        Err(error) => return Err(unknown_result_error(&folder, &change, &error)),
    };
    if reply.accepted {
        folder.record_version(reply.version)?;
    }
    folder.remove_pending()?;
    let outcome = report_result(&change, &reply, &book)?;
    if outcome == Outcome::Done && options.is_waiting {
        return wait_for_nodes(client, reply.version, before).await;
    }
    Ok(outcome)
}

/// Returns the pending change if it has the same lists and base version. Without a pending change, creates one and
/// stores it before anything is sent.
async fn prepare_change(
    client: &ControlClient,
    folder: &ChangeFolder,
    options: &ApplyOptions,
    book: &PlanBook,
) -> Result<PendingChange> {
    let lists_sha256 = digest_lists(book);
    if let Some(change) = folder.pending()? {
        return resume_change(folder, options, change, &lists_sha256);
    }
    let base_version = match options.base_version {
        Some(version) => version,
        None => match folder.seen_version()? {
            Some(version) => version,
            None => fetch_book(client).await?.version(),
        },
    };
    let change = PendingChange {
        change_id: Uuid::new_v4().to_string(),
        base_version,
        lists_sha256,
    };
    folder.store_pending(&change)?;
    Ok(change)
}

fn resume_change(
    folder: &ChangeFolder,
    options: &ApplyOptions,
    change: PendingChange,
    lists_sha256: &str,
) -> Result<PendingChange> {
    let is_same_base = options
        .base_version
        .is_none_or(|version| version == change.base_version);
    if change.lists_sha256 != lists_sha256 || !is_same_base {
        return Err(MeshError::Control(format!(
            "the result of change {} with other lists is not known; apply those lists again, or remove {} to abandon \
             the change",
            change.change_id,
            folder.pending_path().display(),
        )));
    }
    eprintln!("resending change {}", change.change_id);
    Ok(change)
}

fn unknown_result_error(
    folder: &ChangeFolder,
    change: &PendingChange,
    error: &MeshError,
) -> MeshError {
    MeshError::ControlUnavailable(format!(
        "{error}; the result of change {} is not known; repeat the command to resend it (stored in {})",
        change.change_id,
        folder.pending_path().display(),
    ))
}

fn report_result(change: &PendingChange, reply: &ApplyReply, book: &PlanBook) -> Result<Outcome> {
    if reply.accepted {
        print(&format!(
            "accepted: version {} (change {})\n",
            reply.version, change.change_id
        ))?;
        return Ok(Outcome::Done);
    }
    if !reply.findings.is_empty() {
        eprintln!("refused:\n{}", reply.findings.join("\n"));
        return Ok(Outcome::BadInput);
    }
    eprintln!(
        "conflict: the lists were made from version {}, version {} was in force",
        change.base_version, reply.version
    );
    if let Some(current) = &reply.current {
        let current = PlanBook::try_from(current)?;
        print(&describe_difference(&current, book))?;
    }
    Ok(Outcome::Conflict)
}

async fn wait_for_nodes(
    client: &ControlClient,
    version: u64,
    before: Option<StatusReply>,
) -> Result<Outcome> {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    let mut tracker = NodeTracker::new(before);
    let mut next_report = Instant::now() + REPORT_INTERVAL;
    loop {
        let outdated = match client.status().await {
            Ok(status) => tracker.describe_outdated(&status, version),
            Err(error) => vec![error.to_string()],
        };
        if outdated.is_empty() {
            let count = tracker.count;
            print(&format!(
                "version {version} is in force at all {count} nodes\n"
            ))?;
            return Ok(Outcome::Done);
        }
        if Instant::now() >= deadline {
            eprintln!(
                "version {version} is accepted; nodes without it after {} s:",
                WAIT_TIMEOUT.as_secs()
            );
            print_outdated(&outdated);
            return Ok(Outcome::Failed);
        }
        if Instant::now() >= next_report {
            next_report = Instant::now() + REPORT_INTERVAL;
            eprintln!("waiting for {} nodes:", outdated.len());
            print_outdated(&outdated);
        }
        sleep(POLL_INTERVAL).await;
    }
}

fn print_outdated(outdated: &[String]) {
    for node in outdated {
        eprintln!("  {node}");
    }
}

/// Nodes that were alive before the change was sent. After a change of leader, those that the new leader has not heard
/// from count as outdated until `LEADER_SETTLE_TIME` has passed.
#[derive(Debug)]
struct NodeTracker {
    term: u64,
    node_ids: BTreeSet<Vec<u8>>,
    term_changed_at: Option<Instant>,
    /// Number of nodes in the last status.
    count: usize,
}

impl NodeTracker {
    fn new(status: Option<StatusReply>) -> Self {
        let status = status.unwrap_or_default();
        Self {
            term: status.term,
            node_ids: node_ids(&status),
            term_changed_at: None,
            count: 0,
        }
    }

    fn describe_outdated(&mut self, status: &StatusReply, version: u64) -> Vec<String> {
        self.count = status.nodes.len();
        if status.term != self.term {
            self.term = status.term;
            self.term_changed_at = Some(Instant::now());
        }
        if status.leader_id == 0 {
            return vec!["no leader is known".to_owned()];
        }
        let outdated_nodes = status
            .nodes
            .iter()
            .filter(|node| node.plan_version < version);
        let mut outdated: Vec<String> = outdated_nodes
            .map(|node| format!("{} version={}", describe_node(node), node.plan_version))
            .collect();
        let is_leader_new = self
            .term_changed_at
            .is_some_and(|since| since.elapsed() < LEADER_SETTLE_TIME);
        if is_leader_new {
            let missing = self.node_ids.difference(&node_ids(status)).count();
            if missing > 0 {
                outdated.push(format!(
                    "{missing} nodes have sent no heartbeat since the leader changed"
                ));
            }
        }
        outdated
    }
}

fn node_ids(status: &StatusReply) -> BTreeSet<Vec<u8>> {
    let nodes = status.nodes.iter().filter_map(|node| node.node.as_ref());
    nodes.map(|node| node.node_id.to_vec()).collect()
}

fn digest_lists(book: &PlanBook) -> String {
    let digest = Sha256::digest(PlanSet::from(book).encode_to_vec());
    encode_hex(&digest)
}
