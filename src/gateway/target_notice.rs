//! What a target says about itself in the headers of an answer.

use http::HeaderMap;

use crate::admission::RequestRate;

use super::config::HeaderNames;

/// Value of the header by which a target says that it is leaving.
const LEAVING: &[u8] = b"1";

/// Limit on its requests that a target names in an answer.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum LimitNotice {
    Absent,
    /// The target names a limit that is no number. An earlier limit stays in force.
    Unreadable,
    Named(RequestRate),
}

/// Statements of a target about itself in one answer.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct TargetNotice {
    pub(super) limit: LimitNotice,
    pub(super) is_leaving: bool,
}

impl TargetNotice {
    /// Reads the statements in the headers of an answer. Of several limits the lowest counts.
    pub(super) fn read(headers: &HeaderMap, names: &HeaderNames) -> Self {
        let mut limit = LimitNotice::Absent;
        for value in headers.get_all(&names.request_limit) {
            let rate = value.to_str().unwrap_or_default();
            limit = match (RequestRate::try_from(rate), limit) {
                (Ok(rate), LimitNotice::Named(other)) => LimitNotice::Named(rate.min(other)),
                (Ok(rate), _) => LimitNotice::Named(rate),
                (Err(error), LimitNotice::Absent) => {
                    log::warn!(
                        "event=target_limit_malformed value={value:?} error={:?}",
                        error.to_string()
                    );
                    LimitNotice::Unreadable
                }
                (Err(_), known) => known,
            };
        }
        let mut leaving = headers.get_all(&names.target_leaving).iter();
        Self {
            limit,
            is_leaving: leaving.any(|value| value.as_bytes().trim_ascii() == LEAVING),
        }
    }
}
