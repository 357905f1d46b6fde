//! Outcome of an attempt and reasons for refusing work.

use std::fmt;

use http::StatusCode;

/// What is known about the execution of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum AttemptOutcome {
    /// The target ran the request and the answer follows.
    Ran,
    /// It is proven that the target did not run the request.
    NotRun,
    /// The target may or may not have run the request.
    Unknown,
}

impl AttemptOutcome {
    /// Returns the name used in headers and logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Ran => "ran",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }

    /// Parses a header value. An unexpected value counts as unknown.
    pub fn from_header(raw: &[u8]) -> Self {
        match raw {
            b"ran" => Self::Ran,
            b"not-run" => Self::NotRun,
            _ => Self::Unknown,
        }
    }
}

impl fmt::Display for AttemptOutcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

macro_rules! refusal_reasons {
    ($($(#[$doc:meta])* $variant:ident => $text:literal, $status:ident;)+) => {
        /// Why a request was refused or failed inside the mesh.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
        pub enum RefusalReason {
            $($(#[$doc])* $variant,)+
        }

        impl RefusalReason {
            /// All reasons, for documentation and tests.
            pub const ALL: &[Self] = &[$(Self::$variant,)+];

            /// Returns the name used in headers, bodies and logs.
            pub const fn as_str(self) -> &'static str {
                match self { $(Self::$variant => $text,)+ }
            }

            /// Returns the HTTP status sent to the caller.
            pub const fn status(self) -> StatusCode {
                match self { $(Self::$variant => StatusCode::$status,)+ }
            }
        }
    };
}

refusal_reasons! {
    /// A header, path or key is malformed.
    BadRequest => "bad-request", BAD_REQUEST;
    /// At-most-once work came without an idempotency key.
    KeyRequired => "key-required", BAD_REQUEST;
    /// The idempotency key is older than the retention of claims.
    KeyExpired => "key-expired", CONFLICT;
    /// The credential does not belong to any caller.
    UnknownCaller => "unknown-caller", UNAUTHORIZED;
    /// The caller's plan has no grant for the service and path.
    NotGranted => "not-granted", FORBIDDEN;
    /// No target has announced the service.
    UnknownService => "unknown-service", NOT_FOUND;
    /// The caller has used up its rate limit.
    PlanRate => "plan-rate", TOO_MANY_REQUESTS;
    /// The node has no plans, or has not been able to confirm them for too long.
    PlanStale => "plan-stale", SERVICE_UNAVAILABLE;
    /// The priority of the request is below the admission level.
    AdmissionLevel => "admission-level", SERVICE_UNAVAILABLE;
    /// The queue of the target is full.
    QueueFull => "queue-full", SERVICE_UNAVAILABLE;
    /// The target's limit on requests per second is used up.
    TargetLimited => "target-limited", SERVICE_UNAVAILABLE;
    /// Targets have ended under this request, so it is held back.
    RequestHeld => "request-held", SERVICE_UNAVAILABLE;
    /// Targets have ended under this request, and another such request is at work at the target.
    SuspectAtWork => "suspect-at-work", SERVICE_UNAVAILABLE;
    /// Work of higher priority took the request's place in the queue.
    Displaced => "displaced", SERVICE_UNAVAILABLE;
    /// The deadline cannot be met.
    DeadlineInfeasible => "deadline-infeasible", SERVICE_UNAVAILABLE;
    /// The deadline passed.
    DeadlineExceeded => "deadline-exceeded", GATEWAY_TIMEOUT;
    /// The caller or an upstream hop cancelled the request.
    Cancelled => "cancelled", SERVICE_UNAVAILABLE;
    /// The target is leaving, or its node is stopping.
    TargetLeaving => "target-leaving", SERVICE_UNAVAILABLE;
    /// The target does not accept connections.
    TargetDown => "target-down", SERVICE_UNAVAILABLE;
    /// The target itself refused the request, or it ran the request and answered with a status that would mean "not run".
    TargetRefused => "target-refused", SERVICE_UNAVAILABLE;
    /// Another incarnation of the target now has its address.
    TargetReplaced => "target-replaced", SERVICE_UNAVAILABLE;
    /// No target is left to send to.
    NoTarget => "no-target", SERVICE_UNAVAILABLE;
    /// The attempts allowed for the whole chain of calls are used up.
    AllowanceSpent => "allowance-spent", SERVICE_UNAVAILABLE;
    /// The hop made several attempts, and the last did not end with an answer of a target that ran it.
    RetriesSpent => "retries-spent", SERVICE_UNAVAILABLE;
    /// The same request is still in flight at this entry, or the same attempt is in flight or recently ended at the node of
    /// its target.
    DuplicateInFlight => "duplicate-in-flight", CONFLICT;
    /// Work under this idempotency key is in progress or its outcome is not known.
    ClaimInProgress => "claim-in-progress", CONFLICT;
    /// Work under this idempotency key already ran.
    AlreadyRan => "already-ran", CONFLICT;
    /// The claim call failed, for example because the claim log did not answer in time.
    ClaimUnavailable => "claim-unavailable", SERVICE_UNAVAILABLE;
    /// The answer was lost or incomplete.
    AnswerLost => "answer-lost", BAD_GATEWAY;
    /// The request body is larger than the configured bound.
    BodyTooLarge => "body-too-large", PAYLOAD_TOO_LARGE;
    /// The mesh token is missing or wrong.
    BadMeshToken => "bad-mesh-token", UNAUTHORIZED;
    /// The process is stopping.
    Stopping => "stopping", SERVICE_UNAVAILABLE;
}

impl RefusalReason {
    /// Parses the name used in headers.
    pub fn from_header(raw: &[u8]) -> Option<Self> {
        Self::ALL
            .iter()
            .copied()
            .find(|reason| reason.as_str().as_bytes() == raw)
    }
}

impl fmt::Display for RefusalReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
