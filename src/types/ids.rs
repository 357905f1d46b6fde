//! Identifiers of requests, attempts, nodes and idempotent work.

use std::fmt;

use uuid::Uuid;

use crate::error::{MeshError, Result};

macro_rules! uuid_id {
    ($(#[$doc:meta])* $name:ident, $field:literal) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
        pub struct $name(Uuid);

        impl $name {
            /// Wraps an existing UUID.
            pub const fn from_uuid(uuid: Uuid) -> Self {
                Self(uuid)
            }

            /// Returns the sixteen bytes of the identifier.
            pub const fn as_bytes(&self) -> &[u8; 16] {
                self.0.as_bytes()
            }
        }

        impl TryFrom<&[u8]> for $name {
            type Error = MeshError;

            fn try_from(raw: &[u8]) -> Result<Self> {
                Uuid::from_slice(raw)
                    .map(Self)
                    .map_err(|error| MeshError::invalid($field, error.to_string()))
            }
        }

        impl TryFrom<&str> for $name {
            type Error = MeshError;

            fn try_from(raw: &str) -> Result<Self> {
                Uuid::try_parse(raw)
                    .map(Self)
                    .map_err(|error| MeshError::invalid($field, error.to_string()))
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.hyphenated().fmt(f)
            }
        }
    };
}

uuid_id!(
    /// Identifier of one request over its whole chain of calls. A resend has the same identifier.
    RequestId,
    "request id"
);
uuid_id!(
    /// Identifier of one send of a request over one hop.
    AttemptId,
    "attempt id"
);
uuid_id!(
    /// Identifier of one run of a node process.
    NodeId,
    "node id"
);

impl RequestId {
    /// Creates a random identifier.
    pub fn random() -> Self {
        Self(Uuid::new_v4())
    }
}

impl AttemptId {
    /// Creates a random identifier.
    pub fn random() -> Self {
        Self(Uuid::new_v4())
    }
}

impl NodeId {
    /// Creates a random identifier.
    pub fn random() -> Self {
        Self(Uuid::new_v4())
    }
}

/// Key of work that runs at most once: a UUID version 7, whose timestamp gives its age.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct IdempotencyKey(Uuid);

impl IdempotencyKey {
    /// Creates a key for work that starts now.
    pub fn new_now() -> Self {
        Self(Uuid::now_v7())
    }

    /// Returns the sixteen bytes of the key.
    pub const fn as_bytes(&self) -> &[u8; 16] {
        self.0.as_bytes()
    }

    /// Returns the time of creation in milliseconds since the Unix epoch.
    pub fn created_ms(&self) -> u64 {
        let bytes = self.0.as_bytes();
        bytes[..6]
            .iter()
            .fold(0, |value, byte| (value << 8) | u64::from(*byte))
    }

    fn check(uuid: Uuid) -> Result<Self> {
        if uuid.get_version_num() != 7 {
            return Err(MeshError::invalid(
                "idempotency key",
                "must be a UUID version 7",
            ));
        }
        Ok(Self(uuid))
    }
}

impl TryFrom<&str> for IdempotencyKey {
    type Error = MeshError;

    fn try_from(raw: &str) -> Result<Self> {
        let uuid = Uuid::try_parse(raw)
            .map_err(|error| MeshError::invalid("idempotency key", error.to_string()))?;
        Self::check(uuid)
    }
}

impl TryFrom<&[u8]> for IdempotencyKey {
    type Error = MeshError;

    fn try_from(raw: &[u8]) -> Result<Self> {
        let uuid = Uuid::from_slice(raw)
            .map_err(|error| MeshError::invalid("idempotency key", error.to_string()))?;
        Self::check(uuid)
    }
}

impl fmt::Display for IdempotencyKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.hyphenated().fmt(f)
    }
}
