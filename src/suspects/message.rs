//! Conversion between suspects and their messages.

use std::time::Duration;

use crate::generated::{
    EndedRequest as EndedMessage, SuspectRow as RowMessage, SuspectSet as SetMessage,
    TargetEnd as EndMessage,
};

use super::{EndedRequest, ListPosition, RequestDigest, SuspectRow, SuspectSnapshot, TargetEnd};

impl From<&TargetEnd> for EndMessage {
    fn from(end: &TargetEnd) -> Self {
        let requests = end.requests.iter().map(|request| EndedMessage {
            digest: request.digest.to_bits(),
            run_ms: request.run_time.as_millis() as u64,
        });
        Self {
            incarnation: end.incarnation,
            age_ms: end.age.as_millis() as u64,
            requests: requests.collect(),
        }
    }
}

impl From<&EndMessage> for TargetEnd {
    fn from(message: &EndMessage) -> Self {
        let requests = message.requests.iter().map(|request| EndedRequest {
            digest: RequestDigest::from_bits(request.digest),
            run_time: Duration::from_millis(request.run_ms),
        });
        Self {
            incarnation: message.incarnation,
            age: Duration::from_millis(message.age_ms),
            requests: requests.collect(),
        }
    }
}

impl From<&SuspectRow> for RowMessage {
    fn from(row: &SuspectRow) -> Self {
        Self {
            digest: row.digest.to_bits(),
            hold_ms: row.hold.map_or(0, |hold| hold.as_millis() as u64),
            rounds: row.rounds,
            left_ms: row.time_left.as_millis() as u64,
        }
    }
}

impl From<&RowMessage> for SuspectRow {
    fn from(message: &RowMessage) -> Self {
        Self {
            digest: RequestDigest::from_bits(message.digest),
            hold: (message.hold_ms > 0).then(|| Duration::from_millis(message.hold_ms)),
            rounds: message.rounds,
            time_left: Duration::from_millis(message.left_ms),
        }
    }
}

impl From<&SuspectSnapshot> for SetMessage {
    fn from(snapshot: &SuspectSnapshot) -> Self {
        Self {
            term: snapshot.position.term,
            revision: snapshot.position.revision,
            base_term: snapshot.base.term,
            base_revision: snapshot.base.revision,
            rows: snapshot.rows.iter().map(Into::into).collect(),
            ends: snapshot.ends.clone(),
        }
    }
}

impl From<&SetMessage> for SuspectSnapshot {
    fn from(message: &SetMessage) -> Self {
        Self {
            position: ListPosition {
                term: message.term,
                revision: message.revision,
            },
            base: ListPosition {
                term: message.base_term,
                revision: message.base_revision,
            },
            rows: message.rows.iter().map(Into::into).collect(),
            ends: message.ends.clone(),
        }
    }
}

impl From<RequestDigest> for u64 {
    fn from(digest: RequestDigest) -> Self {
        digest.to_bits()
    }
}

impl From<u64> for RequestDigest {
    fn from(bits: u64) -> Self {
        Self::from_bits(bits)
    }
}
