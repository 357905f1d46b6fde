//! Requests that are running at the local target, used to tell the calls that they make from client requests.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

use http::header::HeaderValue;

use crate::admission::ChainPosition;
use crate::types::{ChainRank, TickTime};

use super::chain_limits::tighter;
use super::hop::HopRequest;
use super::state::lock;

/// Separates the id of a request from the suffix that identifies a call made by it.
const ID_SEPARATOR: char = '.';

/// Returns the rank of the call chain that a request belongs to.
pub(super) fn chain_rank(request_id: &HeaderValue) -> ChainRank {
    let id = request_id.as_bytes();
    let first_id = id.split(|byte| *byte == ID_SEPARATOR as u8).next();
    ChainRank::from_first_id(first_id.unwrap_or(id))
}

/// Properties of a running request that apply to the calls it makes.
#[derive(Debug, Clone, Copy)]
pub(super) struct ParentRequest {
    /// Urgency of the first request of the call chain.
    pub(super) urgency: u32,
    pub(super) is_repeat: bool,
    /// Deadline of the call chain.
    pub(super) end_at: TickTime,
    /// Whether a call of the request was refused, here or further downstream.
    has_refused_call: bool,
    /// Tightest limit that came with the answers to its calls.
    chain_limit: Option<ChainPosition>,
}

/// Requests that are running at the local target, by request id.
#[derive(Debug, Default)]
pub(super) struct ParentTable {
    running: Mutex<BTreeMap<String, ParentEntry>>,
}

#[derive(Debug)]
struct ParentEntry {
    request: ParentRequest,
    route: Option<Arc<str>>,
}

impl ParentTable {
    /// Registers a running request. Dropping the result removes it.
    pub(super) fn register(&self, request: &HopRequest, end_at: TickTime) -> RunningParent<'_> {
        let id = request.request_id.to_str().unwrap_or_default().to_owned();
        let parent = ParentRequest {
            urgency: request.urgency,
            is_repeat: request.is_repeat,
            end_at,
            has_refused_call: false,
            chain_limit: None,
        };
        let entry = ParentEntry {
            request: parent,
            route: request.route.clone(),
        };
        lock(&self.running).insert(id.clone(), entry);
        RunningParent { table: self, id }
    }

    /// Finds the parent of a call made by the local target. Targets append a dot and a call id to the id of the request
    /// that they serve. A call whose id does not contain that of a running request has no parent.
    pub(super) fn parent_of(&self, request_id: &str) -> Option<ParentRequest> {
        let (parent_id, _) = request_id.rsplit_once(ID_SEPARATOR)?;
        let running = lock(&self.running);
        running.get(parent_id).map(|entry| entry.request)
    }

    /// Returns the route of the parent of a call, if it is known.
    pub(super) fn route_of_parent(&self, request_id: &str) -> Option<Arc<str>> {
        let (parent_id, _) = request_id.rsplit_once(ID_SEPARATOR)?;
        lock(&self.running).get(parent_id)?.route.clone()
    }

    /// Records the end of a call: the limit that came with its answer, and whether it was refused. If the parent of a
    /// refused call fails, running the parent again would only repeat all its calls.
    pub(super) fn record_call(
        &self,
        request_id: &str,
        limit: Option<ChainPosition>,
        is_refused: bool,
    ) {
        let Some((parent_id, _)) = request_id.rsplit_once(ID_SEPARATOR) else {
            return;
        };
        if let Some(entry) = lock(&self.running).get_mut(parent_id) {
            let parent = &mut entry.request;
            parent.has_refused_call |= is_refused;
            parent.chain_limit = tighter(parent.chain_limit, limit);
        }
    }
}

/// Entry of a running request in the table, removed on drop.
#[derive(Debug)]
pub(super) struct RunningParent<'a> {
    table: &'a ParentTable,
    id: String,
}

impl RunningParent<'_> {
    /// Returns whether a call of the request was refused.
    pub(super) fn has_refused_call(&self) -> bool {
        self.current().is_some_and(|parent| parent.has_refused_call)
    }

    /// Returns the tightest limit that came with the answers to the request's calls.
    pub(super) fn chain_limit(&self) -> Option<ChainPosition> {
        self.current().and_then(|parent| parent.chain_limit)
    }

    fn current(&self) -> Option<ParentRequest> {
        let running = lock(&self.table.running);
        running.get(&self.id).map(|entry| entry.request)
    }
}

impl Drop for RunningParent<'_> {
    fn drop(&mut self) {
        lock(&self.table.running).remove(&self.id);
    }
}
