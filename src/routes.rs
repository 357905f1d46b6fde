//! Routes by host and path prefix: the validated routes of one version, and differences between versions.

mod book;
mod convert;
mod difference;

pub use book::{RepeatKind, RouteBook, RouteEntry, RouteKey, RouteLimits, RoutePart, ServiceEntry};
pub use convert::document_digest;
pub use difference::{apply_delta, route_delta};
