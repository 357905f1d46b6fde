//! Message bodies: small bodies are buffered, large bodies are streamed.

use std::collections::VecDeque;
use std::fmt;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Either, Full};
use hyper::body::Incoming;

use crate::error::MeshError;

/// Body of any message that a node sends.
pub type ProxyBody = Either<Full<Bytes>, UnsyncBoxBody<Bytes, MeshError>>;

/// Is notified of the end of a streamed body; a drop without `finish` means that the reader disconnected.
pub(crate) trait StreamWatcher: Send + fmt::Debug {
    /// Ends the exchange; `complete` tells whether every byte arrived.
    fn finish(self: Box<Self>, complete: bool);
}

/// Body of a message that was received.
#[derive(Debug)]
pub(crate) enum ReceivedBody {
    /// The complete body.
    Buffered(Bytes),
    /// A body above the buffer limit, with the part that has already been read.
    Streamed(StreamedBody),
}

/// Why a body could not be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ReadFailure {
    /// The body is larger than the configured limit.
    TooLarge,
    /// The body is incomplete or malformed.
    Broken,
}

/// Size limits of a body.
#[derive(Debug, Clone, Copy)]
pub(crate) struct BodyBounds {
    /// Size of the largest body that is buffered.
    pub(crate) max_buffered_bytes: usize,
    /// Size of the largest body that is accepted.
    pub(crate) max_bytes: u64,
}

/// Wraps a complete body.
pub(crate) fn full_body(bytes: Bytes) -> ProxyBody {
    Either::Left(Full::new(bytes))
}

/// Buffers a body up to `max_buffered_bytes`; a larger body is returned to be streamed.
pub(crate) async fn read_body(
    mut incoming: Incoming,
    bounds: BodyBounds,
) -> Result<ReceivedBody, ReadFailure> {
    let length = incoming.size_hint().exact();
    if length.is_some_and(|length| length > bounds.max_bytes) {
        return Err(ReadFailure::TooLarge);
    }
    let mut parts = VecDeque::new();
    let mut read_bytes = 0;
    let is_large = length.is_some_and(|length| length > bounds.max_buffered_bytes as u64);
    while !is_large && read_bytes <= bounds.max_buffered_bytes {
        let Some(frame) = incoming.frame().await else {
            return Ok(ReceivedBody::Buffered(concat_parts(parts, read_bytes)));
        };
        let frame = frame.map_err(|_| ReadFailure::Broken)?;
        // Trailers are dropped because they belong to the framing of this hop.
        let Ok(data) = frame.into_data() else {
            continue;
        };
        read_bytes += data.len();
        parts.push_back(data);
    }
    if read_bytes as u64 > bounds.max_bytes {
        return Err(ReadFailure::TooLarge);
    }
    Ok(ReceivedBody::Streamed(StreamedBody {
        parts,
        incoming,
        remaining_bytes: length,
        allowed_bytes: bounds.max_bytes,
        watcher: None,
    }))
}

fn concat_parts(mut parts: VecDeque<Bytes>, length: usize) -> Bytes {
    if parts.len() <= 1 {
        return parts.pop_front().unwrap_or_default();
    }
    let mut joined = Vec::with_capacity(length);
    for part in parts {
        joined.extend_from_slice(&part);
    }
    joined.into()
}

/// Streamed body. An incomplete body ends with an error, so that the connection to the receiver is aborted.
#[derive(Debug)]
pub(crate) struct StreamedBody {
    parts: VecDeque<Bytes>,
    incoming: Incoming,
    // Bytes still to be sent, if the length is known.
    remaining_bytes: Option<u64>,
    // Bytes that may still be sent under the size limit.
    allowed_bytes: u64,
    watcher: Option<Box<dyn StreamWatcher>>,
}

impl StreamedBody {
    /// Sets the watcher that is notified of the end of the body.
    pub(crate) fn watched_by(mut self, watcher: Box<dyn StreamWatcher>) -> Self {
        self.watcher = Some(watcher);
        self
    }

    /// Converts to the body of a message that the node sends.
    pub(crate) fn into_proxy_body(self) -> ProxyBody {
        Either::Right(self.boxed_unsync())
    }

    fn finish(&mut self, complete: bool) {
        if let Some(watcher) = self.watcher.take() {
            watcher.finish(complete);
        }
    }

    fn take_data(&mut self, data: Bytes) -> Result<Frame<Bytes>, MeshError> {
        let length = data.len() as u64;
        let Some(allowed_bytes) = self.allowed_bytes.checked_sub(length) else {
            self.finish(false);
            return Err(MeshError::Http("the body exceeds its bound".to_owned()));
        };
        self.allowed_bytes = allowed_bytes;
        if let Some(remaining_bytes) = &mut self.remaining_bytes {
            *remaining_bytes = remaining_bytes.saturating_sub(length);
            // The writer stops polling once it has received the announced length, so the end is reported here.
            if *remaining_bytes == 0 {
                self.finish(true);
            }
        }
        Ok(Frame::data(data))
    }
}

impl Body for StreamedBody {
    type Data = Bytes;
    type Error = MeshError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, MeshError>>> {
        if let Some(data) = self.parts.pop_front() {
            return Poll::Ready(Some(self.take_data(data)));
        }
        loop {
            let frame = ready!(Pin::new(&mut self.incoming).poll_frame(context));
            match frame {
                None => {
                    self.finish(true);
                    return Poll::Ready(None);
                }
                Some(Err(error)) => {
                    self.finish(false);
                    return Poll::Ready(Some(Err(MeshError::Http(error.to_string()))));
                }
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        return Poll::Ready(Some(self.take_data(data)));
                    }
                }
            }
        }
    }

    fn size_hint(&self) -> SizeHint {
        self.remaining_bytes
            .map_or_else(SizeHint::default, SizeHint::with_exact)
    }
}
