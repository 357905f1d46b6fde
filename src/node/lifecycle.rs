//! Lifecycle of a node process.

use statig::prelude::*;

/// Phase of the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum NodePhase {
    /// Plans or the directory are not held yet.
    Starting,
    /// Work is accepted.
    Serving,
    /// New work is refused while held work ends.
    Draining,
    /// All work has ended.
    Stopped,
}

/// What moves the process to another phase.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum LifecycleEvent {
    /// Plans and the directory have arrived.
    ViewsArrived,
    /// The process was asked to stop.
    StopRequested,
    /// No held work is left, or the bound on the stop is reached.
    WorkEnded,
}

/// Runs the lifecycle and remembers its phase.
pub(crate) struct LifecycleMachine {
    machine: StateMachine<NodeLifecycle>,
}

impl std::fmt::Debug for LifecycleMachine {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "LifecycleMachine({:?})", self.phase())
    }
}

impl LifecycleMachine {
    /// Creates the machine of a process that starts.
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
            LifecycleEvent::ViewsArrived => Transition(State::serving()),
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
            // A second request to stop changes nothing.
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
