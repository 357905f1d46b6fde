//! Lifecycle of a node process.

use statig::prelude::*;

/// Phase of the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum NodePhase {
    /// The node has no confirmed plans or no directory yet.
    Starting,
    /// Work is accepted.
    Serving,
    /// New work is refused while accepted work completes.
    Draining,
    /// All work has ended.
    Stopped,
}

/// Event that may change the phase of the process.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum LifecycleEvent {
    /// The plans are confirmed and the directory has been received.
    PlansAndDirectoryReceived,
    /// The process was asked to stop.
    StopRequested,
    /// All accepted work has completed, or the stop timeout has expired.
    WorkEnded,
}

/// State machine of the node lifecycle.
pub(crate) struct LifecycleMachine {
    machine: StateMachine<NodeLifecycle>,
}

impl std::fmt::Debug for LifecycleMachine {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "LifecycleMachine({:?})", self.phase())
    }
}

impl LifecycleMachine {
    /// Creates the state machine in the phase `Starting`.
    pub(crate) fn new() -> Self {
        let lifecycle = NodeLifecycle {
            phase: NodePhase::Starting,
        };
        Self {
            machine: lifecycle.state_machine(),
        }
    }

    /// Applies an event and returns the phase before and after.
    pub(crate) fn apply(&mut self, event: &LifecycleEvent) -> (NodePhase, NodePhase) {
        let before = self.phase();
        self.machine.handle(event);
        (before, self.phase())
    }

    /// Returns the current phase.
    pub(crate) fn phase(&self) -> NodePhase {
        self.machine.inner().phase
    }
}

#[derive(Debug)]
struct NodeLifecycle {
    phase: NodePhase,
}

#[state_machine(initial = "State::starting()", state(derive(Debug)))]
impl NodeLifecycle {
    #[state(superstate = "running")]
    fn starting(event: &LifecycleEvent) -> Outcome<State> {
        match event {
            LifecycleEvent::PlansAndDirectoryReceived => Transition(State::serving()),
            _ => Super,
        }
    }

    #[state(superstate = "running", entry_action = "enter_serving")]
    fn serving(event: &LifecycleEvent) -> Outcome<State> {
        let _ = event;
        Super
    }

    #[superstate]
    fn running(event: &LifecycleEvent) -> Outcome<State> {
        match event {
            LifecycleEvent::StopRequested => Transition(State::draining()),
            _ => Handled,
        }
    }

    #[state(entry_action = "enter_draining")]
    fn draining(event: &LifecycleEvent) -> Outcome<State> {
        match event {
            LifecycleEvent::WorkEnded => Transition(State::stopped()),
            // Further stop requests are ignored.
            _ => Handled,
        }
    }

    #[state(entry_action = "enter_stopped")]
    fn stopped(event: &LifecycleEvent) -> Outcome<State> {
        let _ = event;
        Handled
    }

    #[action]
    fn enter_serving(&mut self) {
        self.phase = NodePhase::Serving;
    }

    #[action]
    fn enter_draining(&mut self) {
        self.phase = NodePhase::Draining;
    }

    #[action]
    fn enter_stopped(&mut self) {
        self.phase = NodePhase::Stopped;
    }
}
