//! Terms of a target, which its answers have stated: how many requests it accepts, and whether it is leaving.
//!
//! The node beside the target enforces them. A restarted node has forgotten them, so every node that has received them
//! sends them along with its requests to that target.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use crate::admission::RequestRate;
use crate::error::MeshError;
use crate::types::{NodeId, TickTime};

use super::announced_target::check_target_id;

/// Memory for the terms of other targets.
const MAX_BOOK_BYTES: usize = 256 * 1024;
const FIELD_SEPARATOR: char = ';';
const NO_LIMIT: &str = "-";

/// One incarnation of a target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct TargetIdentity {
    pub(super) id: String,
    pub(super) born_ms: u64,
}

/// What an incarnation has stated in its answers.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct TargetTerms {
    pub(super) identity: TargetIdentity,
    /// Requests per second that it accepts from all nodes together.
    pub(super) limit: Option<RequestRate>,
    pub(super) is_leaving: bool,
}

impl fmt::Display for TargetTerms {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let TargetIdentity { id, born_ms } = &self.identity;
        write!(f, "{born_ms};{};", u8::from(self.is_leaving))?;
        match self.limit {
            Some(limit) => limit.fmt(f)?,
            None => f.write_str(NO_LIMIT)?,
        }
        write!(f, ";{id}")
    }
}

impl TryFrom<&str> for TargetTerms {
    type Error = MeshError;

    fn try_from(text: &str) -> Result<Self, Self::Error> {
        let malformed = || MeshError::invalid("target terms", format!("{text:?} is malformed"));
        // The id comes last, because it may contain the separator.
        let mut fields = text.splitn(4, FIELD_SEPARATOR);
        let mut next_field = || fields.next().ok_or_else(malformed);
        let born_ms = next_field()?.parse().map_err(|_| malformed())?;
        let is_leaving = match next_field()? {
            "0" => false,
            "1" => true,
            _ => return Err(malformed()),
        };
        let limit = match next_field()? {
            NO_LIMIT => None,
            rate => Some(rate.try_into()?),
        };
        let id = next_field()?.to_owned();
        check_target_id(&id)?;
        Ok(Self {
            identity: TargetIdentity { id, born_ms },
            limit,
            is_leaving,
        })
    }
}

/// State of a target that its node reports with the result of an attempt.
#[derive(Debug, Clone, Default, PartialEq)]
pub(super) struct TargetStatus {
    /// Terms in force, if there are any.
    pub(super) terms: Option<TargetTerms>,
    /// Number of changes of the terms in this run of the node. Results may overtake each other.
    pub(super) revision: u64,
    /// Expected time until the limit admits another request; `None` if the target has no limit.
    pub(super) limit_wait: Option<Duration>,
}

#[derive(Debug)]
struct HeldTerms {
    node_id: NodeId,
    revision: u64,
    terms: TargetTerms,
    received_at: TickTime,
}

impl HeldTerms {
    fn bytes(&self) -> usize {
        size_of::<SocketAddr>() + size_of::<Self>() + self.terms.identity.id.len()
    }
}

/// Terms that this node has received with answers, by the address of the target's node. They outlive a restart of that node.
#[derive(Debug, Default)]
pub(super) struct TermsBook {
    held: BTreeMap<SocketAddr, HeldTerms>,
    bytes: usize,
}

impl TermsBook {
    pub(super) fn get(&self, address: SocketAddr) -> Option<TargetTerms> {
        self.held.get(&address).map(|held| held.terms.clone())
    }

    /// Applies the status that came with a result. Only an answer of the target itself shows that it has no terms: a node that
    /// has just started refuses requests before it knows them.
    pub(super) fn record(
        &mut self,
        now: TickTime,
        address: SocketAddr,
        node_id: NodeId,
        status: &TargetStatus,
        has_run: bool,
    ) {
        let known = self.held.get(&address);
        if known.is_some_and(|held| held.node_id == node_id && held.revision > status.revision) {
            return;
        }
        match &status.terms {
            Some(terms) => {
                self.remove(address);
                let held = HeldTerms {
                    node_id,
                    revision: status.revision,
                    terms: terms.clone(),
                    received_at: now,
                };
                self.bytes += held.bytes();
                self.held.insert(address, held);
                self.evict();
            }
            None if has_run => self.remove(address),
            None => {}
        }
    }

    fn remove(&mut self, address: SocketAddr) {
        if let Some(held) = self.held.remove(&address) {
            self.bytes -= held.bytes();
        }
    }

    fn evict(&mut self) {
        while self.bytes > MAX_BOOK_BYTES {
            let oldest = self.held.iter().min_by_key(|(_, held)| held.received_at);
            let Some(address) = oldest.map(|(address, _)| *address) else {
                return;
            };
            log::warn!("event=target_terms_evicted peer={address}");
            self.remove(address);
        }
    }
}
