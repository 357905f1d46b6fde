//! Tests of the requirements on the design page under failures, with whole meshes of real processes.

#[path = "support/http.rs"]
#[expect(dead_code, reason = "a part of the client is used by other test files")]
mod client;
#[path = "support/fault_proxy.rs"]
#[expect(dead_code, reason = "a part of the faults is used by other test files")]
mod fault_proxy;
mod fleet;

#[path = "mesh/answers.rs"]
mod answers;
#[path = "mesh/attempts.rs"]
mod attempts;
#[path = "mesh/claims.rs"]
mod claims;
#[path = "mesh/edits.rs"]
mod edits;
#[path = "mesh/fixture.rs"]
mod fixture;
#[path = "mesh/load.rs"]
mod load;
#[path = "mesh/random_steps.rs"]
mod random_steps;
#[path = "mesh/shedding.rs"]
mod shedding;
#[path = "mesh/stops.rs"]
mod stops;
