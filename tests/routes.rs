//! Routing configuration: validation, lookup, differences between versions, and changes in the replicated state.

use ebonyjunction::control_state::{ApplyResult, ControlState, RouteResult};
use ebonyjunction::generated::command::Change;
use ebonyjunction::generated::{
    Command, RepeatKind, RouteChange, RoutePart, RouteRow, RouteService, RouteSet,
};
use ebonyjunction::routes::{RouteBook, apply_delta, document_digest, route_delta};

fn row(name: &str, prefix: &str, service: &str) -> RouteRow {
    RouteRow {
        name: name.to_owned(),
        host: "shop.example".to_owned(),
        prefix: prefix.to_owned(),
        repeat_kind: RepeatKind::Idempotent.into(),
        attempts: 2,
        timeout_ms: 1_000,
        objective_ms: 800,
        urgency: 1,
        parts: vec![RoutePart {
            service: service.to_owned(),
            weight: 1,
        }],
    }
}

fn set(version: u64, routes: Vec<RouteRow>) -> RouteSet {
    let services = ["orders", "stock"].map(|name| RouteService {
        name: name.to_owned(),
        connections: 10,
        health_path: String::new(),
    });
    RouteSet {
        version,
        routes,
        services: services.into(),
        limits: None,
        document: format!("document {version}").into(),
    }
}

fn change(base_version: u64, routes: RouteSet) -> Command {
    Command {
        change: Some(Change::Routes(RouteChange {
            base_version,
            digest: document_digest(&routes.document).into(),
            routes: Some(routes),
        })),
    }
}

fn route_result(result: ApplyResult) -> (bool, u64) {
    match result {
        ApplyResult::Routes(RouteResult { accepted, version }) => (accepted, version),
        other => panic!("{other:?}"),
    }
}

// Guards against a request that matches the route of a shorter prefix or of another host.
#[test]
fn find_longest_prefix() {
    let routes = vec![
        row("all", "/", "orders"),
        row("deep", "/a/b/", "stock"),
        row("mid", "/a/", "orders"),
    ];
    let book = RouteBook::try_from(&set(1, routes)).unwrap();
    let name = |host: &str, path: &str| {
        let key = book.find(host, path);
        key.map(|key| book.route(key).name.as_str())
    };
    assert_eq!(name("shop.example", "/a/b/c"), Some("deep"));
    assert_eq!(name("shop.example:80", "/a/bc"), Some("mid"));
    assert_eq!(name("SHOP.example", "/x"), Some("all"));
    assert_eq!(name("other.example", "/a/"), None);
}

// Guards against accepting an invalid configuration, and against findings that are reported one at a time.
#[test]
fn try_from_reports_all_findings() {
    let mut zero = row("zero", "/zero/", "orders");
    zero.timeout_ms = 0;
    let mut long = row("long", "/long/", "orders");
    long.timeout_ms = 600_001;
    let mut late = row("late", "/late/", "orders");
    late.objective_ms = 61_000;
    let mut weightless = row("weightless", "/weightless/", "orders");
    weightless.parts[0].weight = 0;
    let mut kindless = row("kindless", "/kindless/", "orders");
    kindless.repeat_kind = 0;
    let routes = vec![
        zero,
        long,
        late,
        weightless,
        kindless,
        row("unknown", "/unknown/", "nobody"),
        row("bare", "bare/", "orders"),
        row("first", "/same/", "orders"),
        row("second", "/same/", "stock"),
    ];
    let findings = RouteBook::try_from(&set(1, routes))
        .unwrap_err()
        .to_string();
    insta::assert_snapshot!(findings);
}

// Guards against accepting the changes of two concurrent writers, and against a new version that is not higher.
#[test]
fn apply_two_writers() {
    let mut state = ControlState::new();
    let first = set(4, vec![row("a", "/a/", "orders")]);
    let other = RouteSet {
        document: "another document".into(),
        ..first.clone()
    };
    assert_eq!(route_result(state.apply(1, &change(0, first))), (true, 4));
    assert_eq!(route_result(state.apply(2, &change(0, other))), (false, 4));
    let same = set(4, vec![]);
    let same = RouteSet {
        document: "same version".into(),
        ..same
    };
    assert_eq!(route_result(state.apply(3, &change(4, same))), (false, 4));
    assert_eq!(state.routes().document, "document 4");
}

// Guards against a resent change that is refused or restores an older version, also after a restart.
#[test]
fn apply_resend() {
    let mut state = ControlState::new();
    let first = change(0, set(1, vec![row("a", "/a/", "orders")]));
    let second = change(1, set(5, vec![row("b", "/b/", "stock")]));
    state.apply(1, &first);
    state.apply(2, &second);
    assert_eq!(route_result(state.apply(3, &second)), (true, 5));
    let mut restored = ControlState::new();
    restored.restore(&state.snapshot()).unwrap();
    assert_eq!(route_result(restored.apply(4, &first)), (true, 5));
    assert_eq!(restored.routes().version, 5);
    assert_eq!(restored.routes().document, "document 5");
}

// Guards against nodes whose routes differ from those in force after they applied a delta.
#[test]
fn apply_delta_matches() {
    let first = set(1, vec![row("a", "/a/", "orders"), row("b", "/b/", "stock")]);
    let second = set(
        3,
        vec![row("b", "/b2/", "stock"), row("c", "/c/", "orders")],
    );
    let delta = route_delta(Some(&first), &second);
    assert_eq!((delta.changed.len(), delta.removed.len()), (2, 1));
    let held = apply_delta(&first, &delta).unwrap();
    assert_eq!((held.version, held.routes), (3, second.routes.clone()));
    assert!(apply_delta(&second, &delta).is_none());
    let whole = route_delta(None, &second);
    let held = apply_delta(&RouteSet::default(), &whole).unwrap();
    assert_eq!(held.routes, second.routes);
}

// Guards against two routes of one place that are accepted because their hosts differ in case: requests for one of them
// would run at the service of the other.
#[test]
fn route_book_compares_hosts_without_case() {
    let mut other = row("b", "/a/", "stock");
    other.host = "Shop.Example".to_owned();
    let error = RouteBook::try_from(&set(1, vec![row("a", "/a/", "orders"), other.clone()]));
    assert!(error.unwrap_err().to_string().contains("same host"));
    other.prefix = "/b/".to_owned();
    let book = RouteBook::try_from(&set(1, vec![row("a", "/a/", "orders"), other])).unwrap();
    for host in ["shop.example", "SHOP.example", "shop.example:80"] {
        let key = book.find(host, "/b/1").unwrap();
        assert_eq!(book.route(key).name, "b");
    }
}
