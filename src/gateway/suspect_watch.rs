//! Requests under which targets have ended, as a node sees them: it reports the ends of its own target to the leader, and
//! holds back the requests that the leader lists.

use std::collections::{BTreeSet, VecDeque};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::sync::Notify;

use crate::generated::{HeartbeatReply, HeartbeatRequest};
use crate::suspects::{EndedRequest, RequestDigest, SuspectList, SuspectSnapshot, TargetEnd};
use crate::types::{NodeId, TickTime};

use super::hop::HopRequest;
use super::state::lock;
use super::target_terms::TargetIdentity;

/// Time before the end of a target within which a connection that broke counts as broken by the end.
const BREAK_TIME: Duration = Duration::from_secs(1);
/// Time after which an end is reported, so that all attempts that it broke are known.
const COLLECT_TIME: Duration = Duration::from_millis(30);
/// Time for which an end is kept for another leader.
const KEEP_TIME: Duration = Duration::from_mins(2);
/// Maximum numbers of attempts, ends and answered suspects that are kept.
const MAX_BROKEN: usize = 512;
const MAX_ENDS: usize = 8;
const MAX_CLEARED: usize = 512;

#[derive(Debug)]
struct BrokenAttempt {
    identity: TargetIdentity,
    digest: RequestDigest,
    handed_over_at: TickTime,
    broken_at: TickTime,
}

#[derive(Debug)]
struct RecordedEnd {
    number: u64,
    ended_at: TickTime,
    end: TargetEnd,
}

/// Report of ends that one leader has received.
#[derive(Debug, Clone, Copy, Default)]
struct ReportPosition {
    term: u64,
    number: u64,
}

#[derive(Debug, Default)]
struct WatchState {
    list: SuspectList,
    broken: VecDeque<BrokenAttempt>,
    /// Incarnation that has ended, and the time of its end, until the end is recorded.
    ended: Option<(TargetIdentity, TickTime)>,
    ends: VecDeque<RecordedEnd>,
    last_number: u64,
    received: ReportPosition,
    /// Whether the leader has asked for the list.
    is_list_wanted: bool,
    cleared: BTreeSet<RequestDigest>,
    /// Suspect that has the turn at the target, and the number of its copies there.
    running: Option<(RequestDigest, usize)>,
}

/// Suspects of the mesh and ends of the local target.
#[derive(Debug)]
pub(super) struct SuspectWatch {
    node_id: NodeId,
    state: Mutex<WatchState>,
    turns: Notify,
}

/// Request that is held back.
#[derive(Debug, Clone, Copy)]
pub(super) struct RequestHold {
    pub(super) digest: RequestDigest,
    pub(super) time_left: Duration,
}

/// Suspect that finds another one at work at the target.
#[derive(Debug, Clone, Copy)]
pub(super) struct SuspectBusy {
    pub(super) digest: RequestDigest,
    pub(super) running: RequestDigest,
    /// Whether it has been at work at two ends or more together with others.
    pub(super) is_ambiguous: bool,
}

/// Turn of a suspect at the target; ends when it is dropped.
#[derive(Debug)]
pub(super) struct SuspectTurn {
    watch: Arc<SuspectWatch>,
}

impl Drop for SuspectTurn {
    fn drop(&mut self) {
        let mut state = lock(&self.watch.state);
        state.running = match state.running {
            Some((digest, count)) if count > 1 => Some((digest, count - 1)),
            _ => None,
        };
        drop(state);
        self.watch.turns.notify_waiters();
    }
}

fn digest_of(request: &HopRequest) -> RequestDigest {
    let HopRequest {
        method,
        host,
        target,
        body,
        ..
    } = request;
    RequestDigest::of(method.as_str(), host, target, body)
}

impl SuspectWatch {
    pub(super) fn new(node_id: NodeId) -> Self {
        Self {
            node_id,
            state: Mutex::default(),
            turns: Notify::new(),
        }
    }

    /// Returns the hold on a request, or `None` if it may be sent.
    pub(super) fn hold(&self, now: TickTime, request: &HopRequest) -> Option<RequestHold> {
        // Digests of large bodies cost processor time, so they are computed only while there are suspects.
        if lock(&self.state).list.is_empty() {
            return None;
        }
        let digest = digest_of(request);
        let time_left = lock(&self.state).list.hold(now, digest)?;
        Some(RequestHold { digest, time_left })
    }

    /// Takes the turn of a suspect at the target. Only one suspect runs there at a time, so that an end tells under which. Returns
    /// `None` for other requests, and fails if another suspect has the turn.
    pub(super) fn take_turn(
        self: &Arc<Self>,
        request: &HopRequest,
    ) -> Result<Option<SuspectTurn>, SuspectBusy> {
        if lock(&self.state).list.is_empty() {
            return Ok(None);
        }
        let digest = digest_of(request);
        let mut state = lock(&self.state);
        if !state.list.contains(digest) {
            return Ok(None);
        }
        let count = match state.running {
            None => 0,
            // Copies of one request do not obscure which request ended the target.
            Some((running, count)) if running == digest => count,
            Some((running, _)) => {
                return Err(SuspectBusy {
                    digest,
                    running,
                    is_ambiguous: state.list.is_ambiguous(digest),
                });
            }
        };
        state.running = Some((digest, count + 1));
        drop(state);
        Ok(Some(SuspectTurn {
            watch: Arc::clone(self),
        }))
    }

    /// Waits until a turn has ended or the list of suspects has changed.
    pub(super) async fn turn_changed(&self) {
        self.turns.notified().await;
    }

    /// Records an attempt whose connection to the target broke.
    pub(super) fn record_broken(
        &self,
        now: TickTime,
        identity: &TargetIdentity,
        request: &HopRequest,
        handed_over_at: TickTime,
    ) {
        let broken = BrokenAttempt {
            identity: identity.clone(),
            digest: digest_of(request),
            handed_over_at,
            broken_at: now,
        };
        let mut state = lock(&self.state);
        state.drop_old_attempts(now);
        if state.broken.len() == MAX_BROKEN {
            state.broken.pop_front();
            log::info!("event=broken_attempt_evicted");
        }
        state.broken.push_back(broken);
    }

    /// Records that an incarnation of the target ended without having announced to leave.
    pub(super) fn record_end(&self, now: TickTime, identity: TargetIdentity) {
        let mut state = lock(&self.state);
        let is_broken = state.broken.iter().any(|it| it.identity == identity);
        if is_broken && state.ended.is_none() {
            state.ended = Some((identity, now));
        }
    }

    /// Records that the target has answered a request. Returns whether the leader must be told, because a target had ended
    /// under the request before.
    pub(super) fn record_answer(&self, request: &HopRequest) -> bool {
        if lock(&self.state).list.is_empty() {
            return false;
        }
        let digest = digest_of(request);
        let mut state = lock(&self.state);
        if !state.list.contains(digest) || state.cleared.len() >= MAX_CLEARED {
            return false;
        }
        state.list.clear(digest);
        state.cleared.insert(digest)
    }

    /// Completes the report of an end. Must be called periodically; returns whether the leader must be told.
    pub(super) fn tick(&self, now: TickTime) -> bool {
        let mut state = lock(&self.state);
        state
            .ends
            .retain(|recorded| now.saturating_since(recorded.ended_at) < KEEP_TIME);
        let due = state
            .ended
            .take_if(|(_, ended_at)| now.saturating_since(*ended_at) >= COLLECT_TIME);
        let Some((identity, ended_at)) = due else {
            return false;
        };
        state.complete_end(self.node_id, &identity, ended_at);
        true
    }

    /// Adds to a heartbeat what the leader may not know.
    pub(super) fn fill(&self, now: TickTime, request: &mut HeartbeatRequest) {
        let state = lock(&self.state);
        let position = state.list.position();
        (request.suspect_term, request.suspect_revision) = (position.term, position.revision);
        request.hands_over_suspects = true;
        request.held_suspects = state
            .is_list_wanted
            .then(|| (&state.list.snapshot(now)).into());
        let received = state.received.number;
        let unreceived = state.ends.iter().filter(|it| it.number > received);
        request.ends = unreceived
            .map(|recorded| {
                let age = now.saturating_since(recorded.ended_at);
                (&TargetEnd {
                    age,
                    ..recorded.end.clone()
                })
                    .into()
            })
            .collect();
        request.cleared = state
            .cleared
            .iter()
            .map(|digest| (*digest).into())
            .collect();
        request.tracks_suspects = true;
    }

    /// Adopts the list of a reply, and forgets what the leader has received with the request. `last_number` is that of the
    /// latest end when the request was made.
    pub(super) fn adopt(
        &self,
        now: TickTime,
        last_number: u64,
        cleared: &[u64],
        reply: &HeartbeatReply,
    ) {
        let mut state = lock(&self.state);
        state.is_list_wanted = reply.asks_suspects;
        if reply.asks_suspects {
            log::info!("event=suspects_wanted term={}", reply.term);
            return;
        }
        for digest in cleared {
            state.cleared.remove(&(*digest).into());
        }
        // A new leader gets all ends with the next heartbeat.
        let number = if reply.term == state.received.term {
            last_number
        } else {
            0
        };
        state.received = ReportPosition {
            term: reply.term,
            number,
        };
        let Some(set) = &reply.suspects else {
            return;
        };
        let mut snapshot = SuspectSnapshot::from(set);
        snapshot.position.term = reply.term;
        let had_suspects = !state.list.is_empty();
        state.list.adopt(now, &snapshot);
        self.turns.notify_waiters();
        let held = snapshot.rows.iter().filter(|row| row.hold.is_some());
        if !snapshot.rows.is_empty() || had_suspects {
            log::info!(
                "event=suspects term={} revision={} rows={} held={} base_term={} base_revision={}",
                snapshot.position.term,
                snapshot.position.revision,
                snapshot.rows.len(),
                held.count(),
                snapshot.base.term,
                snapshot.base.revision,
            );
        }
    }

    /// Returns the number of the latest end.
    pub(super) fn last_number(&self) -> u64 {
        lock(&self.state).last_number
    }
}

impl WatchState {
    fn drop_old_attempts(&mut self, now: TickTime) {
        let is_old = |it: &BrokenAttempt| now.saturating_since(it.broken_at) > BREAK_TIME;
        while self.broken.front().is_some_and(is_old) {
            self.broken.pop_front();
        }
    }

    fn complete_end(&mut self, node_id: NodeId, identity: &TargetIdentity, ended_at: TickTime) {
        let is_under_end =
            |it: &&BrokenAttempt| it.identity == *identity && it.broken_at + BREAK_TIME >= ended_at;
        let requests: Vec<EndedRequest> = self
            .broken
            .iter()
            .filter(is_under_end)
            .map(|it| EndedRequest {
                digest: it.digest,
                run_time: it.broken_at.saturating_since(it.handed_over_at),
            })
            .collect();
        self.broken.retain(|it| it.identity != *identity);
        log::info!(
            "event=target_ended id={:?} born_ms={} requests={}",
            identity.id,
            identity.born_ms,
            requests.len()
        );
        // Targets of several nodes may have the same id.
        let node_id = node_id.to_string();
        let born = identity.born_ms.to_le_bytes();
        let incarnation = RequestDigest::of("", &node_id, &identity.id, &born).into();
        self.last_number += 1;
        if self.ends.len() == MAX_ENDS {
            self.ends.pop_front();
        }
        self.ends.push_back(RecordedEnd {
            number: self.last_number,
            ended_at,
            end: TargetEnd {
                incarnation,
                age: Duration::ZERO,
                requests,
            },
        });
    }
}
