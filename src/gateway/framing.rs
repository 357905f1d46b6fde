//! Incremental parsing of HTTP/1.1 requests, so that pipelined requests are read while earlier ones run.

use bytes::{Buf, Bytes, BytesMut};

use displaydoc::Display;
use http::header::{
    CONNECTION, CONTENT_LENGTH, EXPECT, HOST, HeaderMap, HeaderName, HeaderValue, TRANSFER_ENCODING,
};
use http::{Method, StatusCode};

use super::body_buffer::BodyBuffer;

const MAX_HEADERS: usize = 100;
/// Maximum size of a chunk-size line including its extensions.
const MAX_CHUNK_LINE_BYTES: usize = 256;
/// Maximum number of buffered trailer bytes without a line end.
const MAX_TRAILER_BYTES: usize = 8 * 1024;

/// Complete client request.
#[derive(Debug, Clone)]
pub struct FramedRequest {
    /// HTTP method.
    pub method: Method,
    /// Path and query as sent.
    pub target: String,
    /// Value of the Host header, or empty.
    pub host: String,
    /// All headers as sent.
    pub headers: HeaderMap,
    /// Complete body with the transfer coding removed.
    pub body: Bytes,
    /// Whether the client allows the connection to stay open.
    pub keeps_alive: bool,
}

/// Error in the bytes received from a client.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum FramingError {
    /// malformed request line or header
    Malformed,
    /// request head too large
    HeadTooLarge,
    /// request body too large
    BodyTooLarge,
    /// ambiguous or unsupported body length
    BadLength,
}

impl FramingError {
    /// Returns the status for the client.
    pub const fn status(self) -> StatusCode {
        match self {
            Self::Malformed | Self::BadLength => StatusCode::BAD_REQUEST,
            Self::HeadTooLarge => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        }
    }
}

#[derive(Debug)]
struct RequestHead {
    method: Method,
    target: String,
    headers: HeaderMap,
    keeps_alive: bool,
    length: BodyLength,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum BodyLength {
    Known(usize),
    Chunked,
}

#[derive(Debug)]
struct PartialRequest {
    head: RequestHead,
    body: BodyBuffer,
    // Remaining bytes of the current chunk including its line end; `None` before a chunk-size line.
    chunk_remaining: Option<usize>,
    in_trailers: bool,
    wants_continue: bool,
}

/// Splits the bytes of a connection into requests.
#[derive(Debug)]
pub struct RequestFramer {
    buffer: BytesMut,
    partial: Option<PartialRequest>,
    max_head_bytes: usize,
    max_body_bytes: u64,
}

impl RequestFramer {
    /// Creates a framer with limits in bytes on heads and bodies.
    pub fn new(max_head_bytes: usize, max_body_bytes: u64) -> Self {
        Self {
            buffer: BytesMut::new(),
            partial: None,
            max_head_bytes,
            max_body_bytes,
        }
    }

    /// Sets the limits on requests whose head has not been read yet.
    pub fn set_limits(&mut self, max_head_bytes: usize, max_body_bytes: u64) {
        if self.partial.is_none() {
            self.max_head_bytes = max_head_bytes;
            self.max_body_bytes = max_body_bytes;
        }
    }

    /// Returns the buffer that received bytes are appended to.
    pub fn buffer_mut(&mut self) -> &mut BytesMut {
        &mut self.buffer
    }

    /// Returns whether a request has been partially received.
    pub fn is_mid_request(&self) -> bool {
        self.partial.is_some() || !self.buffer.is_empty()
    }

    /// Returns whether the head of the next request has been partially received.
    pub fn is_mid_head(&self) -> bool {
        self.partial.is_none() && !self.buffer.is_empty()
    }

    /// Returns the number of buffered bytes, including the body of the partially received request.
    pub fn held_bytes(&self) -> usize {
        let body = self.partial.as_ref().map(|partial| partial.body.len());
        self.buffer.len() + body.unwrap_or(0)
    }

    /// Discards all buffered bytes and the partially received request.
    pub fn clear(&mut self) {
        self.buffer = BytesMut::new();
        self.partial = None;
    }

    /// Returns whether the client waits for `100 Continue` before it sends the body, and clears that flag.
    pub fn take_wants_continue(&mut self) -> bool {
        let partial = self.partial.as_mut();
        partial.is_some_and(|partial| std::mem::take(&mut partial.wants_continue))
    }

    /// Returns the next complete request.
    pub fn next_request(&mut self) -> Result<Option<FramedRequest>, FramingError> {
        if self.partial.is_none() {
            self.partial = self.read_head()?;
        }
        let Some(mut partial) = self.partial.take() else {
            return Ok(None);
        };
        let is_complete = match partial.head.length {
            BodyLength::Known(length) => self.read_known(&mut partial, length),
            BodyLength::Chunked => self.read_chunks(&mut partial)?,
        };
        if !is_complete {
            self.partial = Some(partial);
            return Ok(None);
        }
        Ok(Some(partial.into_request()))
    }

    fn read_head(&mut self) -> Result<Option<PartialRequest>, FramingError> {
        self.skip_blank_lines();
        if self.buffer.is_empty() {
            return Ok(None);
        }
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut parsed = httparse::Request::new(&mut headers);
        let status = parsed.parse(&self.buffer).map_err(|error| match error {
            httparse::Error::TooManyHeaders => FramingError::HeadTooLarge,
            _ => FramingError::Malformed,
        })?;
        let httparse::Status::Complete(length) = status else {
            let is_too_large = self.buffer.len() > self.max_head_bytes;
            return if is_too_large {
                Err(FramingError::HeadTooLarge)
            } else {
                Ok(None)
            };
        };
        if length > self.max_head_bytes {
            return Err(FramingError::HeadTooLarge);
        }
        let head = convert_head(&parsed)?;
        self.buffer.advance(length);
        if let BodyLength::Known(length) = head.length
            && length as u64 > self.max_body_bytes
        {
            return Err(FramingError::BodyTooLarge);
        }
        let expects = head.headers.get(EXPECT);
        let wants_continue =
            expects.is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"100-continue"));
        Ok(Some(PartialRequest {
            head,
            body: BodyBuffer::default(),
            chunk_remaining: None,
            in_trailers: false,
            wants_continue,
        }))
    }

    // Some clients send an additional line end after the body of the previous request.
    fn skip_blank_lines(&mut self) {
        while matches!(self.buffer.first(), Some(b'\r' | b'\n')) {
            self.buffer.advance(1);
        }
    }

    fn read_known(&mut self, partial: &mut PartialRequest, length: usize) -> bool {
        let missing = length - partial.body.len();
        let taken = missing.min(self.buffer.len());
        partial.body.push(&self.buffer[..taken]);
        self.buffer.advance(taken);
        partial.body.len() == length
    }

    fn read_chunks(&mut self, partial: &mut PartialRequest) -> Result<bool, FramingError> {
        loop {
            if partial.in_trailers {
                return self.skip_trailers(partial);
            }
            match partial.chunk_remaining {
                None => {
                    if !self.read_chunk_size(partial)? {
                        return Ok(false);
                    }
                }
                Some(left) => {
                    if !self.read_chunk_data(partial, left)? {
                        return Ok(false);
                    }
                }
            }
        }
    }

    fn read_chunk_size(&mut self, partial: &mut PartialRequest) -> Result<bool, FramingError> {
        let parsed = httparse::parse_chunk_size(&self.buffer);
        let (line, size) = match parsed.map_err(|_| FramingError::BadLength)? {
            httparse::Status::Complete(found) => found,
            httparse::Status::Partial if self.buffer.len() > MAX_CHUNK_LINE_BYTES => {
                return Err(FramingError::BadLength);
            }
            httparse::Status::Partial => return Ok(false),
        };
        self.buffer.advance(line);
        let total = size.saturating_add(partial.body.len() as u64);
        if total > self.max_body_bytes {
            return Err(FramingError::BodyTooLarge);
        }
        if size == 0 {
            partial.in_trailers = true;
        } else {
            partial.chunk_remaining = Some(size as usize + b"\r\n".len());
        }
        Ok(true)
    }

    fn read_chunk_data(
        &mut self,
        partial: &mut PartialRequest,
        left: usize,
    ) -> Result<bool, FramingError> {
        let line_end = b"\r\n".len();
        let data = left.saturating_sub(line_end).min(self.buffer.len());
        partial.body.push(&self.buffer[..data]);
        self.buffer.advance(data);
        let left = left - data;
        partial.chunk_remaining = Some(left);
        if left > line_end || self.buffer.len() < line_end {
            return Ok(false);
        }
        if &self.buffer[..line_end] != b"\r\n" {
            return Err(FramingError::BadLength);
        }
        self.buffer.advance(line_end);
        partial.chunk_remaining = None;
        Ok(true)
    }

    fn skip_trailers(&mut self, partial: &mut PartialRequest) -> Result<bool, FramingError> {
        loop {
            let end = self.buffer.windows(2).position(|pair| pair == b"\r\n");
            let Some(end) = end else {
                return if self.buffer.len() > MAX_TRAILER_BYTES {
                    Err(FramingError::HeadTooLarge)
                } else {
                    Ok(false)
                };
            };
            self.buffer.advance(end + 2);
            if end == 0 {
                partial.in_trailers = false;
                return Ok(true);
            }
        }
    }
}

impl PartialRequest {
    fn into_request(self) -> FramedRequest {
        let host = self.head.headers.get(HOST);
        let host = host.and_then(|value| value.to_str().ok());
        FramedRequest {
            host: host.unwrap_or_default().to_owned(),
            method: self.head.method,
            target: self.head.target,
            headers: self.head.headers,
            body: self.body.join(),
            keeps_alive: self.head.keeps_alive,
        }
    }
}

fn convert_head(parsed: &httparse::Request<'_, '_>) -> Result<RequestHead, FramingError> {
    let method = parsed.method.unwrap_or_default();
    let method = Method::from_bytes(method.as_bytes()).map_err(|_| FramingError::Malformed)?;
    let target = parsed.path.unwrap_or_default().to_owned();
    let mut headers = HeaderMap::with_capacity(parsed.headers.len());
    for header in parsed.headers.iter() {
        let name = HeaderName::from_bytes(header.name.as_bytes());
        let value = HeaderValue::from_bytes(header.value);
        let (Ok(name), Ok(value)) = (name, value) else {
            return Err(FramingError::Malformed);
        };
        headers.append(name, value);
    }
    let is_http_1_1 = parsed.version == Some(1);
    if headers.get_all(HOST).iter().count() > 1 || !target.starts_with('/') {
        return Err(FramingError::Malformed);
    }
    Ok(RequestHead {
        method,
        target,
        keeps_alive: keeps_alive(&headers, is_http_1_1),
        length: body_length(&headers)?,
        headers,
    })
}

fn keeps_alive(headers: &HeaderMap, is_http_1_1: bool) -> bool {
    let has_token = |token: &str| {
        let values = headers.get_all(CONNECTION).iter();
        let mut words = values.filter_map(|value| value.to_str().ok());
        words.any(|words| {
            let mut words = words.split(',');
            words.any(|word| word.trim().eq_ignore_ascii_case(token))
        })
    };
    if is_http_1_1 {
        !has_token("close")
    } else {
        has_token("keep-alive")
    }
}

/// Returns how the body is delimited. More than one length or coding header is rejected, because the target might interpret
/// them differently (request smuggling).
fn body_length(headers: &HeaderMap) -> Result<BodyLength, FramingError> {
    let mut codings = headers.get_all(TRANSFER_ENCODING).iter();
    let mut lengths = headers.get_all(CONTENT_LENGTH).iter();
    match (codings.next(), lengths.next()) {
        (None, None) => Ok(BodyLength::Known(0)),
        (Some(coding), None) if codings.next().is_none() => {
            if coding.as_bytes().eq_ignore_ascii_case(b"chunked") {
                Ok(BodyLength::Chunked)
            } else {
                Err(FramingError::BadLength)
            }
        }
        (None, Some(length)) if lengths.next().is_none() => {
            let text = length.to_str().unwrap_or_default();
            let is_number = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
            let length = text.parse().ok().filter(|_| is_number);
            length.map(BodyLength::Known).ok_or(FramingError::BadLength)
        }
        _ => Err(FramingError::BadLength),
    }
}
