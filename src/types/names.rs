//! Names of callers, services, plans, zones and regions, and path prefixes.

use std::fmt;
use std::sync::Arc;

use crate::error::{MeshError, Result};

const MAX_NAME_BYTES: usize = 64;
const MAX_PREFIX_BYTES: usize = 256;

macro_rules! checked_name {
    ($(#[$doc:meta])* $name:ident, $field:literal) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl TryFrom<&str> for $name {
            type Error = MeshError;

            fn try_from(raw: &str) -> Result<Self> {
                check_name($field, raw)?;
                Ok(Self(raw.into()))
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

checked_name!(
    /// Name of a caller, which is an external team or a service of the mesh.
    CallerName,
    "caller name"
);
checked_name!(
    /// Name of a service that targets announce.
    ServiceName,
    "service name"
);
checked_name!(
    /// Name of a plan.
    PlanName,
    "plan name"
);
checked_name!(
    /// Name of an availability zone.
    ZoneName,
    "zone name"
);
checked_name!(
    /// Name of a region.
    RegionName,
    "region name"
);

fn check_name(field: &'static str, raw: &str) -> Result<()> {
    let is_allowed = |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-';
    if raw.is_empty() || raw.len() > MAX_NAME_BYTES || !raw.bytes().all(is_allowed) {
        return Err(MeshError::invalid(
            field,
            format!("{raw:?} must be 1 to {MAX_NAME_BYTES} characters of a-z, 0-9 and '-'"),
        ));
    }
    Ok(())
}

/// Path prefix of a grant, which matches whole path segments.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct PathPrefix(Arc<str>);

impl PathPrefix {
    /// Returns the prefix as text, without a trailing slash except for the root.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// Returns whether the path equals the prefix or lies below it.
    pub fn matches(&self, path: &str) -> bool {
        if &*self.0 == "/" {
            return true;
        }
        path.strip_prefix(&*self.0)
            .is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
    }
}

impl TryFrom<&str> for PathPrefix {
    type Error = MeshError;

    fn try_from(raw: &str) -> Result<Self> {
        let is_allowed = |byte: u8| byte.is_ascii_graphic() && !matches!(byte, b'?' | b'#' | b'%');
        let is_clean =
            !raw.contains("//") && !raw.split('/').any(|part| part == "." || part == "..");
        let is_valid = raw.starts_with('/')
            && raw.len() <= MAX_PREFIX_BYTES
            && raw.bytes().all(is_allowed)
            && is_clean;
        if !is_valid {
            return Err(MeshError::invalid(
                "path prefix",
                format!(
                    "{raw:?} must start with '/', have at most {MAX_PREFIX_BYTES} printable characters \
                     without '?', '#', '%', and no empty, '.' or '..' segment"
                ),
            ));
        }
        let trimmed = if raw.len() > 1 {
            raw.trim_end_matches('/')
        } else {
            raw
        };
        Ok(Self(trimmed.into()))
    }
}

impl fmt::Display for PathPrefix {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}
