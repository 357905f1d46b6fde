//! Directory entries used for target selection.

use std::net::SocketAddr;

use crate::types::{NodeId, RegionName, ServiceName, ZoneName};

/// Readiness that a target announces.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum TargetState {
    /// The target accepts work.
    Ready,
    /// The target finishes its running requests and accepts no new ones.
    Leaving,
    /// The target does not accept connections.
    Down,
}

/// Directory entry of one target and its node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetRecord {
    /// Identity of the current run of the target's node.
    pub node_id: NodeId,
    /// Service that the target serves.
    pub service: ServiceName,
    /// Mesh address of the node.
    pub address: SocketAddr,
    /// Availability zone of the target.
    pub zone: ZoneName,
    /// Region of the target.
    pub region: RegionName,
    /// Requests that the target serves concurrently.
    pub slots: u32,
    /// Connections that the target accepts.
    pub connections: u32,
    /// Announced readiness.
    pub state: TargetState,
}

/// Change of the directory held by a node.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct DirectoryUpdate {
    /// Whether `changed` replaces the whole directory.
    pub full: bool,
    /// Targets that are new or changed.
    pub changed: Vec<TargetRecord>,
    /// Nodes that were removed from the directory.
    pub removed: Vec<NodeId>,
}
