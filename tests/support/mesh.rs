//! Small mesh of two nodes, one stand-in target and the registry.

use serde_json::json;

use super::http::{behave, counts, get};
use super::poll;
use super::process::{MESH_TOKEN, NodeProcess, StandIn};
use super::registry::FakeRegistry;

pub const PLANS: &str = r#"
[[plan]]
name = "open"
rate_per_s = 0

[[plan]]
name = "small"
rate_per_s = 1

[[plan]]
name = "desk"
rate_per_s = 8
burst = 16

[[plan]]
name = "orders"
rate_per_s = 0

[[caller]]
name = "reseller"
plan = "open"
credential_sha256 = "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b"

[[caller]]
name = "guest"
plan = "small"
credential_sha256 = "84983c60f7daadc1cb8698621f802c0d9f9a3c3c295c810748fb048115c186ec"

[[caller]]
name = "clerk"
plan = "desk"
credential_sha256 = "c40dc72b0228e5850d8b173ff861a48acfb4a15b37b2849cbb6584bbadbc7907"

[[caller]]
name = "svc-orders"
plan = "orders"
service = "orders"
"#;
pub const GRANTS: &str = r#"
[[grant]]
plan = "desk"
service = "orders"
path_prefix = "/"
class = "read"
deadline_ms = 5000

[[grant]]
plan = "open"
service = "orders"
path_prefix = "/"
class = "read"
deadline_ms = 5000

[[grant]]
plan = "open"
service = "orders"
path_prefix = "/pay"
class = "critical"
at_most_once = true
deadline_ms = 5000

[[grant]]
plan = "open"
service = "ghost"
path_prefix = "/"
class = "read"

[[grant]]
plan = "small"
service = "orders"
path_prefix = "/"
class = "read"

[[grant]]
plan = "orders"
service = "stock"
path_prefix = "/"
class = "read"
deadline_ms = 5000
"#;
pub const RESELLER: (&str, &str) = ("authorization", "Bearer secret");

/// Entry node without a target, and a node with a stand-in target.
#[derive(Debug)]
pub struct Mesh {
    pub registry: FakeRegistry,
    pub entry: NodeProcess,
    pub node: NodeProcess,
    pub target: StandIn,
}

impl Mesh {
    pub async fn start(extra_settings: &str, stand_in_arguments: &[&str]) -> Self {
        let registry = FakeRegistry::start(PLANS, GRANTS).await;
        let entry = NodeProcess::start(registry.address, extra_settings).await;
        let node = NodeProcess::start(registry.address, extra_settings).await;
        let target = StandIn::start("orders", &node, stand_in_arguments).await;
        let mesh = Self {
            registry,
            entry,
            node,
            target,
        };
        mesh.wait_ready(&mesh.entry).await;
        mesh.wait_ready(&mesh.node).await;
        mesh
    }

    pub async fn wait_ready(&self, node: &NodeProcess) {
        poll("a served request", async || {
            let answer = get(node.entry, "/orders/ready", &[RESELLER]).await;
            (answer.status == 200).then_some(())
        })
        .await;
    }
}

impl Mesh {
    /// Adds a second service that the stand-in calls.
    pub async fn add_stock(&self) -> (NodeProcess, StandIn) {
        let node = NodeProcess::start(self.registry.address, "").await;
        let stock = StandIn::start("stock", &node, &[]).await;
        behave(self.target.address, &json!({"calls": ["/stock/check"]})).await;
        poll("a served chain", async || {
            let answer = get(self.entry.entry, "/orders/ready", &[RESELLER]).await;
            (answer.status == 200).then_some(())
        })
        .await;
        (node, stock)
    }
}

/// Waits until a counter of a stand-in has the expected value.
pub async fn wait_count(target: &StandIn, name: &str, expected: u64) {
    poll(name, async || {
        (counts(target.address).await[name] == expected).then_some(())
    })
    .await;
}

/// Returns the headers of an attempt that is forwarded by another node.
pub fn mesh_headers(attempt: &str) -> Vec<(&str, &str)> {
    vec![
        ("ebj-mesh-token", MESH_TOKEN),
        ("ebj-attempt-id", attempt),
        ("ebj-request-id", "0d9f2a57-98a3-4d53-9f5b-7b4e2d3c1a60"),
        ("ebj-caller", "reseller"),
        ("ebj-via", "reseller"),
        ("ebj-class", "read"),
        ("ebj-priority", "17"),
        ("ebj-allowance", "4"),
        ("ebj-timeout-ms", "2000"),
        ("ebj-depth", "0"),
    ]
}
