//! Validated contents of the plan and grant lists, with the lookups used to enforce them.

use std::collections::BTreeMap;
use std::time::Duration;

use sha2::{Digest, Sha256};
use slotmap::{SlotMap, new_key_type};

use crate::types::{CallerName, PathPrefix, PlanName, PriorityClass, ServiceName};

/// Bytes of a SHA-256 digest.
pub(crate) const DIGEST_BYTES: usize = 32;

new_key_type! {
    struct CallerKey;
    struct GrantKey;
}

/// Rate, burst and attempt allowance of the callers on one plan.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlanEntry {
    /// Name that callers and grants refer to.
    pub name: PlanName,
    /// Requests per second over the whole mesh for each caller; `None` means unlimited.
    pub rate_per_s: Option<u32>,
    /// Requests that may arrive at once in excess of the steady rate.
    pub burst: u32,
    /// Total number of attempts of one request, including its nested calls.
    pub attempts: u8,
}

/// Caller that may use the mesh, and its plan.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerEntry {
    /// Name used in logs and shares.
    pub name: CallerName,
    /// Plan of the caller.
    pub plan: PlanName,
    /// SHA-256 digest of the credential, for a caller outside the mesh.
    pub credential_digest: Option<[u8; DIGEST_BYTES]>,
    /// Service whose outgoing calls are made under this name, for a caller inside the mesh.
    pub service: Option<ServiceName>,
}

/// Permission of a plan to call a path prefix of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GrantEntry {
    /// Plan that holds the grant.
    pub plan: PlanName,
    /// Service that may be called.
    pub service: ServiceName,
    /// Prefix of the paths that may be called.
    pub path_prefix: PathPrefix,
    /// Priority class of the requests.
    pub class: PriorityClass,
    /// Whether requests need an idempotency key and run at most once.
    pub at_most_once: bool,
    /// Longest time that a caller waits for the answer.
    pub deadline: Duration,
}

/// One accepted version of the two lists.
#[derive(Debug, Clone, Default)]
pub struct PlanBook {
    version: u64,
    plans: BTreeMap<PlanName, PlanEntry>,
    callers: SlotMap<CallerKey, CallerEntry>,
    callers_by_name: BTreeMap<CallerName, CallerKey>,
    callers_by_digest: BTreeMap<[u8; DIGEST_BYTES], CallerKey>,
    callers_by_service: BTreeMap<ServiceName, CallerKey>,
    grants: SlotMap<GrantKey, GrantEntry>,
    // The keys of each entry are sorted by prefix length, longest first.
    grants_by_target: BTreeMap<(PlanName, ServiceName), Vec<GrantKey>>,
}

impl PlanBook {
    /// Builds a book from validated entries.
    pub(crate) fn from_entries(
        version: u64,
        plans: Vec<PlanEntry>,
        callers: Vec<CallerEntry>,
        grants: Vec<GrantEntry>,
    ) -> Self {
        let mut book = Self {
            version,
            ..Self::default()
        };
        book.plans = plans
            .into_iter()
            .map(|plan| (plan.name.clone(), plan))
            .collect();
        for caller in callers {
            book.insert_caller(caller);
        }
        for grant in grants {
            book.insert_grant(grant);
        }
        book
    }

    fn insert_caller(&mut self, caller: CallerEntry) {
        let key = self.callers.insert(caller);
        let caller = &self.callers[key];
        self.callers_by_name.insert(caller.name.clone(), key);
        if let Some(digest) = caller.credential_digest {
            self.callers_by_digest.insert(digest, key);
        }
        if let Some(service) = &caller.service {
            self.callers_by_service.insert(service.clone(), key);
        }
    }

    fn insert_grant(&mut self, grant: GrantEntry) {
        let target = (grant.plan.clone(), grant.service.clone());
        let key = self.grants.insert(grant);
        let keys = self.grants_by_target.entry(target).or_default();
        keys.push(key);
        let grants = &self.grants;
        keys.sort_by_key(|key| std::cmp::Reverse(grants[*key].path_prefix.as_str().len()));
    }

    /// Returns the accepted version, 0 for the empty book.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the same lists under another version.
    #[must_use]
    pub fn with_version(mut self, version: u64) -> Self {
        self.version = version;
        self
    }

    /// Returns all plans in the order of their names.
    pub fn plans(&self) -> impl Iterator<Item = &PlanEntry> {
        self.plans.values()
    }

    /// Returns all callers in the order of their names.
    pub fn callers(&self) -> impl Iterator<Item = &CallerEntry> {
        self.callers_by_name.values().map(|key| &self.callers[*key])
    }

    /// Returns all grants by plan and service, longest prefix first.
    pub fn grants(&self) -> impl Iterator<Item = &GrantEntry> {
        self.grants_by_target
            .values()
            .flatten()
            .map(|key| &self.grants[*key])
    }

    /// Finds a caller outside the mesh by its credential.
    pub fn find_caller(&self, credential: &[u8]) -> Option<&CallerEntry> {
        let digest: [u8; DIGEST_BYTES] = Sha256::digest(credential).into();
        let key = self.callers_by_digest.get(&digest)?;
        self.callers.get(*key)
    }

    /// Finds a caller by its name.
    pub fn caller_named(&self, name: &CallerName) -> Option<&CallerEntry> {
        let key = self.callers_by_name.get(name)?;
        self.callers.get(*key)
    }

    /// Finds the caller under which a service of the mesh calls others.
    pub fn service_caller(&self, service: &ServiceName) -> Option<&CallerEntry> {
        let key = self.callers_by_service.get(service)?;
        self.callers.get(*key)
    }

    /// Finds the plan of a caller.
    pub fn plan_of(&self, caller: &CallerEntry) -> Option<&PlanEntry> {
        self.plans.get(&caller.plan)
    }

    /// Finds the grant with the longest prefix that covers the path.
    pub fn find_grant(
        &self,
        caller: &CallerEntry,
        service: &ServiceName,
        path: &str,
    ) -> Option<&GrantEntry> {
        let target = (caller.plan.clone(), service.clone());
        let keys = self.grants_by_target.get(&target)?;
        let mut grants = keys.iter().map(|key| &self.grants[*key]);
        grants.find(|grant| grant.path_prefix.matches(path))
    }
}
