//! Framing of client requests, with split, pipelined and malformed input.

use ebonyjunction::gateway::{FramedRequest, FramingError, RequestFramer};

const HEAD_BYTES: usize = 1_024;
const BODY_BYTES: u64 = 64;

fn frame(input: &[u8]) -> Result<Vec<FramedRequest>, FramingError> {
    let mut framer = RequestFramer::new(HEAD_BYTES, BODY_BYTES);
    framer.buffer_mut().extend_from_slice(input);
    read_requests(&mut framer)
}

fn read_requests(framer: &mut RequestFramer) -> Result<Vec<FramedRequest>, FramingError> {
    let mut requests = Vec::new();
    while let Some(request) = framer.next_request()? {
        requests.push(request);
    }
    Ok(requests)
}

// Guards against pipelined requests that are not read until the first one is answered.
#[test]
fn next_request_pipelined() {
    let input = b"GET /a?x=1 HTTP/1.1\r\nHost: h\r\n\r\nPOST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabcGET /c HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
    let requests = frame(input).unwrap();
    let targets: Vec<&str> = requests.iter().map(|it| it.target.as_str()).collect();
    assert_eq!(targets, ["/a?x=1", "/b", "/c"]);
    assert_eq!(requests[1].body, "abc");
    assert!(requests[0].keeps_alive && !requests[2].keeps_alive);
}

// Guards against framing that depends on how the network split the bytes.
#[test]
fn next_request_byte_by_byte() {
    let input = b"PUT /b HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3;x=y\r\nabc\r\n2\r\nde\r\n0\r\nT: v\r\n\r\nGET /c HTTP/1.1\r\nHost: h\r\n\r\n";
    let mut framer = RequestFramer::new(HEAD_BYTES, BODY_BYTES);
    let mut requests = Vec::new();
    for byte in input {
        framer.buffer_mut().extend_from_slice(&[*byte]);
        requests.extend(read_requests(&mut framer).unwrap());
    }
    assert_eq!(requests.len(), 2);
    assert_eq!(requests[0].body, "abcde");
    assert_eq!(requests[1].target, "/c");
    assert!(!framer.is_mid_request());
}

// Guards against request smuggling by contradictory or unusual lengths of one body.
#[test]
fn next_request_ambiguous_length() {
    for headers in [
        "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
        "Content-Length: 3\r\nContent-Length: 4\r\n",
        "Content-Length: +3\r\n",
        "Content-Length: 3, 3\r\n",
        "Transfer-Encoding: gzip, chunked\r\n",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
    ] {
        let input = format!("POST / HTTP/1.1\r\nHost: h\r\n{headers}\r\nabc");
        let error = frame(input.as_bytes()).unwrap_err();
        assert_eq!(error, FramingError::BadLength, "{headers:?}");
    }
}

// Guards against malformed input that is accepted as a request or ends the task of its connection.
#[test]
fn next_request_malformed() {
    for input in [
        "GET\r\n\r\n",
        "GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n",
        "GET http://h/ HTTP/1.1\r\nHost: h\r\n\r\n",
        "GET / HTTP/1.1\r\n: x\r\n\r\n",
        "\u{1}\r\n\r\n",
    ] {
        let error = frame(input.as_bytes()).unwrap_err();
        assert_eq!(error, FramingError::Malformed, "{input:?}");
    }
    let chunk = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n";
    assert_eq!(
        frame(chunk.as_bytes()).unwrap_err(),
        FramingError::BadLength
    );
    let overrun = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nabcd";
    assert_eq!(
        frame(overrun.as_bytes()).unwrap_err(),
        FramingError::BadLength
    );
}

// Guards against a client that can fill memory without bound.
#[test]
fn next_request_beyond_bounds() {
    let head = format!(
        "GET / HTTP/1.1\r\nHost: h\r\nX: {}\r\n\r\n",
        "x".repeat(2_000)
    );
    assert_eq!(
        frame(head.as_bytes()).unwrap_err(),
        FramingError::HeadTooLarge
    );
    let endless = "x".repeat(HEAD_BYTES + 1);
    let endless = format!("GET /{endless}");
    assert_eq!(
        frame(endless.as_bytes()).unwrap_err(),
        FramingError::HeadTooLarge
    );
    let body = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 65\r\n\r\n";
    assert_eq!(
        frame(body.as_bytes()).unwrap_err(),
        FramingError::BodyTooLarge
    );
    let chunks = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n41\r\n";
    assert_eq!(
        frame(chunks.as_bytes()).unwrap_err(),
        FramingError::BodyTooLarge
    );
}

// Guards against a client that waits for the interim answer to `Expect: 100-continue` and never gets it.
#[test]
fn take_wants_continue_once() {
    let mut framer = RequestFramer::new(HEAD_BYTES, BODY_BYTES);
    let head = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nExpect: 100-continue\r\n\r\n";
    framer.buffer_mut().extend_from_slice(head);
    assert!(framer.next_request().unwrap().is_none());
    assert!(framer.take_wants_continue());
    assert!(!framer.take_wants_continue());
    framer.buffer_mut().extend_from_slice(b"abc");
    assert_eq!(framer.next_request().unwrap().unwrap().body, "abc");
}

// Guards against a connection that keeps the limits of an earlier configuration, and against a body in flight that is
// rejected because the limit was lowered meanwhile.
#[test]
fn set_limits_applies_to_next_request() {
    let post = |body: &str| {
        let length = body.len();
        format!("POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: {length}\r\n\r\n{body}")
    };
    let long = post(&"x".repeat(100));
    let mut framer = RequestFramer::new(HEAD_BYTES, BODY_BYTES);
    framer.set_limits(HEAD_BYTES, 200);
    let (first, rest) = long.as_bytes().split_at(long.len() - 10);
    framer.buffer_mut().extend_from_slice(first);
    assert!(framer.next_request().unwrap().is_none());
    framer.set_limits(HEAD_BYTES, 50);
    framer.buffer_mut().extend_from_slice(rest);
    assert_eq!(framer.next_request().unwrap().unwrap().body.len(), 100);
    framer.set_limits(HEAD_BYTES, 50);
    framer.buffer_mut().extend_from_slice(long.as_bytes());
    assert_eq!(
        framer.next_request().unwrap_err(),
        FramingError::BodyTooLarge
    );
}
