//! Removal of headers that must not be forwarded to the next hop.

use http::header::{CONNECTION, HeaderMap, HeaderName};

/// Prefix of the headers that nodes exchange and that no other sender may set.
const MESH_PREFIX: &str = "ebj-";

/// Removes the headers named in `Connection`, the headers of the mesh and the listed headers.
pub(crate) fn strip_hop_headers(headers: &mut HeaderMap, listed: &[HeaderName]) {
    let connection_headers: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|names| names.split(','))
        .filter_map(|name| HeaderName::try_from(name.trim()).ok())
        .collect();
    for name in connection_headers.iter().chain(listed) {
        headers.remove(name);
    }
    let mesh_headers: Vec<HeaderName> = headers
        .keys()
        .filter(|name| name.as_str().starts_with(MESH_PREFIX))
        .cloned()
        .collect();
    for name in mesh_headers {
        headers.remove(name);
    }
}
