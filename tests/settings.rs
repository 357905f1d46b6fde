//! Validation of settings, plans and grants: every finding is reported with its file and line.

use ebonyjunction::config::{ControlConfig, NodeConfig};
use ebonyjunction::plans::{ListFiles, PlanBook, diff_books, read_lists};
use ebonyjunction::types::{CallerName, PriorityClass, ServiceName};

const PLANS: &str = r#"
[[plan]]
name = "gold"
rate_per_s = 100

[[caller]]
name = "reseller"
plan = "gold"
credential_sha256 = "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b"
"#;

const GRANTS: &str = r#"
[[grant]]
plan = "gold"
service = "orders"
path_prefix = "/"
class = "read"

[[grant]]
plan = "gold"
service = "orders"
path_prefix = "/confirm"
class = "critical"
at_most_once = true
"#;

fn read(plans_text: &str, grants_text: &str) -> ebonyjunction::error::Result<PlanBook> {
    let files = ListFiles {
        plans_file: "plans.toml",
        plans_text,
        grants_file: "grants.toml",
        grants_text,
    };
    read_lists(files)
}

// Guards against validation that stops at the first finding or reports it without its line.
#[test]
fn node_config_reports_all_findings() {
    let text = "entry_address = \"here\"\nmesh_address = \"127.0.0.1:1\"\n\
                local_address = \"10.0.0.1:1\"\nzone = \"A B\"\nqueue_limit = 0\nspeed = 3\n";
    let error = NodeConfig::parse("node.toml", text).unwrap_err();
    insta::assert_snapshot!(error.to_string(), @r#"
    node.toml:1: control: is required
    node.toml:1: entry_address: "here" must be an IP address and port such as 127.0.0.1:7000
    node.toml:1: mesh_token: is required
    node.toml:1: region: is required
    node.toml:3: local_address: must be a loopback address
    node.toml:4: zone: invalid zone name: "A B" must be 1 to 64 characters of a-z, 0-9 and '-'
    node.toml:5: queue_limit: 0 must lie between 1 and 65536
    node.toml:6: speed: unknown key; known keys are advertise_address, control, entry_address, local_address, max_body_bytes, mesh_address, mesh_token, metrics_address, plan_lease_s, queue_limit, region, replay_limit_bytes, stale_plans, stop_timeout_s, whole_answer_bytes, zone
    "#);
    assert_eq!(error.exit_code(), 2);
}

// Guards against two replicas with the same id, which would share one vote.
#[test]
fn control_config_duplicate_peer() {
    let text = "replica_id = 1\ncontrol_address = \"127.0.0.1:1\"\ndata_folder = \"d\"\n\
                mesh_token = \"0123456789abcdef\"\n[[peer]]\nreplica_id = 1\naddress = \"127.0.0.1:2\"\n";
    let error = ControlConfig::parse("control.toml", text).unwrap_err();
    insta::assert_snapshot!(
        error.to_string(),
        @"control.toml:6: peer[0].replica_id: must differ from every other replica"
    );
}

// Guards against a TOML syntax error that hides later findings.
#[test]
fn control_config_syntax_error() {
    let error = ControlConfig::parse("c.toml", "replica_id = = 1\nbootstrap = 3\n").unwrap_err();
    let text = error.to_string();
    assert!(text.contains("c.toml:1: syntax"), "{text}");
    assert!(
        text.contains("c.toml:2: bootstrap: expected true or false"),
        "{text}"
    );
}

// Guards against a grant of a short prefix that takes precedence over a more specific one.
#[test]
fn find_grant_longest_prefix() {
    let book = read(PLANS, GRANTS).unwrap();
    let caller = book
        .find_caller(b"secret")
        .expect("the credential is listed");
    assert_eq!(caller.name, CallerName::try_from("reseller").unwrap());
    let orders = ServiceName::try_from("orders").unwrap();
    let confirm = book.find_grant(caller, &orders, "/confirm/7").unwrap();
    assert_eq!(
        (confirm.class, confirm.at_most_once),
        (PriorityClass::Critical, true)
    );
    let other = book.find_grant(caller, &orders, "/confirmation").unwrap();
    assert_eq!(other.class, PriorityClass::Read);
    assert!(book.find_caller(b"Secret").is_none());
}

// Guards against accepting callers and grants that refer to plans which do not exist.
#[test]
fn read_lists_broken_references() {
    let plans = PLANS.replace("plan = \"gold\"", "plan = \"silver\"");
    let grants = format!(
        "{GRANTS}\n[[grant]]\nplan = \"tin\"\nservice = \"x\"\npath_prefix = \"no\"\nclass = \"read\"\n"
    );
    let error = read(&plans, &grants).unwrap_err();
    insta::assert_snapshot!(error.to_string());
}

// Guards against losing or changing a field in the conversion to and from the message that is sent to the replicas.
#[test]
fn plan_set_round_trip() {
    let book = read(PLANS, GRANTS).unwrap().with_version(4);
    let set = ebonyjunction::generated::PlanSet::from(&book);
    let copy = PlanBook::try_from(&set).unwrap();
    assert_eq!(copy.version(), 4);
    assert!(diff_books(&book, &copy).lines.is_empty());
    let empty = diff_books(&PlanBook::default(), &copy);
    assert_eq!(empty.lines.len(), 4);
}
