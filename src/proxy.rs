//! HTTP/1.1 servers and clients of a node, with the headers, bodies and in-flight attempts that they share.

mod answer;
mod attempts;
mod body;
mod cancel;
mod claim;
mod client;
mod entry;
mod entry_table;
mod hand_over;
mod headers;
mod hop;
mod inbound;
mod local;
mod mesh;
mod path;
mod server;
mod serving;

pub use answer::{AnswerReport, HopAnswer, Refusal};
pub(crate) use attempts::AttemptTable;
pub use body::ProxyBody;
pub(crate) use client::{MeshClient, TargetConnections, new_client};
pub(crate) use entry_table::EntryTable;
pub use headers::{
    CallLocation, decode_context, decode_report, encode_context, encode_report, strip_headers,
};
pub use path::ServicePath;
pub(crate) use server::{ListenerKind, serve_listener};
