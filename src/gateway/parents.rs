//! Requests that run at the own target, so that the calls that they make can be told from requests of clients.

use std::collections::BTreeMap;
use std::sync::Mutex;

use http::header::HeaderValue;

use crate::types::{ChainRank, TickTime};

use super::hop::HopRequest;
use super::state::lock;

/// Stands between the id of a request and the ids of the calls that it makes.
const ID_SEPARATOR: char = '.';

/// Returns the order of the chain of calls that a request belongs to.
pub(super) fn chain_rank(request_id: &HeaderValue) -> ChainRank {
    let id = request_id.as_bytes();
    let first_id = id.split(|byte| *byte == ID_SEPARATOR as u8).next();
    ChainRank::from_first_id(first_id.unwrap_or(id))
}

/// Request that runs at the own target, as far as it concerns the calls that it makes.
#[derive(Debug, Clone, Copy)]
pub(super) struct ParentRequest {
    /// Rank of the request that the chain of calls began with.
    pub(super) urgency: u32,
    pub(super) is_repeat: bool,
    /// Time at which nobody waits for the chain any more.
    pub(super) end_at: TickTime,
    /// A call of the request was turned away, here or further down the chain.
    has_refused_call: bool,
}

/// Requests that run at the own target, by request id.
#[derive(Debug, Default)]
pub(super) struct ParentTable {
    running: Mutex<BTreeMap<String, ParentRequest>>,
}

impl ParentTable {
    /// Lists a request until the result is dropped.
    pub(super) fn list(&self, request: &HopRequest, end_at: TickTime) -> RunningParent<'_> {
        let id = request.request_id.to_str().unwrap_or_default().to_owned();
        let parent = ParentRequest {
            urgency: request.urgency,
            is_repeat: request.is_repeat,
            end_at,
            has_refused_call: false,
        };
        lock(&self.running).insert(id.clone(), parent);
        RunningParent { table: self, id }
    }

    /// Finds the request that a call of the own target belongs to. Targets extend the id of the request that they serve
    /// by a dot and an id of the call; a call whose id does not show its parent has none.
    pub(super) fn parent_of(&self, request_id: &str) -> Option<ParentRequest> {
        let (parent_id, _) = request_id.rsplit_once(ID_SEPARATOR)?;
        lock(&self.running).get(parent_id).copied()
    }

    /// Notes that a call was turned away. If its parent fails, running the parent again would only repeat all its calls.
    pub(super) fn note_refused_call(&self, request_id: &str) {
        let Some((parent_id, _)) = request_id.rsplit_once(ID_SEPARATOR) else {
            return;
        };
        if let Some(parent) = lock(&self.running).get_mut(parent_id) {
            parent.has_refused_call = true;
        }
    }
}

/// Place of a request in the table.
#[derive(Debug)]
pub(super) struct RunningParent<'a> {
    table: &'a ParentTable,
    id: String,
}

impl RunningParent<'_> {
    /// Returns whether a call of the request was turned away.
    pub(super) fn has_refused_call(&self) -> bool {
        let running = lock(&self.table.running);
        running
            .get(&self.id)
            .is_some_and(|parent| parent.has_refused_call)
    }
}

impl Drop for RunningParent<'_> {
    fn drop(&mut self) {
        lock(&self.table.running).remove(&self.id);
    }
}
