//! Paths of calls: `/SERVICE/rest/of/path`.

use http::Uri;

use crate::error::{MeshError, Result};
use crate::types::ServiceName;

/// Service and path from the URI of a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServicePath {
    /// Service that is called.
    pub service: ServiceName,
    /// Path within the service, without the query.
    pub path: String,
    /// First segment of the path, with a leading slash.
    pub endpoint: String,
    /// Path within the service, with the query.
    pub path_and_query: String,
}

impl ServicePath {
    /// Splits the path of a request.
    ///
    /// Paths that a target could normalise to another path are rejected, so that the grant is checked for the same path
    /// that the target serves.
    pub fn parse(uri: &Uri) -> Result<Self> {
        let raw = uri.path();
        check_spelling(raw)?;
        let rest = raw
            .strip_prefix('/')
            .ok_or_else(|| MeshError::invalid("path", "must start with /SERVICE"))?;
        let (service, path) = match rest.split_once('/') {
            Some((service, path)) => (service, format!("/{path}")),
            None => (rest, "/".to_owned()),
        };
        let service = ServiceName::try_from(service)?;
        let path_and_query = match uri.query() {
            Some(query) => format!("{path}?{query}"),
            None => path.clone(),
        };
        let first_segment = path[1..].split('/').next().unwrap_or_default();
        let endpoint = format!("/{first_segment}");
        Ok(Self {
            service,
            path,
            endpoint,
            path_and_query,
        })
    }
}

fn check_spelling(path: &str) -> Result<()> {
    let has_bad_segment = path.split('/').any(|part| part == "." || part == "..");
    if path.contains("//") || path.contains('\\') || has_bad_segment {
        let detail = "must have no empty, '.' or '..' segment and no backslash";
        return Err(MeshError::invalid("path", detail));
    }
    let mut rest = path;
    while let Some(position) = rest.find('%') {
        let digits = rest.get(position + 1..position + 3);
        let byte = digits.and_then(|digits| u8::from_str_radix(digits, 16).ok());
        let byte = byte.ok_or_else(|| MeshError::invalid("path", "has a broken percent code"))?;
        let is_ambiguous = byte.is_ascii_alphanumeric() || b"-._~/\\%\0".contains(&byte);
        if is_ambiguous {
            let detail = "must not percent-encode letters, digits, or any of -._~/\\%";
            return Err(MeshError::invalid("path", detail));
        }
        rest = &rest[position + 3..];
    }
    Ok(())
}
