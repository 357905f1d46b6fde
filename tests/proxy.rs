//! Encoding of attempt contexts and answer reports in headers, service paths, and the decision log.

use std::time::Duration;

use ebonyjunction::decisions::{DecisionLog, KEPT_REQUESTS};
use ebonyjunction::proxy::{
    AnswerReport, CallLocation, Refusal, ServicePath, decode_context, decode_report,
    encode_context, encode_report, strip_headers,
};
use ebonyjunction::routing::LoadReport;
use ebonyjunction::types::{
    AttemptContext, AttemptId, AttemptOutcome, CallerName, IdempotencyKey, PriorityClass,
    RefusalReason, RequestId, RequestPriority, ServiceName, TickTime,
};
use http::{HeaderMap, HeaderName, HeaderValue, Uri};
use proptest::prelude::*;
use uuid::Uuid;

fn contexts() -> impl Strategy<Value = AttemptContext> {
    let ids = (any::<u128>(), any::<u128>(), any::<Option<u128>>());
    let names = ("[a-z0-9-]{1,64}", "[a-z0-9-]{1,64}");
    let numbers = (
        any::<u16>(),
        any::<u8>(),
        any::<u8>(),
        0..600_000_u64,
        0..4_usize,
    );
    (ids, names, numbers).prop_map(|(ids, names, numbers)| {
        let claim_key = ids.2.map(|raw| {
            let uuid = uuid::Builder::from_u128(raw)
                .with_version(uuid::Version::SortRand)
                .into_uuid();
            IdempotencyKey::try_from(uuid.as_bytes().as_slice()).unwrap()
        });
        AttemptContext {
            request_id: RequestId::from_uuid(Uuid::from_u128(ids.0)),
            attempt_id: AttemptId::from_uuid(Uuid::from_u128(ids.1)),
            origin: CallerName::try_from(names.0.as_str()).unwrap(),
            via: CallerName::try_from(names.1.as_str()).unwrap(),
            service: ServiceName::try_from("orders").unwrap(),
            endpoint: "/a".to_owned(),
            class: PriorityClass::ALL[numbers.4],
            priority: RequestPriority::from_raw(numbers.0),
            allowance: numbers.1,
            deadline: TickTime::from_millis(1_000 + numbers.3),
            depth: numbers.2,
            claim_key,
        }
    })
}

fn place() -> CallLocation {
    CallLocation {
        service: ServiceName::try_from("orders").unwrap(),
        endpoint: "/a".to_owned(),
    }
}

proptest! {
    // Guards against a field of the attempt context that is lost or changed between two nodes.
    #[test]
    fn context_survives_headers(context in contexts()) {
        let now = TickTime::from_millis(1_000);
        let mut headers = HeaderMap::new();
        encode_context(&mut headers, &context, now);
        prop_assert_eq!(decode_context(&headers, place(), now).unwrap(), context);
    }

    // Guards against a receiver that has more time left than the sender when their clocks differ.
    #[test]
    fn deadline_never_grows(context in contexts(), passed_ms in 0..700_000_u64) {
        let mut headers = HeaderMap::new();
        let sent_at = TickTime::from_millis(1_000 + passed_ms);
        encode_context(&mut headers, &context, sent_at);
        let received_at = TickTime::from_millis(7);
        let decoded = decode_context(&headers, place(), received_at).unwrap();
        let time_left = context.deadline.saturating_since(sent_at);
        prop_assert!(decoded.deadline.saturating_since(received_at) <= time_left);
    }

    // Guards against a panic or an accepted attempt when any header is repeated or replaced by an arbitrary value.
    #[test]
    fn context_rejects_changed_headers(
        context in contexts(),
        position in 0..9_usize,
        value in "[ -~]{0,40}",
        is_repeated: bool,
    ) {
        let now = TickTime::from_millis(1_000);
        let mut headers = HeaderMap::new();
        encode_context(&mut headers, &context, now);
        headers.remove("idempotency-key");
        let name: HeaderName = headers.keys().nth(position).unwrap().clone();
        let value = HeaderValue::from_str(&value).unwrap();
        if is_repeated {
            headers.append(name, value);
            prop_assert!(decode_context(&headers, place(), now).is_err());
        } else {
            headers.insert(name.clone(), value.clone());
            if let Ok(decoded) = decode_context(&headers, place(), now) {
                let mut encoded = HeaderMap::new();
                encode_context(&mut encoded, &decoded, now);
                let reencoded = encoded[&name].to_str().unwrap().trim_start_matches('0').to_lowercase();
                let given = value.to_str().unwrap().trim_start_matches('0').to_lowercase();
                let is_same_uuid = Uuid::try_parse(&given).is_ok();
                prop_assert!(reencoded == given || is_same_uuid, "{name}: {reencoded} {given}");
            }
        }
    }

    // Guards against a field of the answer report that is lost or changed between two nodes.
    #[test]
    fn report_survives_headers(
        outcome in 0..3_usize,
        reason in proptest::option::of(0..RefusalReason::ALL.len()),
        unspent: u8,
        level: Option<u16>,
        wait_ms in proptest::option::of(0..100_000_u64),
        leaving: bool,
    ) {
        let outcomes = [AttemptOutcome::Ran, AttemptOutcome::NotRun, AttemptOutcome::Unknown];
        let report = AnswerReport {
            outcome: outcomes[outcome],
            reason: reason.map(|position| RefusalReason::ALL[position]),
            unspent,
            load: LoadReport {
                is_nested: false,
                level: level.map(RequestPriority::from_raw),
                queue_wait: wait_ms.map(Duration::from_millis),
                leaving,
            },
        };
        let mut headers = HeaderMap::new();
        encode_report(&mut headers, &report);
        prop_assert_eq!(decode_report(&headers), Some(report));
    }

    // Guards against forwarding a hop-by-hop header or an internal `ebj-` header.
    #[test]
    fn strip_removes_named_headers(names in proptest::collection::vec("[a-z]{1,12}", 0..6)) {
        let mut headers = HeaderMap::new();
        headers.insert("connection", names.join(" , ").parse().unwrap());
        headers.insert("ebj-anything", HeaderValue::from_static("1"));
        headers.insert("transfer-encoding", HeaderValue::from_static("chunked"));
        headers.insert("x-kept-9", HeaderValue::from_static("1"));
        for name in &names {
            headers.insert(HeaderName::try_from(name).unwrap(), HeaderValue::from_static("1"));
        }
        strip_headers(&mut headers);
        prop_assert_eq!(headers.len(), 1);
        prop_assert!(headers.contains_key("x-kept-9"));
    }

    // Guards against a path that is granted in one form and interpreted by the target in another.
    #[test]
    fn path_has_one_spelling(raw in "/orders[a-z/.%0-9\\\\]{0,20}") {
        let Ok(uri) = Uri::try_from(raw.as_str()) else { return Ok(()); };
        if let Ok(path) = ServicePath::parse(&uri) {
            prop_assert!(path.path.starts_with('/'));
            let has_dots = path.path.split('/').any(|part| part == "." || part == "..");
            prop_assert!(!has_dots && !path.path.contains("//") && !path.path.contains('\\'));
            let decoded: Vec<&str> = path.path.split('%').skip(1).collect();
            for code in decoded {
                let byte = u8::from_str_radix(&code[..2], 16).unwrap();
                prop_assert!(!byte.is_ascii_alphanumeric() && !b"./%-_~".contains(&byte));
            }
        }
    }
}

// Guards against taking an answer that does not come from a node for an answer report.
#[test]
fn report_requires_outcome() {
    assert_eq!(decode_report(&HeaderMap::new()), None);
    let mut headers = HeaderMap::new();
    headers.insert("ebj-outcome", HeaderValue::from_static("perhaps"));
    let report = decode_report(&headers).unwrap();
    assert_eq!(report.outcome, AttemptOutcome::Unknown);
    assert_eq!(report.unspent, 0);
}

// Guards against a Retry-After header that is rounded down, so that the caller retries too early.
#[test]
fn refusal_rounds_retry_after_up() {
    let id = RequestId::from_uuid(Uuid::nil());
    for (millis, expected) in [(1, "1"), (1_000, "1"), (1_001, "2"), (0, "1")] {
        let refusal = Refusal::not_run(RefusalReason::PlanRate, "rate");
        let refusal = refusal.with_retry_after(Duration::from_millis(millis));
        let response = refusal.into_response(id);
        assert_eq!(response.status(), 429);
        assert_eq!(response.headers()["retry-after"], expected);
    }
}

// Guards against a decision log that grows without bound, mixes requests, or breaks its line format.
#[test]
fn decision_log_is_bounded() {
    let log = DecisionLog::new();
    let id = |number: u128| RequestId::from_uuid(Uuid::from_u128(number));
    for number in 0..=KEPT_REQUESTS as u128 {
        for _ in 0..2 {
            log.record(
                id(number),
                "route",
                &[("detail", &"two words"), ("empty", &"")],
            );
        }
    }
    assert!(log.explain(id(0)).is_empty());
    let lines = log.explain(id(1));
    assert_eq!(lines.len(), 2);
    assert_eq!(
        lines[0],
        format!(
            "event=route request_id={} detail=\"two words\" empty=\"\"",
            id(1)
        )
    );
    for _ in 0..1_000 {
        log.record(id(1), "route", &[]);
    }
    assert!(log.explain(id(1)).len() <= 64);
}
