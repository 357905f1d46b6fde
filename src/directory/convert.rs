//! Conversion between generated messages and the validated types of the directory.

use crate::error::{MeshError, Result};
use crate::generated::{DirectoryDelta, NodeInfo, TargetInfo, TargetState as StateMessage};
use crate::routing::{DirectoryUpdate, TargetRecord, TargetState};
use crate::types::NodeId;

/// Maximum number of slots that a target may announce.
pub(crate) const MAX_SLOTS: u32 = 1_000_000;

impl TargetRecord {
    /// Validates the announcement of a node. Returns `None` for a node without a target.
    pub fn from_node(node: &NodeInfo) -> Result<Option<Self>> {
        let node_id = NodeId::try_from(node.node_id.as_ref())?;
        let address = node
            .mesh_address
            .parse()
            .map_err(|_| MeshError::invalid("mesh_address", "must be IP:PORT"))?;
        let zone = node.zone.as_str().try_into()?;
        let region = node.region.as_str().try_into()?;
        let Some(target) = &node.target else {
            return Ok(None);
        };
        if !(1..=MAX_SLOTS).contains(&target.slots) {
            let detail = format!("must be 1 to {MAX_SLOTS}");
            return Err(MeshError::invalid("slots", detail));
        }
        Ok(Some(Self {
            node_id,
            service: target.service.as_str().try_into()?,
            address,
            zone,
            region,
            slots: target.slots,
            connections: target.connections,
            state: target.state.try_into()?,
        }))
    }
}

impl TryFrom<&NodeInfo> for TargetRecord {
    type Error = MeshError;

    fn try_from(node: &NodeInfo) -> Result<Self> {
        Self::from_node(node)?.ok_or_else(|| MeshError::invalid("target", "is missing"))
    }
}

impl TryFrom<i32> for TargetState {
    type Error = MeshError;

    fn try_from(raw: i32) -> Result<Self> {
        match StateMessage::try_from(raw) {
            Ok(StateMessage::Ready) => Ok(Self::Ready),
            Ok(StateMessage::Leaving) => Ok(Self::Leaving),
            Ok(StateMessage::Down) => Ok(Self::Down),
            Ok(StateMessage::Unspecified) | Err(_) => {
                Err(MeshError::invalid("target state", format!("{raw}")))
            }
        }
    }
}

impl From<TargetState> for StateMessage {
    fn from(state: TargetState) -> Self {
        match state {
            TargetState::Ready => Self::Ready,
            TargetState::Leaving => Self::Leaving,
            TargetState::Down => Self::Down,
        }
    }
}

impl From<&TargetRecord> for NodeInfo {
    fn from(record: &TargetRecord) -> Self {
        Self {
            node_id: record.node_id.as_bytes().to_vec().into(),
            zone: record.zone.to_string(),
            region: record.region.to_string(),
            mesh_address: record.address.to_string(),
            target: Some(TargetInfo {
                service: record.service.to_string(),
                slots: record.slots,
                connections: record.connections,
                state: StateMessage::from(record.state).into(),
            }),
        }
    }
}

impl From<DirectoryDelta> for DirectoryUpdate {
    /// Reads an update. A row that cannot be read names no target to use, and the other rows hold: a node that refused the
    /// whole update would follow the directory no further.
    fn from(delta: DirectoryDelta) -> Self {
        let mut update = Self {
            full: delta.full,
            ..Self::default()
        };
        for node in &delta.changed {
            match TargetRecord::try_from(node) {
                Ok(record) => update.changed.push(record),
                Err(error) => {
                    log_unreadable(node.node_id.as_ref(), &error);
                    update
                        .removed
                        .extend(NodeId::try_from(node.node_id.as_ref()));
                }
            }
        }
        for id in &delta.removed {
            match NodeId::try_from(id.as_ref()) {
                Ok(node_id) => update.removed.push(node_id),
                Err(error) => log_unreadable(id, &error),
            }
        }
        update
    }
}

fn log_unreadable(node_id: &[u8], error: &MeshError) {
    log::warn!("event=directory_row_unreadable node={node_id:02x?} error={error:?}");
}
