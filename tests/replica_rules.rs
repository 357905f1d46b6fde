//! Rules of the replicated log that random schedules exercise too rarely, each in a fixed exchange of messages.

use std::time::Duration;

use bytes::Bytes;
use ebonyjunction::consensus::{
    PeerMessage, ReplicaAction, ReplicaCore, ReplicaEvent, ReplicaRole, ReplicaSettings,
};
use ebonyjunction::generated::command::Change;
use ebonyjunction::generated::{
    AppendReply, AppendRequest, Command, ExpireCommand, JoinReply, JoinRequest, LogEntry,
    Membership, ReplicaInfo, RouteChange, VoteReply, VoteRequest,
};
use ebonyjunction::storage::{HardState, LogStore, MemoryStore};
use ebonyjunction::types::TickTime;

fn disk(id: u8) -> Bytes {
    vec![id; 16].into()
}

fn info(id: u8) -> ReplicaInfo {
    ReplicaInfo {
        replica_id: u64::from(id),
        address: format!("replica-{id}"),
        disk_id: disk(id),
    }
}

fn membership() -> Membership {
    Membership {
        voters: (1..=3).map(info).collect(),
        learners: Vec::new(),
    }
}

fn at(millis: u64) -> TickTime {
    TickTime::from_millis(millis)
}

fn expire_command(created_before_ms: u64) -> Command {
    let change = Change::Expire(ExpireCommand { created_before_ms });
    Command {
        change: Some(change),
    }
}

fn entry(index: u64, term: u64, command: Command) -> LogEntry {
    LogEntry {
        index,
        term,
        command: Some(command),
    }
}

/// Creates replica 1 of three. Its disk holds the first membership and one entry of term 2.
fn replica() -> ReplicaCore {
    replica_with(ReplicaSettings::default())
}

fn replica_with(settings: ReplicaSettings) -> ReplicaCore {
    replica_on(1, settings)
}

fn replica_on(id: u8, settings: ReplicaSettings) -> ReplicaCore {
    replica_among(id, membership(), settings)
}

fn replica_among(id: u8, members: Membership, settings: ReplicaSettings) -> ReplicaCore {
    let mut store = MemoryStore::new([id; 16]);
    let first = Command {
        change: Some(Change::Membership(members.clone())),
    };
    store
        .append(&[entry(1, 1, first), entry(2, 2, expire_command(1))])
        .unwrap();
    store
        .set_hard_state(HardState {
            term: 3,
            vote: None,
        })
        .unwrap();
    ReplicaCore::new(settings, info(id), Box::new(store), members, at(0), 7).unwrap()
}

fn deliver(core: &mut ReplicaCore, now: u64, from: u8, message: PeerMessage) -> Vec<PeerMessage> {
    let from = u64::from(from);
    let event = ReplicaEvent::Message { from, message };
    sent_messages(core.step(at(now), event).unwrap())
}

fn sent_messages(actions: Vec<ReplicaAction>) -> Vec<PeerMessage> {
    let message = |action| match action {
        ReplicaAction::Send { message, .. } => Some(message),
        _ => None,
    };
    actions.into_iter().filter_map(message).collect()
}

fn tick(core: &mut ReplicaCore, now: u64) -> Vec<PeerMessage> {
    sent_messages(core.step(at(now), ReplicaEvent::Tick).unwrap())
}

fn grant_vote(
    core: &mut ReplicaCore,
    voter: u8,
    now: u64,
    term: u64,
    is_pre_vote: bool,
) -> Vec<PeerMessage> {
    let reply = VoteReply {
        term,
        granted: true,
        ..VoteReply::default()
    };
    deliver(core, now, voter, PeerMessage::VoteReply(reply, is_pre_vote))
}

/// Elects replica 1 for term 4 at 700 ms; its log then ends with entry 3 of that term.
fn leader() -> ReplicaCore {
    elect(replica())
}

/// Elects replica 1 of `size` voters with the votes of all but the last.
fn leader_of(size: u8, settings: ReplicaSettings) -> ReplicaCore {
    let members = Membership {
        voters: (1..=size).map(info).collect(),
        learners: Vec::new(),
    };
    elect_with(replica_among(1, members, settings), 2..size)
}

fn elect(core: ReplicaCore) -> ReplicaCore {
    elect_with(core, 2..3)
}

fn elect_with(mut core: ReplicaCore, voters: std::ops::Range<u8>) -> ReplicaCore {
    tick(&mut core, 700);
    for is_pre_vote in [true, false] {
        for voter in voters.clone() {
            grant_vote(&mut core, voter, 700, 4, is_pre_vote);
        }
    }
    sent_messages(core.flush(at(700)).unwrap());
    assert_eq!((core.role(), core.term()), (ReplicaRole::Leader, 4));
    core
}

fn accept_append(core: &mut ReplicaCore, now: u64, id: u8, last_index: u64, sequence: u64) {
    let reply = AppendReply {
        term: core.term(),
        accepted: true,
        last_index,
        disk_id: disk(id),
        sequence,
    };
    deliver(core, now, id, PeerMessage::AppendReply(reply));
    core.flush(at(now)).unwrap();
}

/// Returns the sequence of the latest append to a replica among some messages.
fn sequence_to(messages: &[PeerMessage], id: u8) -> u64 {
    let sequence = |message: &PeerMessage| match message {
        PeerMessage::Append(request) if request.receiver_disk_id == disk(id) => {
            Some(request.sequence)
        }
        _ => None,
    };
    messages.iter().filter_map(sequence).max().unwrap()
}

fn vote_request(term: u64, pre_vote: bool) -> PeerMessage {
    PeerMessage::Vote(VoteRequest {
        term,
        candidate: Some(info(3)),
        last_index: 50,
        last_term: 3,
        pre_vote,
        receiver_disk_id: disk(1),
        ..VoteRequest::default()
    })
}

fn is_granted(messages: &[PeerMessage]) -> bool {
    matches!(messages, [PeerMessage::VoteReply(reply, _)] if reply.granted)
}

/// Guards against committing an entry of an earlier term by counting its copies: a later leader may still overwrite it.
#[test]
fn commit_waits_for_entry_of_own_term() {
    let mut core = leader();
    accept_append(&mut core, 710, 2, 2, 1);
    assert_eq!(core.commit_index(), 0);
    accept_append(&mut core, 720, 2, 3, 1);
    assert_eq!(core.commit_index(), 3);
}

/// Guards against a follower that confirms entries before they are on disk.
#[test]
fn append_reply_waits_for_flush() {
    let mut core = replica();
    let request = AppendRequest {
        term: 3,
        leader_id: 2,
        previous_index: 2,
        previous_term: 2,
        entries: vec![entry(3, 3, expire_command(2))],
        receiver_disk_id: disk(1),
        ..AppendRequest::default()
    };
    assert_eq!(deliver(&mut core, 10, 2, PeerMessage::Append(request)), []);
    let messages = sent_messages(core.flush(at(20)).unwrap());
    let [PeerMessage::AppendReply(reply)] = &messages[..] else {
        panic!("{messages:?}");
    };
    assert!(reply.accepted && reply.last_index == 3, "{reply:?}");
}

/// Guards against confirming entries to the former leader after a new leader replaced them before the sync.
#[test]
fn append_reply_is_dropped_with_its_term() {
    let mut core = replica();
    let mut request = AppendRequest {
        term: 3,
        leader_id: 2,
        previous_index: 2,
        previous_term: 2,
        entries: vec![entry(3, 3, expire_command(2))],
        receiver_disk_id: disk(1),
        ..AppendRequest::default()
    };
    deliver(&mut core, 10, 2, PeerMessage::Append(request.clone()));
    request.term = 4;
    request.leader_id = 3;
    request.entries = vec![entry(3, 4, expire_command(3))];
    deliver(&mut core, 11, 3, PeerMessage::Append(request));
    let messages = sent_messages(core.flush(at(20)).unwrap());
    assert!(
        matches!(&messages[..], [PeerMessage::AppendReply(reply)] if reply.term == 4),
        "{messages:?}"
    );
}

/// Guards against a leader lease that starts when the answer arrives rather than when the request was sent, and against
/// one that counts before the leader knows all committed entries.
#[test]
fn quorum_age_counts_from_send_time() {
    let mut core = leader();
    let heartbeats = tick(&mut core, 800);
    let sequence = sequence_to(&heartbeats, 2);
    assert_eq!(core.quorum_age(at(800)), None);
    accept_append(&mut core, 990, 2, 3, sequence);
    let age = core.quorum_age(at(1_000));
    assert_eq!(age, Some(Duration::from_millis(200)));
    // An answer to an append that was already answered does not renew the lease.
    accept_append(&mut core, 995, 2, 3, sequence);
    assert_eq!(core.quorum_age(at(1_000)), age);
}

/// Guards against a vote for a candidate while a leader may hold a lease that this replica confirmed: right after a start,
/// and shortly after a heartbeat.
#[test]
fn vote_is_refused_while_leader_may_hold_lease() {
    for pre_vote in [true, false] {
        let mut core = replica();
        assert!(!is_granted(&deliver(
            &mut core,
            299,
            3,
            vote_request(4, pre_vote)
        )));
        let heartbeat = AppendRequest {
            term: 3,
            leader_id: 2,
            receiver_disk_id: disk(1),
            ..AppendRequest::default()
        };
        deliver(&mut core, 290, 2, PeerMessage::Append(heartbeat));
        assert!(!is_granted(&deliver(
            &mut core,
            589,
            3,
            vote_request(4, pre_vote)
        )));
        assert_eq!(core.term(), 3);
        assert!(is_granted(&deliver(
            &mut core,
            590,
            3,
            vote_request(4, pre_vote)
        )));
    }
}

/// Creates three replicas that have just started on the same log, with the times of their starts.
fn group_started_at(starts: [u64; 3]) -> Vec<(u64, ReplicaCore)> {
    let members = starts.into_iter().zip(1..);
    members
        .map(|(start, id)| (start, replica_on(id, ReplicaSettings::default())))
        .collect()
}

/// Ticks the group every 15 ms, with 10 ms for each message, and returns the time at which a replica leads. Replicas that
/// are not up yet neither send nor receive.
fn time_to_leader(group: &mut [(u64, ReplicaCore)], until: u64) -> Option<u64> {
    const MESSAGE_TIME: u64 = 10;
    let mut in_flight: Vec<(u64, u64, u64, PeerMessage)> = Vec::new();
    for now in 0..until {
        for (start, core) in group.iter_mut().filter(|(start, _)| *start <= now) {
            let from = core.own().replica_id;
            let own_time = at(now - *start);
            let mut actions = Vec::new();
            let due = in_flight.extract_if(.., |(due, _, to, _)| *due <= now && *to == from);
            for (_, from, _, message) in due {
                let event = ReplicaEvent::Message { from, message };
                actions.extend(core.step(own_time, event).unwrap());
            }
            if (now - *start) % 15 == 0 {
                actions.extend(core.step(own_time, ReplicaEvent::Tick).unwrap());
            }
            if core.role() == ReplicaRole::Leader {
                return Some(now);
            }
            for action in actions {
                if let ReplicaAction::Send { to, message } = action {
                    in_flight.push((now + MESSAGE_TIME, from, to.replica_id, message));
                }
            }
        }
    }
    None
}

/// Return after a power loss of all machines: guards against callers that are refused while replicas that all have just
/// started wait for a leader that cannot be there.
#[test]
fn start_together_elects_without_wait() {
    let mut group = group_started_at([0, 40, 90]);
    let elected_at = time_to_leader(&mut group, 1_000);
    assert!(elected_at.is_some_and(|at| at < 300), "{elected_at:?}");
}

/// Guards against votes that are split between replicas that all begin their pre-vote at the same time after a common
/// start: the next attempt would follow only after an election timeout.
#[test]
fn start_together_does_not_split_votes() {
    let mut group = group_started_at([0, 0, 0]);
    let elected_at = time_to_leader(&mut group, 1_000);
    assert!(elected_at.is_some_and(|at| at < 300), "{elected_at:?}");
}

/// Guards against an election without the wait while one member could still be the leader: replica 3 does not answer.
#[test]
fn start_beside_silent_member_waits() {
    let mut group = group_started_at([0, 40, u64::MAX]);
    let elected_at = time_to_leader(&mut group, 2_000);
    assert!(elected_at.is_some_and(|at| at >= 300), "{elected_at:?}");
}

/// Guards against a statement that is counted although it answers an earlier request, or although the replica knows a
/// leader.
#[test]
fn start_election_needs_current_statements() {
    let pre_vote_round = |messages: &[PeerMessage]| {
        let round = messages.iter().find_map(|message| match message {
            PeerMessage::Vote(request) if request.pre_vote => Some(request.round),
            _ => None,
        });
        round.expect("a pre-vote was requested")
    };
    let mut core = replica();
    let round = pre_vote_round(&tick(&mut core, 120));
    let statement = |round, leader_absent| {
        let reply = VoteReply {
            term: 3,
            round,
            leader_absent,
            conditional: true,
            ..VoteReply::default()
        };
        PeerMessage::VoteReply(reply, true)
    };
    deliver(&mut core, 130, 2, statement(round, true));
    deliver(&mut core, 130, 3, statement(round, false));
    assert_eq!(core.role(), ReplicaRole::PreCandidate, "3 knows a leader");
    deliver(&mut core, 130, 3, statement(round ^ 1, true));
    assert_eq!(core.role(), ReplicaRole::PreCandidate, "an earlier request");
    deliver(&mut core, 130, 3, statement(round, true));
    assert_eq!(core.role(), ReplicaRole::Candidate);
}

/// Guards against a vote right after the start that no statement of the members supports.
#[test]
fn vote_after_start_needs_statements() {
    let ask = |leader_absent| {
        let PeerMessage::Vote(request) = vote_request(4, false) else {
            unreachable!()
        };
        let request = VoteRequest {
            leader_absent,
            ..request
        };
        let mut core = replica();
        is_granted(&deliver(&mut core, 100, 3, PeerMessage::Vote(request)))
    };
    assert!(!ask(false));
    assert!(ask(true));
}

/// Guards against a leader that continues to act as leader after it lost its quorum.
#[test]
fn leader_without_quorum_steps_down() {
    let mut core = leader();
    let token = 9;
    let command = expire_command(9);
    core.step(at(710), ReplicaEvent::Propose { token, command })
        .unwrap();
    tick(&mut core, 1_300);
    assert_eq!(core.role(), ReplicaRole::Leader);
    let actions = core.step(at(1_301), ReplicaEvent::Tick).unwrap();
    assert_eq!(core.role(), ReplicaRole::Follower);
    assert!(actions.contains(&ReplicaAction::RejectProposal { token }));
}

fn join(core: &mut ReplicaCore, now: u64, replica: ReplicaInfo) -> JoinReply {
    let from = replica.replica_id as u8;
    let request = JoinRequest {
        replica: Some(replica),
    };
    let messages = deliver(core, now, from, PeerMessage::Join(request));
    match &messages[..] {
        [PeerMessage::JoinReply(reply)] => reply.clone(),
        other => panic!("{other:?}"),
    }
}

fn replacement(id: u8) -> ReplicaInfo {
    ReplicaInfo {
        disk_id: disk(id + 100),
        ..info(id)
    }
}

/// Guards against two membership changes at a time, against a change before the leader has committed an entry of its term,
/// and against replacing a replica that still answers.
#[test]
fn join_changes_membership_one_at_a_time() {
    let mut core = leader();
    assert!(!join(&mut core, 710, replacement(3)).accepted);
    accept_append(&mut core, 720, 2, 3, 1);
    assert!(
        !join(&mut core, 730, replacement(2)).accepted,
        "replica 2 still answers"
    );
    assert!(join(&mut core, 740, replacement(3)).accepted);
    assert_eq!(core.membership().learners, [replacement(3)]);
    assert_eq!(core.membership().voters, membership().voters);
    assert!(
        !join(&mut core, 750, info(4)).accepted,
        "the first change is not committed"
    );
    core.flush(at(760)).unwrap();
    accept_append(&mut core, 770, 2, 4, 4);
    assert!(join(&mut core, 780, info(4)).accepted);
}

/// Guards against promoting a learner in place of its former disk before it holds the committed entries, and against
/// counting answers of the former disk afterwards.
#[test]
fn learner_is_promoted_once_caught_up() {
    let mut core = leader();
    accept_append(&mut core, 720, 2, 3, 1);
    join(&mut core, 740, replacement(3));
    core.flush(at(740)).unwrap();
    accept_append(&mut core, 750, 2, 4, 4);
    assert_eq!(core.commit_index(), 4);
    let heartbeats = tick(&mut core, 800);
    let sequence = sequence_to(&heartbeats, 103);
    accept_append(&mut core, 810, 103, 2, sequence);
    assert_eq!(core.membership().learners, [replacement(3)]);
    let heartbeats = tick(&mut core, 900);
    let sequence = sequence_to(&heartbeats, 103);
    accept_append(&mut core, 910, 103, 4, sequence);
    let expected = [info(1), info(2), replacement(3)];
    assert_eq!(core.membership().voters, expected);
    assert_eq!(core.membership().learners, []);
    accept_append(&mut core, 920, 3, 5, sequence);
    assert_eq!(core.commit_index(), 4, "the former disk does not count");
    accept_append(&mut core, 930, 103, 5, sequence);
    assert_eq!(core.commit_index(), 5);
}

/// Lets a leader tick while some of the other replicas accept its appends.
fn answer_appends(core: &mut ReplicaCore, times: std::ops::Range<u64>, answering: &[u8]) {
    for now in times.step_by(50) {
        for message in tick(core, now) {
            let PeerMessage::Append(request) = message else {
                continue;
            };
            let id = request.receiver_disk_id[0];
            if answering.contains(&id) {
                let last_index = request.previous_index + request.entries.len() as u64;
                accept_append(core, now, id, last_index, request.sequence);
            }
        }
    }
}

/// Runs a leader for 7 s while replica 2 answers and replica 3 is silent; returns the voters.
fn voters_after_silence(min_voters: usize) -> Vec<u64> {
    let settings = ReplicaSettings {
        silent_voter_timeout: Some(Duration::from_secs(5)),
        min_voters,
        ..ReplicaSettings::default()
    };
    let mut core = elect(replica_with(settings));
    answer_appends(&mut core, 750..7_750, &[2]);
    let voters = core.membership().voters.iter();
    voters.map(|voter| voter.replica_id).collect()
}

// Guards against a quorum that counts lost VMs forever, and against removing voters below the minimum that the settings
// keep for further losses.
#[test]
fn tick_silent_voter() {
    assert_eq!(voters_after_silence(2), [1, 2]);
    assert_eq!(voters_after_silence(3), [1, 2, 3]);
}

/// Runs a leader for 4 s while the last voter is silent and the successor of that VM, with the next id, answers.
/// Returns the ids of voters and learners.
fn members_after_replacement(size: u8) -> (Vec<u64>, Vec<u64>) {
    let settings = ReplicaSettings {
        silent_voter_timeout: Some(Duration::from_secs(12)),
        max_voters: 15,
        ..ReplicaSettings::default()
    };
    let mut core = leader_of(size, settings);
    let answering: Vec<u8> = (2..size).chain([size + 1]).collect();
    answer_appends(&mut core, 750..1_250, &answering);
    join(&mut core, 1_250, info(size + 1));
    answer_appends(&mut core, 1_250..4_750, &answering);
    let ids = |members: &[ReplicaInfo]| members.iter().map(|info| info.replica_id).collect();
    (
        ids(&core.membership().voters),
        ids(&core.membership().learners),
    )
}

// Guards against a successor that becomes a voter beside the lost replica and so raises the quorum size for as long as the
// silence timeout.
#[test]
fn promote_learner_replaces_lost_voter() {
    assert_eq!(members_after_replacement(5), (vec![1, 2, 3, 4, 6], vec![]));
    assert_eq!(members_after_replacement(4), (vec![1, 2, 3, 5], vec![]));
    assert_eq!(members_after_replacement(3), (vec![1, 2, 4], vec![]));
}

// Guards against lost learners that stay in the membership for good, until further replicas are refused as too many, and
// against removing a learner that has just joined.
#[test]
fn tick_silent_learner() {
    let settings = ReplicaSettings {
        silent_voter_timeout: Some(Duration::from_secs(5)),
        max_voters: 4,
        ..ReplicaSettings::default()
    };
    let mut core = elect(replica_with(settings));
    answer_appends(&mut core, 750..2_000, &[2, 3]);
    join(&mut core, 2_000, info(4));
    answer_appends(&mut core, 2_000..6_500, &[2, 3]);
    assert_eq!(core.membership().learners, [info(4)]);
    answer_appends(&mut core, 6_500..8_000, &[2, 3]);
    assert_eq!(core.membership().learners, []);
    join(&mut core, 8_000, info(5));
    assert_eq!(core.membership().learners, [info(5)]);
}

// Guards against a replica that asks only the replicas of its first settings to join, although these are gone.
#[test]
fn join_asks_configured_contacts() {
    let store = Box::new(MemoryStore::new([4; 16]));
    let settings = ReplicaSettings::default();
    let mut core = ReplicaCore::new(settings, info(4), store, membership(), at(0), 7).unwrap();
    let contacts = ReplicaEvent::Contacts(vec![info(9)]);
    core.step(at(1), contacts).unwrap();
    let actions = core.step(at(10_000), ReplicaEvent::Tick).unwrap();
    let asked = actions.iter().filter_map(|action| match action {
        ReplicaAction::Send {
            to,
            message: PeerMessage::Join(_),
        } => Some(to.replica_id),
        _ => None,
    });
    let asked: Vec<u64> = asked.collect();
    assert!(asked.contains(&9), "{asked:?}");
}

fn large_command(bytes: usize) -> Command {
    let change = Change::Routes(RouteChange {
        digest: vec![7; bytes].into(),
        ..RouteChange::default()
    });
    Command {
        change: Some(change),
    }
}

/// Commits three small entries and then 20 of 100,000 bytes, with the tokens 0 to 19, in one step of a leader. Returns the
/// leader and the actions of that step.
fn commit_large_entries(settings: ReplicaSettings) -> (ReplicaCore, Vec<ReplicaAction>) {
    let mut core = elect(replica_with(settings));
    for token in 0..20 {
        let command = large_command(100_000);
        let event = ReplicaEvent::Propose { token, command };
        core.step(at(710), event).unwrap();
    }
    core.flush(at(710)).unwrap();
    let reply = AppendReply {
        term: core.term(),
        accepted: true,
        last_index: 23,
        disk_id: disk(2),
        sequence: 1,
    };
    let event = ReplicaEvent::Message {
        from: 2,
        message: PeerMessage::AppendReply(reply),
    };
    let actions = core.step(at(720), event).unwrap();
    (core, actions)
}

/// Returns the number of commits before the first request for a snapshot.
fn commits_before_snapshot(actions: &[ReplicaAction]) -> Option<usize> {
    let is_request =
        |action: &ReplicaAction| matches!(action, ReplicaAction::CreateSnapshot { .. });
    let position = actions.iter().position(is_request)?;
    let is_commit = |action: &&ReplicaAction| matches!(action, ReplicaAction::Commit { .. });
    Some(actions[..position].iter().filter(is_commit).count())
}

// Guards against a log of large entries that is compacted by their number alone and outgrows the memory of its process.
#[test]
fn commit_large_entries_requests_snapshot() {
    let settings = ReplicaSettings {
        snapshot_log_bytes: 1_000_000,
        ..ReplicaSettings::default()
    };
    let (_, actions) = commit_large_entries(settings);
    let commits = commits_before_snapshot(&actions).expect("a snapshot is requested");
    assert!(
        commits <= 14,
        "a snapshot is requested after {commits} entries"
    );
}

// Guards against a replica that hands out its whole log at once, and so holds each entry twice, when it has a long log to
// apply after a start.
#[test]
fn commit_actions_are_bounded_in_bytes() {
    let settings = ReplicaSettings {
        max_commit_bytes: 300_000,
        ..ReplicaSettings::default()
    };
    let (mut core, mut actions) = commit_large_entries(settings);
    let mut tokens = Vec::new();
    while !actions.is_empty() {
        let commits = actions.iter().filter_map(|action| match action {
            ReplicaAction::Commit { token, .. } => Some(*token),
            _ => None,
        });
        let commits: Vec<Option<u64>> = commits.collect();
        assert!(commits.len() <= 6, "{} entries at once", commits.len());
        tokens.extend(commits.into_iter().flatten());
        actions = core.continue_commits();
    }
    assert_eq!(tokens, (0..20).collect::<Vec<u64>>());
}

// Guards against uncommitted proposals that are bounded in number only.
#[test]
fn propose_bounds_pending_bytes() {
    let settings = ReplicaSettings {
        max_pending_bytes: 250_000,
        ..ReplicaSettings::default()
    };
    let mut core = elect(replica_with(settings));
    let mut propose = |token, bytes| {
        let command = large_command(bytes);
        let event = ReplicaEvent::Propose { token, command };
        let actions = core.step(at(710), event).unwrap();
        !actions.contains(&ReplicaAction::RejectProposal { token })
    };
    assert!(propose(1, 300_000), "one large proposal is accepted");
    assert!(!propose(2, 100_000));
}
