//! Directory entries as routing sees them.

use std::net::SocketAddr;

use crate::types::{NodeId, RegionName, ServiceName, ZoneName};

/// What a target says about its readiness.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum TargetState {
    /// The target accepts work.
    Ready,
    /// The target finishes its work and accepts none.
    Leaving,
    /// The target does not accept connections.
    Down,
}

/// One target with its node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetRecord {
    /// Run of the node beside the target.
    pub node_id: NodeId,
    /// Service that the target serves.
    pub service: ServiceName,
    /// Mesh address of the node.
    pub address: SocketAddr,
    /// Availability zone of the target.
    pub zone: ZoneName,
    /// Region of the target.
    pub region: RegionName,
    /// Requests that the target serves at once.
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
    /// Nodes that are gone.
    pub removed: Vec<NodeId>,
}
