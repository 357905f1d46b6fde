//! Reading of complete bodies, within a limit for each body and the shared memory pool.

use bytes::Bytes;
use displaydoc::Display;
use http_body_util::BodyExt;
use hyper::body::Incoming;

use super::body_buffer::BodyBuffer;
use super::memory::MemoryPool;

/// Reason why a body could not be read completely.
#[derive(Debug, Display)]
pub(super) enum BodyFailure {
    /// the body is larger than {0} bytes
    TooLarge(usize),
    /// the bodies in flight take all memory that is set aside for them
    NoMemory,
    /// the body broke off: {0}
    Broken(hyper::Error),
}

/// Reads a complete body. Its memory returns to the pool when the last clone of the result is dropped.
pub(super) async fn read_whole(
    mut body: Incoming,
    max_bytes: usize,
    pool: &MemoryPool,
) -> Result<Bytes, BodyFailure> {
    let mut share = pool.share();
    let mut first = Bytes::new();
    let mut rest = BodyBuffer::default();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(BodyFailure::Broken)?;
        // Trailers are not forwarded.
        let Ok(data) = frame.into_data() else {
            continue;
        };
        let length = first.len() + rest.len() + data.len();
        if length > max_bytes {
            return Err(BodyFailure::TooLarge(max_bytes));
        }
        if !share.resize(length) {
            return Err(BodyFailure::NoMemory);
        }
        // Most bodies come in one frame, which needs no copy.
        if first.is_empty() && rest.len() == 0 {
            first = data;
        } else {
            rest.push(&std::mem::take(&mut first));
            rest.push(&data);
        }
    }
    let body = if rest.len() == 0 { first } else { rest.join() };
    Ok(share.attach(body))
}
