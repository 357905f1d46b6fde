//! Message types and service stubs generated from `proto/control.proto` by the `codegen` crate.

#![allow(
    missing_docs,
    clippy::all,
    clippy::allow_attributes_without_reason,
    clippy::pedantic,
    reason = "generated code; documentation lives in the .proto file"
)]

include!("generated/ebonyjunction.v1.rs");
