//! The `status` action: shows the state of replicas and nodes.

use crate::control_client::ControlClient;
use crate::error::Result;
use crate::generated::{Membership, NodeInfo, NodeStatus, StatusReply, TargetState};
use crate::types::NodeId;

use super::table::TextTable;
use super::{Outcome, print};

pub(super) async fn show(client: &ControlClient) -> Result<Outcome> {
    let status = client.status().await?;
    let membership = status.membership.clone().unwrap_or_default();
    let mut text = describe_control(&status);
    text.push('\n');
    text.push_str(&describe_replicas(&membership, status.leader_id));
    text.push('\n');
    text.push_str(&describe_nodes(&status.nodes));
    print(&text)
}

/// Describes a node by its address, service and zone.
pub(super) fn describe_node(status: &NodeStatus) -> String {
    let node = status.node.clone().unwrap_or_default();
    format!(
        "{} service={} zone={}",
        node.mesh_address,
        service_of(&node),
        node.zone
    )
}

fn describe_control(status: &StatusReply) -> String {
    let mut table = TextTable::new(&["TERM", "LEADER", "COMMIT_INDEX", "PLAN_VERSION", "CLAIMS"]);
    let leader = match status.leader_id {
        0 => "none".to_owned(),
        id => id.to_string(),
    };
    table.push(vec![
        status.term.to_string(),
        leader,
        status.commit_index.to_string(),
        status.plan_version.to_string(),
        status.claims.to_string(),
    ]);
    table.render()
}

fn describe_replicas(membership: &Membership, leader_id: u64) -> String {
    let mut table = TextTable::new(&["REPLICA", "ROLE", "ADDRESS"]);
    let voters = membership.voters.iter().map(|replica| (replica, "voter"));
    let learners = membership
        .learners
        .iter()
        .map(|replica| (replica, "learner"));
    for (replica, role) in voters.chain(learners) {
        let is_leader = replica.replica_id == leader_id && role == "voter";
        table.push(vec![
            replica.replica_id.to_string(),
            if is_leader { "leader" } else { role }.to_owned(),
            replica.address.clone(),
        ]);
    }
    table.render()
}

fn describe_nodes(nodes: &[NodeStatus]) -> String {
    let header = [
        "NODE",
        "SERVICE",
        "STATE",
        "SLOTS",
        "ZONE",
        "ADDRESS",
        "VERSION",
        "HEARTBEAT_MS",
    ];
    let mut table = TextTable::new(&header);
    for status in nodes {
        let node = status.node.clone().unwrap_or_default();
        let node_id = NodeId::try_from(node.node_id.as_ref());
        let target = node.target.as_ref();
        table.push(vec![
            node_id.map_or_else(|_| "-".to_owned(), |id| id.to_string()),
            service_of(&node),
            target
                .map_or("-", |target| state_name(target.state()))
                .to_owned(),
            target.map_or(0, |target| target.slots).to_string(),
            node.zone.clone(),
            node.mesh_address.clone(),
            status.plan_version.to_string(),
            status.last_heartbeat_ms.to_string(),
        ]);
    }
    table.render()
}

fn service_of(node: &NodeInfo) -> String {
    let target = node.target.as_ref();
    target.map_or_else(|| "-".to_owned(), |target| target.service.clone())
}

const fn state_name(state: TargetState) -> &'static str {
    match state {
        TargetState::Ready => "ready",
        TargetState::Leaving => "leaving",
        TargetState::Down => "down",
        TargetState::Unspecified => "-",
    }
}
