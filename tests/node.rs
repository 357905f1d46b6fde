//! Behaviour of the node process towards callers, targets, other nodes and control.

mod support;

use support::http::get;
use support::poll;
use support::process::{NodeProcess, StandIn};
use support::registry::FakeRegistry;

const PLANS: &str = r#"
[[plan]]
name = "open"
rate_per_s = 0

[[plan]]
name = "small"
rate_per_s = 1

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
name = "svc-orders"
plan = "orders"
service = "orders"
"#;
const GRANTS: &str = r#"
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
const RESELLER: (&str, &str) = ("authorization", "Bearer secret");

/// One entry node without a target, and a node with a stand-in.
#[derive(Debug)]
struct Mesh {
    registry: FakeRegistry,
    entry: NodeProcess,
    node: NodeProcess,
    target: StandIn,
}

impl Mesh {
    async fn start(extra_settings: &str, stand_in_arguments: &[&str]) -> Self {
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

    async fn wait_ready(&self, node: &NodeProcess) {
        poll("a served request", async || {
            let answer = get(node.entry, "/orders/ready", &[RESELLER]).await;
            (answer.status == 200).then_some(())
        })
        .await;
    }
}

// Guards against a path of a request that loses its answer, its id or its outcome on the way.
#[tokio::test]
async fn entry_answers_over_mesh_hop() {
    let mesh = Mesh::start("", &[]).await;
    for node in [&mesh.entry, &mesh.node] {
        let id = uuid::Uuid::new_v4().to_string();
        let headers = [RESELLER, ("ebj-request-id", id.as_str())];
        let answer = get(node.entry, "/orders/list?page=2", &headers).await;
        assert_eq!(answer.verdict(), "200 ran");
        assert_eq!(answer.header("ebj-request-id"), id);
        assert_eq!(answer.json()["request_id"], id.as_str());
        assert_eq!(answer.json()["path"], "/list");
        assert!(answer.headers.get("ebj-level").is_none());
    }
}
