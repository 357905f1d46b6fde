//! The replicated control state under random orders of commands, compared with an oracle, and fixed cases of single rules.

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;
use ebonyjunction::control_state::{ApplyResult, ControlState, PlanResult};
use ebonyjunction::generated::command::Change;
use ebonyjunction::generated::{
    ClaimCommand, ClaimDecision, ClaimKey, ClaimOutcome, Command, ExpireCommand, PlanChange,
    PlanRow, PlanSet, RepeatKind, RouteChange, RoutePart, RouteRow, RouteService, RouteSet,
    SettleCommand,
};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, RngSeed};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

const BASE_MS: u64 = 1_700_000_000_000;

fn key_bytes(number: u8, created_ms: u64) -> Bytes {
    let mut raw = [0_u8; 16];
    raw[..6].copy_from_slice(&created_ms.to_be_bytes()[2..]);
    raw[6] = 0x70;
    raw[8] = 0x80;
    raw[15] = number;
    Bytes::copy_from_slice(&raw)
}

fn claim_key(number: u8) -> ClaimKey {
    ClaimKey {
        caller: "shop".to_owned(),
        service: "orders".to_owned(),
        key: key_bytes(number, BASE_MS + u64::from(number)),
    }
}

fn attempt(number: u8) -> Bytes {
    Bytes::from(vec![number; 16])
}

fn plans(rate: u32) -> PlanSet {
    let row = PlanRow {
        name: "gold".to_owned(),
        rate_per_s: rate,
        burst: 1,
        attempts: 3,
    };
    PlanSet {
        plans: vec![row],
        ..PlanSet::default()
    }
}

#[derive(Debug, Clone)]
enum Step {
    Plans { change: u8, base: u64, rate: u32 },
    Claim { key: u8, attempt: u8 },
    Settle { key: u8, attempt: u8, is_done: bool },
    Expire { before: u8 },
    Restore,
}

impl Step {
    fn command(&self) -> Option<Command> {
        let change = match *self {
            Self::Plans { change, base, rate } => Change::Plans(PlanChange {
                change_id: format!("change-{change}"),
                base_version: base,
                plans: Some(plans(rate)),
            }),
            Self::Claim { key, attempt: id } => Change::Claim(ClaimCommand {
                key: Some(claim_key(key)),
                attempt_id: attempt(id),
            }),
            Self::Settle {
                key,
                attempt: id,
                is_done,
            } => Change::Settle(SettleCommand {
                key: Some(claim_key(key)),
                attempt_id: attempt(id),
                outcome: if is_done {
                    ClaimOutcome::Done.into()
                } else {
                    ClaimOutcome::Released.into()
                },
            }),
            Self::Expire { before } => Change::Expire(ExpireCommand {
                created_before_ms: BASE_MS + u64::from(before),
            }),
            Self::Restore => return None,
        };
        Some(Command {
            change: Some(change),
        })
    }
}

/// Model of the results that clients of the control plane may rely on.
#[derive(Debug, Clone, Default)]
struct Oracle {
    version: u64,
    results: BTreeMap<u8, PlanResult>,
    // For each key, the attempt to which it was granted and that has not released it.
    granted: BTreeMap<u8, u8>,
    done: BTreeSet<u8>,
    released: BTreeSet<(u8, u8)>,
    expired_before: u8,
    expected: Option<ApplyResult>,
}

impl Oracle {
    fn apply_plans(&mut self, change: u8, base: u64) -> PlanResult {
        if let Some(first) = self.results.get(&change) {
            return *first;
        }
        let accepted = base == self.version;
        self.version += u64::from(accepted);
        let result = PlanResult {
            accepted,
            version: self.version,
        };
        self.results.insert(change, result);
        result
    }

    fn claim(&mut self, key: u8, id: u8) -> (ClaimDecision, u8) {
        if key < self.expired_before {
            return (ClaimDecision::Expired, id);
        }
        let holder = self.granted.get(&key).copied();
        if self.done.contains(&key) {
            return (ClaimDecision::AlreadyDone, holder.unwrap_or(id));
        }
        if self.released.contains(&(key, id)) {
            return (ClaimDecision::Released, id);
        }
        match holder {
            Some(holder) if holder != id => (ClaimDecision::InProgress, holder),
            _ => {
                self.granted.insert(key, id);
                (ClaimDecision::Granted, id)
            }
        }
    }

    fn settle(&mut self, key: u8, id: u8, is_done: bool) {
        if key < self.expired_before || self.done.contains(&key) {
            return;
        }
        let holder = self.granted.get(&key).copied();
        if !is_done {
            self.released.insert((key, id));
            if holder == Some(id) {
                self.granted.remove(&key);
            }
        } else if holder.is_none_or(|holder| holder == id) {
            self.granted.insert(key, id);
            self.done.insert(key);
        }
    }
}

impl ReferenceStateMachine for Oracle {
    type State = Self;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Self> {
        Just(Self::default()).boxed()
    }

    fn transitions(state: &Self) -> BoxedStrategy<Step> {
        let version = state.version;
        let base = prop_oneof![3 => Just(version), 1 => 0..=version + 1];
        prop_oneof![
            4 => (0..40_u8, base, 1..9_u32)
                .prop_map(|(change, base, rate)| Step::Plans { change, base, rate }),
            8 => (0..6_u8, 0..4_u8).prop_map(|(key, attempt)| Step::Claim { key, attempt }),
            4 => (0..6_u8, 0..4_u8, any::<bool>())
                .prop_map(|(key, attempt, is_done)| Step::Settle { key, attempt, is_done }),
            1 => (0..4_u8).prop_map(|before| Step::Expire { before }),
            1 => Just(Step::Restore),
        ]
        .boxed()
    }

    fn apply(mut state: Self, step: &Step) -> Self {
        state.expected = match *step {
            Step::Plans { change, base, .. } => {
                Some(ApplyResult::Plans(state.apply_plans(change, base)))
            }
            Step::Claim { key, attempt: id } => {
                let (decision, holder) = state.claim(key, id);
                let holder = attempt(holder).as_ref().try_into().unwrap();
                Some(ApplyResult::Claim { decision, holder })
            }
            Step::Settle {
                key,
                attempt,
                is_done,
            } => {
                state.settle(key, attempt, is_done);
                Some(ApplyResult::Settled)
            }
            Step::Expire { before } => {
                state.expired_before = state.expired_before.max(before);
                Some(ApplyResult::None)
            }
            Step::Restore => None,
        };
        state
    }
}

#[derive(Debug, Default)]
struct StateUnderTest {
    state: ControlState,
    log: Vec<Command>,
}

impl StateMachineTest for StateUnderTest {
    type SystemUnderTest = Self;
    type Reference = Oracle;

    fn init_test(_: &Oracle) -> Self {
        Self::default()
    }

    fn apply(mut tested: Self, oracle: &Oracle, step: Step) -> Self {
        let version = tested.state.plans().version();
        let Some(command) = step.command() else {
            let snapshot = tested.state.snapshot();
            tested.state = ControlState::new();
            tested.state.restore(&snapshot).unwrap();
            return tested;
        };
        tested.log.push(command.clone());
        let index = tested.log.len() as u64;
        let result = tested.state.apply(index, &command);
        assert_eq!(Some(&result), oracle.expected.as_ref(), "{step:?}");
        let now = tested.state.plans().version();
        assert!(
            now == version || now == version + 1,
            "version changed from {version} to {now}"
        );
        tested
    }

    fn check_invariants(tested: &Self, oracle: &Oracle) {
        assert_eq!(tested.state.plans().version(), oracle.version);
        let held = oracle
            .granted
            .keys()
            .chain(oracle.released.iter().map(|(key, _)| key));
        let held: BTreeSet<_> = held.filter(|key| **key >= oracle.expired_before).collect();
        assert_eq!(tested.state.claims_len(), held.len());
    }

    fn teardown(tested: Self, _: Oracle) {
        let mut replayed = ControlState::new();
        for (index, command) in (1..).zip(&tested.log) {
            replayed.apply(index, command);
        }
        assert_eq!(replayed.snapshot(), tested.state.snapshot());
    }
}

prop_state_machine! {
    #![proptest_config(Config {
        cases: 256,
        failure_persistence: None,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(0x00eb_0001),
        ..Config::default()
    })]

    // Guards against plans that revert to an older version, a change with two results, a key granted to two attempts, and
    // a snapshot that differs from the log that it replaces.
    #[test]
    fn apply_matches_oracle(sequential 1..120 => StateUnderTest);
}

fn plan_command(change_id: String, base_version: u64) -> Command {
    let change = PlanChange {
        change_id,
        base_version,
        plans: Some(plans(1)),
    };
    Command {
        change: Some(Change::Plans(change)),
    }
}

// Guards against a history of changes that grows without bound, and against accepting an old change a second time after
// it was dropped from the history.
#[test]
fn apply_forgets_old_changes() {
    let mut state = ControlState::new();
    for number in 0..=1_024 {
        state.apply(number + 1, &plan_command(format!("c{number}"), number));
    }
    assert_eq!(state.plans().version(), 1_025);
    assert!(state.change_result("c0").is_none());
    assert!(state.change_result("c1").is_some());
    let result = state.apply(1_026, &plan_command("c0".to_owned(), 0));
    let conflict = PlanResult {
        accepted: false,
        version: 1_025,
    };
    assert_eq!(result, ApplyResult::Plans(conflict));
}

// Guards against a command that is applied twice when the log is replayed after a restart.
#[test]
fn apply_skips_known_index() {
    let mut state = ControlState::new();
    state.apply(1, &plan_command("first".to_owned(), 0));
    let repeated = state.apply(1, &plan_command("second".to_owned(), 1));
    assert_eq!(repeated, ApplyResult::None);
    assert_eq!(state.plans().version(), 1);
}

// Guards against a damaged snapshot that replaces part of the state before it is rejected.
#[test]
fn restore_damaged_snapshot() {
    let mut state = ControlState::new();
    state.apply(1, &plan_command("first".to_owned(), 0));
    let snapshot = state.snapshot();
    assert!(state.restore(&snapshot[..snapshot.len() - 1]).is_err());
    assert!(state.restore(&[0xff; 32]).is_err());
    assert_eq!(state.snapshot(), snapshot);
}

/// Returns a set of routes of one service, of about 50 bytes each, which all get a new timeout with each version.
fn route_set(version: u64, routes: u32) -> RouteSet {
    let row = |number: u32| RouteRow {
        name: format!("r-{number}"),
        host: "shop.example".to_owned(),
        prefix: format!("/p{number}/"),
        repeat_kind: RepeatKind::Idempotent.into(),
        attempts: 2,
        timeout_ms: 1_000 + version as u32,
        objective_ms: 1_000,
        urgency: 1,
        parts: vec![RoutePart {
            service: "orders".to_owned(),
            weight: 1,
        }],
    };
    RouteSet {
        version,
        routes: (0..routes).map(row).collect(),
        services: vec![RouteService {
            name: "orders".to_owned(),
            ..RouteService::default()
        }],
        ..RouteSet::default()
    }
}

// Guards against a digest of a few bytes that keeps the whole message in memory from which it was decoded.
#[test]
fn apply_releases_message_of_route_change() {
    let message = Bytes::from(vec![7; 100_000]);
    let change = RouteChange {
        base_version: 0,
        routes: Some(route_set(1, 3)),
        digest: message.slice(..32),
    };
    let mut state = ControlState::new();
    let change = Some(Change::Routes(change));
    let result = state.apply(1, &Command { change });
    assert!(matches!(result, ApplyResult::Routes(result) if result.accepted));
    assert!(message.is_unique(), "the message is still referenced");

    let snapshot = Bytes::from(state.snapshot());
    let mut restored = ControlState::new();
    restored.restore(&snapshot).unwrap();
    assert!(snapshot.is_unique(), "the snapshot is still referenced");
    assert_eq!(restored.snapshot(), snapshot);
}

// Guards against earlier versions of the routes that are bounded in number only, which takes memory in proportion to the
// size of the configuration.
#[test]
fn route_delta_bounds_earlier_versions() {
    for (routes, kept) in [(100, 16), (20_000, 4)] {
        let mut state = ControlState::new();
        for version in 1..=20 {
            let change = RouteChange {
                base_version: version - 1,
                routes: Some(route_set(version, routes)),
                digest: vec![version as u8; 32].into(),
            };
            let change = Some(Change::Routes(change));
            state.apply(version, &Command { change });
        }
        let is_kept = |version: &u64| state.route_delta(*version).base_version == *version;
        let found = (1..20).filter(is_kept).count();
        assert!(found <= kept, "{routes} routes: {found} versions are kept");
        assert!(found > 0, "{routes} routes: the last versions are kept");
    }
}
