//! The local target: announcement, state and admission.

use std::net::SocketAddr;
use std::time::Duration;

use rand::RngCore;
use serde::Deserialize;
use slotmap::SecondaryMap;
use tokio::sync::oneshot;

use crate::admission::{
    AdmissionControl, AdmissionSettings, OfferDecision, WorkAction, WorkKey, WorkRequest,
    WorkResult,
};
use crate::error::{MeshError, Result};
use crate::routing::TargetState;
use crate::types::{RefusalReason, RequestPriority, ServiceName, TickTime};

const MAX_SLOTS: u32 = 100_000;

/// Result of the wait of queued work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum QueueResult {
    /// The work has a slot.
    Start,
    /// The work is refused.
    Refuse(RefusalReason),
}

/// Validated announcement of a target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Announcement {
    /// Service that the target serves.
    pub(crate) service: ServiceName,
    /// Address of the target.
    pub(crate) address: SocketAddr,
    /// Number of requests that the target processes at the same time.
    pub(crate) slots: u32,
    /// Number of connections that the target accepts.
    pub(crate) connections: u32,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawAnnouncement {
    service: String,
    address: SocketAddr,
    slots: u32,
    connections: u32,
}

impl Announcement {
    /// Parses and validates the JSON of an announcement.
    pub(crate) fn parse(text: &[u8]) -> Result<Self> {
        let raw: RawAnnouncement = serde_json::from_slice(text)
            .map_err(|error| MeshError::invalid("announcement", error.to_string()))?;
        if !(1..=MAX_SLOTS).contains(&raw.slots) {
            let detail = format!("must lie between 1 and {MAX_SLOTS}");
            return Err(MeshError::invalid("slots", detail));
        }
        Ok(Self {
            service: ServiceName::try_from(raw.service.as_str())?,
            address: raw.address,
            slots: raw.slots,
            connections: raw.connections,
        })
    }
}

#[derive(Debug)]
struct AnnouncedTarget {
    announcement: Announcement,
    state: TargetState,
    admission: AdmissionControl,
    waiters: SecondaryMap<WorkKey, oneshot::Sender<QueueResult>>,
}

/// State of the target next to this node; empty until a target announces itself.
#[derive(Debug)]
pub(crate) struct LocalTarget {
    settings: AdmissionSettings,
    target: Option<AnnouncedTarget>,
    // Incremented when a target is replaced, to tell the work keys of an earlier target from those of the current one.
    epoch: u64,
}

impl LocalTarget {
    /// Creates the state without a target.
    pub(crate) fn new(settings: AdmissionSettings) -> Self {
        Self {
            settings,
            target: None,
            epoch: 0,
        }
    }

    /// Applies an announcement; returns whether the change must be reported to the directory.
    pub(crate) fn announce(&mut self, announcement: Announcement) -> bool {
        if let Some(target) = &mut self.target
            && target.announcement.service == announcement.service
            && target.announcement.address == announcement.address
        {
            let is_same = target.announcement == announcement && target.state == TargetState::Ready;
            target.admission.set_slots(announcement.slots);
            target.announcement = announcement;
            target.state = TargetState::Ready;
            return !is_same;
        }
        self.epoch += 1;
        let admission = AdmissionControl::new(self.settings, announcement.slots);
        self.target = Some(AnnouncedTarget {
            announcement,
            state: TargetState::Ready,
            admission,
            waiters: SecondaryMap::new(),
        });
        true
    }

    /// Marks the target as leaving and refuses queued work; returns whether the state changed.
    pub(crate) fn withdraw(&mut self) -> bool {
        let Some(target) = &mut self.target else {
            return false;
        };
        if target.state == TargetState::Leaving {
            return false;
        }
        target.state = TargetState::Leaving;
        for action in target.admission.drain() {
            if let WorkAction::Refuse(key, _) = action {
                target.signal(key, QueueResult::Refuse(RefusalReason::TargetLeaving));
            }
        }
        true
    }

    /// Records whether the target accepts connections; returns whether the state changed.
    pub(crate) fn note_reachable(&mut self, epoch: u64, is_reachable: bool) -> bool {
        let Some(target) = &mut self.target else {
            return false;
        };
        let next = match (target.state, is_reachable) {
            (TargetState::Ready, false) => TargetState::Down,
            (TargetState::Down, true) => TargetState::Ready,
            _ => return false,
        };
        if epoch != self.epoch {
            return false;
        }
        target.state = next;
        true
    }

    /// Returns the announcement with the current state.
    pub(crate) fn announcement(&self) -> Option<(&Announcement, TargetState)> {
        let target = self.target.as_ref()?;
        Some((&target.announcement, target.state))
    }

    /// Returns the epoch, which changes when another target is announced.
    pub(crate) fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Returns the service of the target.
    pub(crate) fn service(&self) -> Option<&ServiceName> {
        let target = self.target.as_ref()?;
        Some(&target.announcement.service)
    }

    /// Returns whether the target is leaving.
    pub(crate) fn is_leaving(&self) -> bool {
        let target = self.target.as_ref();
        target.is_some_and(|target| target.state == TargetState::Leaving)
    }

    /// Starts, queues or refuses work for the target; queued work waits for the returned signal.
    pub(crate) fn offer(
        &mut self,
        now: TickTime,
        service: &ServiceName,
        request: WorkRequest,
    ) -> Result<(OfferDecision, Option<oneshot::Receiver<QueueResult>>), RefusalReason> {
        let target = self.target.as_mut().ok_or(RefusalReason::NoTarget)?;
        if target.announcement.service != *service {
            return Err(RefusalReason::UnknownService);
        }
        match target.state {
            TargetState::Ready => {}
            TargetState::Leaving => return Err(RefusalReason::TargetLeaving),
            TargetState::Down => return Err(RefusalReason::TargetDown),
        }
        let (decision, actions) = target.admission.offer(now, request);
        let mut signal = None;
        if let OfferDecision::Queued(key) = decision {
            let (sender, receiver) = oneshot::channel();
            target.waiters.insert(key, sender);
            signal = Some(receiver);
        }
        target.apply(actions);
        Ok((decision, signal))
    }

    /// Releases a slot and reports the result of the work to the admission control.
    pub(crate) fn finish(&mut self, now: TickTime, epoch: u64, key: WorkKey, result: WorkResult) {
        if let Some(target) = self.current(epoch) {
            let actions = target.admission.finish(now, key, result);
            target.apply(actions);
        }
    }

    /// Removes work from the queue; returns false if it was no longer queued.
    pub(crate) fn leave_queue(&mut self, now: TickTime, epoch: u64, key: WorkKey) -> bool {
        let Some(target) = self.current(epoch) else {
            return true;
        };
        target.waiters.remove(key).is_some() && target.admission.cancel(now, key)
    }

    /// Runs the periodic step of the admission control, which expires queued work and adapts its limits.
    pub(crate) fn tick(&mut self, now: TickTime) {
        if let Some(target) = &mut self.target {
            let actions = target.admission.tick(now);
            target.apply(actions);
        }
    }

    /// Returns the admission level and the expected queue wait.
    pub(crate) fn load(&self) -> Option<(RequestPriority, Duration)> {
        let admission = &self.target.as_ref()?.admission;
        Some((admission.level(), admission.expected_wait()))
    }

    /// Returns the time after which refused work may be sent again.
    pub(crate) fn retry_after(&self, rng: &mut dyn RngCore) -> Option<Duration> {
        let target = self.target.as_ref()?;
        Some(target.admission.retry_after(rng))
    }

    fn current(&mut self, epoch: u64) -> Option<&mut AnnouncedTarget> {
        self.target.as_mut().filter(|_| epoch == self.epoch)
    }
}

impl AnnouncedTarget {
    fn apply(&mut self, actions: Vec<WorkAction>) {
        for action in actions {
            match action {
                WorkAction::Start(key) => self.signal(key, QueueResult::Start),
                WorkAction::Refuse(key, reason) => self.signal(key, QueueResult::Refuse(reason)),
            }
        }
    }

    fn signal(&mut self, key: WorkKey, signal: QueueResult) {
        if let Some(waiter) = self.waiters.remove(key) {
            // If the receiver is gone, its drop releases the slot.
            let _ = waiter.send(signal);
        }
    }
}
