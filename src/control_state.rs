//! State machine of the replicated log: plans, routes, claims of idempotency keys, and membership of replicas.
//!
//! Applying the same commands in the same order gives the same state and the same results at every replica.

mod claims;
mod history;
mod route_history;

use std::sync::Arc;

use prost::Message;

use crate::error::{MeshError, Result};
use crate::generated::command::Change;
use crate::generated::{
    ClaimCommand, ClaimDecision, Command, ControlSnapshot, Membership, PlanChange, PlanSet,
    RouteDelta, RouteSet, SettleCommand,
};
use crate::plans::PlanBook;
use crate::types::{AttemptId, IdempotencyKey};

use claims::{ClaimScope, ClaimTable};
use history::ChangeHistory;
pub use history::PlanResult;
use route_history::RouteHistory;
pub use route_history::RouteResult;

/// Result of a committed command.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ApplyResult {
    /// The command has no result to report.
    None,
    /// Result of a change to the routes.
    Routes(RouteResult),
    /// Result of a change to the plans; a resent change id gets the same result.
    Plans(PlanResult),
    /// Decision on a claim.
    Claim {
        /// The decision.
        decision: ClaimDecision,
        /// Attempt that holds the key for `InProgress` and `AlreadyDone`; the claiming attempt otherwise.
        holder: AttemptId,
    },
    /// The outcome of the attempt is recorded.
    Settled,
}

/// State that each replica derives from the committed commands.
#[derive(Debug, Default)]
pub struct ControlState {
    plans: Arc<PlanBook>,
    history: ChangeHistory,
    claims: ClaimTable,
    routes: RouteHistory,
    membership: Membership,
    last_index: u64,
}

impl ControlState {
    /// Creates an empty state with version 0 of the plans.
    pub fn new() -> Self {
        Self::default()
    }

    /// Applies a committed command. Commands up to the last applied index are skipped.
    pub fn apply(&mut self, index: u64, command: &Command) -> ApplyResult {
        if index <= self.last_index {
            return ApplyResult::None;
        }
        self.last_index = index;
        match &command.change {
            Some(Change::Plans(change)) => ApplyResult::Plans(self.apply_plans(change)),
            Some(Change::Routes(change)) => ApplyResult::Routes(self.routes.apply(change)),
            Some(Change::Claim(claim)) => self.apply_claim(claim),
            Some(Change::Settle(settle)) => self.apply_settle(settle),
            Some(Change::Expire(expire)) => {
                self.claims.expire(expire.created_before_ms);
                ApplyResult::None
            }
            Some(Change::Membership(membership)) => {
                self.membership = membership.clone();
                ApplyResult::None
            }
            Some(Change::Noop(_)) | None => ApplyResult::None,
        }
    }

    /// Returns the current plans.
    pub fn plans(&self) -> &Arc<PlanBook> {
        &self.plans
    }

    /// Returns the current routes, with the document that they were read from.
    pub fn routes(&self) -> &RouteSet {
        self.routes.current()
    }

    /// Returns the changes of the routes since `held_version`, or all routes if that version is no longer kept.
    pub fn route_delta(&self, held_version: u64) -> RouteDelta {
        self.routes.delta_since(held_version)
    }

    /// Returns the result of a change of the plans, if it is among the recent ones.
    pub fn change_result(&self, change_id: &str) -> Option<PlanResult> {
        self.history.result_of(change_id)
    }

    /// Returns the committed membership of replicas.
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// Sets a membership that does not come from a logged command.
    pub fn set_membership(&mut self, membership: Membership) {
        self.membership = membership;
    }

    /// Returns the index of the last applied command.
    pub fn last_index(&self) -> u64 {
        self.last_index
    }

    /// Returns the number of recorded claims.
    pub fn claims_len(&self) -> usize {
        self.claims.len()
    }

    /// Returns the creation time of the oldest recorded key, in milliseconds since the Unix epoch.
    pub fn oldest_claim_ms(&self) -> Option<u64> {
        self.claims.oldest_ms()
    }

    /// Serializes the whole state; equal states give equal bytes.
    pub fn snapshot(&self) -> Vec<u8> {
        let snapshot = ControlSnapshot {
            plans: Some(PlanSet::from(self.plans.as_ref())),
            membership: Some(self.membership.clone()),
            claims: self.claims.rows(),
            created_before_ms: self.claims.created_before_ms(),
            recent_changes: self.history.rows(),
            last_index: self.last_index,
            // The term is stored in the metadata of the snapshot file.
            last_term: 0,
            routes: Some(self.routes.current().clone()),
            route_digests: self.routes.digests(),
        };
        snapshot.encode_to_vec()
    }

    /// Replaces the whole state by a snapshot. If the snapshot is invalid, the state does not change.
    pub fn restore(&mut self, data: &[u8]) -> Result<()> {
        let snapshot = ControlSnapshot::decode(data)
            .map_err(|error| MeshError::invalid("snapshot", error.to_string()))?;
        let plans = PlanBook::try_from(&snapshot.plans.unwrap_or_default())?;
        let claims = ClaimTable::from_rows(&snapshot.claims, snapshot.created_before_ms)?;
        *self = Self {
            plans: Arc::new(plans),
            history: ChangeHistory::from_rows(snapshot.recent_changes),
            claims,
            routes: RouteHistory::from_parts(
                snapshot.routes.unwrap_or_default(),
                snapshot.route_digests,
            ),
            membership: snapshot.membership.unwrap_or_default(),
            last_index: snapshot.last_index,
        };
        Ok(())
    }

    fn apply_plans(&mut self, change: &PlanChange) -> PlanResult {
        if let Some(result) = self.history.result_of(&change.change_id) {
            return result;
        }
        let next_version = self.plans.version() + 1;
        let book = change.plans.as_ref().map(PlanBook::try_from);
        let accepted = match book {
            Some(Ok(book)) if change.base_version == self.plans.version() => {
                self.plans = Arc::new(book.with_version(next_version));
                true
            }
            _ => false,
        };
        let result = PlanResult {
            accepted,
            version: self.plans.version(),
        };
        self.history.record(&change.change_id, result);
        result
    }

    fn apply_claim(&mut self, claim: &ClaimCommand) -> ApplyResult {
        let key = claim.key.as_ref().map(ClaimScope::try_from);
        let attempt = AttemptId::try_from(claim.attempt_id.as_ref());
        let (Some(Ok(scope)), Ok(attempt)) = (key, attempt) else {
            return ApplyResult::None;
        };
        let (decision, holder) = self.claims.claim(scope, attempt);
        ApplyResult::Claim { decision, holder }
    }

    fn apply_settle(&mut self, settle: &SettleCommand) -> ApplyResult {
        let key = settle.key.as_ref().map(ClaimScope::try_from);
        let attempt = AttemptId::try_from(settle.attempt_id.as_ref());
        let (Some(Ok(scope)), Ok(attempt)) = (key, attempt) else {
            return ApplyResult::None;
        };
        self.claims.settle(scope, attempt, settle.outcome());
        ApplyResult::Settled
    }
}

/// Validates the key and the attempt id of a claim before it is proposed, and returns the key.
pub(crate) fn check_claim(
    key: Option<&crate::generated::ClaimKey>,
    attempt_id: &[u8],
) -> Result<IdempotencyKey> {
    let key = key.ok_or_else(|| MeshError::invalid("claim key", "is required"))?;
    let scope = ClaimScope::try_from(key)?;
    AttemptId::try_from(attempt_id)?;
    Ok(scope.key())
}
