//! Client connections: pipelined requests are read ahead, run concurrently and answered in order.

use std::collections::VecDeque;
use std::fmt::Write;
use std::io;
use std::pin::pin;
use std::sync::Arc;
use std::task::{Context, Poll, Waker};
use std::time::{Duration, Instant};

use bytes::BytesMut;
use http::header::{CONNECTION, CONTENT_LENGTH};
use http::{Method, StatusCode};
use tokio::io::{AsyncReadExt, AsyncWriteExt, Interest};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinError;
use tokio::time::{sleep, sleep_until, timeout, timeout_at};
use tokio_util::task::AbortOnDropHandle;

use super::answer::Answer;
use super::entry::{EntryRequest, serve};
use super::exchange::refusal;
use super::framing::{FramedRequest, RequestFramer};
use super::memory::MemoryShare;
use super::state::GatewayState;
use crate::types::RefusalReason;

/// Maximum number of unanswered requests of one connection.
const MAX_PIPELINED: usize = 32;
const READ_BYTES: usize = 16 * 1024;
/// Read buffer of an idle connection, large enough for a typical request head. Thousands of connections are idle at a
/// time, and each keeps its buffer.
const IDLE_READ_BYTES: usize = 2 * 1024;
/// Minimum rate in bytes per second at which a body must arrive once the idle timeout has passed. Without it a slow client
/// could occupy memory indefinitely.
const MIN_BODY_BYTES_PER_S: f64 = 1_024.0;
/// Time for the first request to arrive on a connection that was opened while the process stops.
pub(super) const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(300);
/// Time for which connections are still accepted after clients are no longer sent to this node. The kernel resets
/// connections that have not been accepted when the listener closes.
pub(super) const LAST_ACCEPT_TIME: Duration = Duration::from_millis(100);
/// Time limit for writing an answer. The connection is closed after it, so that the answer does not stay in memory.
const WRITE_TIMEOUT: Duration = Duration::from_secs(20);
/// Margin after the idle timeout before a connection is closed. Clients keep to the timeout themselves.
const IDLE_MARGIN: Duration = Duration::from_secs(1);
/// Time for which input is drained after the final answer. Closing a socket with unread bytes resets the connection, and
/// the client could lose the answer.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(500);
/// Largest body that is copied into one buffer with its head to save a write. For larger bodies the copy is not worth its
/// memory.
const MAX_JOINED_BYTES: usize = 32 * 1024;
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Interval at which a connection with unread input is checked for its end.
const CLOSE_POLL_TIME: Duration = Duration::from_millis(50);

/// Accepts connections until the process stops.
pub(super) async fn serve_clients(state: Arc<GatewayState>, listener: TcpListener) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = state.closing_clients.cancelled() => break,
        };
        match accepted {
            Ok((stream, _)) => {
                let connection = ClientConnection::new(&state, stream);
                state.tasks.spawn(connection.run());
            }
            Err(error) => {
                log::warn!("event=accept_failed listener=client error={error:?}");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
    let last = Instant::now() + LAST_ACCEPT_TIME;
    while let Ok(Ok((stream, _))) = timeout_at(last.into(), listener.accept()).await {
        let connection = ClientConnection::new(&state, stream);
        state.tasks.spawn(connection.run());
    }
    if let Err(error) = accept_remaining(&state, listener) {
        log::warn!("event=accept_failed listener=client error={error:?}");
    }
}

/// Accepts the connections that the kernel has completed but the runtime has not reported yet, right before the listener
/// closes.
fn accept_remaining(state: &Arc<GatewayState>, listener: TcpListener) -> io::Result<()> {
    let listener = listener.into_std()?;
    loop {
        match listener.accept() {
            Ok((stream, _)) => {
                stream.set_nonblocking(true)?;
                let connection = ClientConnection::new(state, TcpStream::from_std(stream)?);
                state.tasks.spawn(connection.run());
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(()),
            Err(error) => return Err(error),
        }
    }
}

#[derive(Debug)]
struct PendingAnswer {
    task: AbortOnDropHandle<Answer>,
    is_head: bool,
    keeps_alive: bool,
}

#[derive(Debug)]
struct ClientConnection {
    state: Arc<GatewayState>,
    stream: TcpStream,
    framer: RequestFramer,
    pending: VecDeque<PendingAnswer>,
    /// Request with an unsafe method that starts once all earlier requests are answered.
    deferred: Option<FramedRequest>,
    /// Whether no further request is read.
    is_last: bool,
    /// Whether the connection ends after the next request.
    ends_after_next: bool,
    /// Whether no complete request has arrived yet.
    awaits_first_request: bool,
    /// Memory reserved for the partially received request.
    share: MemoryShare,
    /// Time of the last read or the last answer.
    last_activity_at: Instant,
    /// Time from which the partially received request could be read.
    request_began_at: Instant,
}

#[derive(Debug)]
enum ConnectionEvent {
    Read(usize),
    /// The client has closed the connection or its sending side, or reset the connection.
    Left,
    Answered(Answer),
    Idle,
    Closing,
}

impl ClientConnection {
    fn new(state: &Arc<GatewayState>, stream: TcpStream) -> Self {
        let book = state.book();
        let limits = book.limits();
        Self {
            state: Arc::clone(state),
            stream,
            framer: RequestFramer::new(limits.header_bytes, limits.body_bytes),
            pending: VecDeque::new(),
            deferred: None,
            is_last: false,
            ends_after_next: false,
            awaits_first_request: true,
            share: state.memory.share(),
            last_activity_at: Instant::now(),
            request_began_at: Instant::now(),
        }
    }

    async fn run(mut self) {
        if let Err(error) = self.stream.set_nodelay(true) {
            log::debug!("event=nodelay_failed listener=client error={error:?}");
        }
        // Dropping the connection aborts the requests that are still running for it.
        if let Err(error) = self.serve().await {
            let open = self.pending.len();
            log::debug!("event=client_gone open={open} error={error:?}");
        }
    }

    async fn serve(&mut self) -> io::Result<()> {
        loop {
            // A request that is still deferred was not started; the client sends it again to another node.
            if self.is_last && self.pending.is_empty() {
                return self.close().await;
            }
            match self.next_event().await? {
                ConnectionEvent::Read(0) | ConnectionEvent::Left => {
                    return self.deliver_ready().await;
                }
                ConnectionEvent::Read(_) => {
                    // The requests may have waited here longer than their client has.
                    if has_closed(&self.stream) {
                        return self.deliver_ready().await;
                    }
                    self.last_activity_at = Instant::now();
                    if self.is_last {
                        // Further input is discarded; only the end of the connection matters.
                        self.framer.clear();
                    } else {
                        self.start_requests().await?;
                    }
                }
                ConnectionEvent::Answered(answer) => {
                    self.write_front(answer).await?;
                    if has_closed(&self.stream) {
                        return self.deliver_ready().await;
                    }
                    self.last_activity_at = Instant::now();
                    // The next request may have been left unread while answers were pending.
                    self.request_began_at = self.last_activity_at;
                    self.start_requests().await?;
                }
                ConnectionEvent::Idle => {
                    if self.ends_after_next && self.awaits_first_request {
                        let waited_ms = self.last_activity_at.elapsed().as_millis();
                        log::info!("event=closed_without_request waited_ms={waited_ms}");
                    }
                    return self.close_idle().await;
                }
                ConnectionEvent::Closing => {
                    self.ends_after_next = true;
                    // A connection that was just accepted may still deliver its first request.
                    let awaits_first = self.awaits_first_request || self.framer.is_mid_request();
                    self.is_last |= self.deferred.is_none() && !awaits_first;
                }
            }
        }
    }

    async fn next_event(&mut self) -> io::Result<ConnectionEvent> {
        let is_idle = self.pending.is_empty();
        let idle_deadline = self.idle_deadline();
        let can_read = self.pending.len() < MAX_PIPELINED && self.deferred.is_none();
        let closing = self.state.closing_clients.clone();
        let is_closing = self.is_last || self.ends_after_next;
        let is_mid_request = self.framer.is_mid_request();
        let buffer = self.framer.buffer_mut();
        if is_mid_request {
            buffer.reserve(READ_BYTES);
        } else {
            if buffer.capacity() > READ_BYTES {
                *buffer = BytesMut::new();
            }
            buffer.reserve(IDLE_READ_BYTES);
        }
        let front = self.pending.front_mut();
        let answered = async {
            match front {
                Some(front) => (&mut front.task).await,
                None => std::future::pending().await,
            }
        };
        let stream = &mut self.stream;
        let input = async {
            if can_read {
                return stream.read_buf(buffer).await.map(ConnectionEvent::Read);
            }
            wait_for_close(stream).await;
            Ok(ConnectionEvent::Left)
        };
        tokio::select! {
            biased;
            answer = answered => {
                Ok(ConnectionEvent::Answered(answer_of(answer)))
            }
            event = input => event,
            () = sleep_until(idle_deadline.into()), if is_idle => Ok(ConnectionEvent::Idle),
            () = closing.cancelled(), if !is_closing => Ok(ConnectionEvent::Closing),
        }
    }

    /// Returns the time at which the connection is closed if no more input arrives.
    fn idle_deadline(&self) -> Instant {
        let book = self.state.book();
        let limits = book.limits();
        let idle_until = self.last_activity_at + limits.idle_timeout + IDLE_MARGIN;
        if self.framer.is_mid_head() {
            self.request_began_at + limits.header_timeout
        } else if self.framer.is_mid_request() {
            let allowance_s = self.framer.held_bytes() as f64 / MIN_BODY_BYTES_PER_S;
            let body_until =
                self.request_began_at + limits.idle_timeout + Duration::from_secs_f64(allowance_s);
            idle_until.min(body_until)
        } else if self.ends_after_next {
            self.last_activity_at + FIRST_REQUEST_TIMEOUT
        } else {
            idle_until
        }
    }

    /// Starts all requests that have arrived completely.
    async fn start_requests(&mut self) -> io::Result<()> {
        while !self.is_last && self.pending.len() < MAX_PIPELINED {
            let had_partial_request = !self.share.is_empty();
            // The limits may have changed since the connection was accepted.
            let book = self.state.book();
            let limits = book.limits();
            self.framer
                .set_limits(limits.header_bytes, limits.body_bytes);
            let next = match self.deferred.take() {
                Some(request) => Some(request),
                None => match self.framer.next_request() {
                    Ok(next) => next,
                    Err(error) => {
                        log::info!("event=request_malformed error={:?}", error.to_string());
                        self.state.metrics.count("refused.malformed");
                        self.answer_and_end(Answer::own(error.status(), "bad-request"));
                        return Ok(());
                    }
                },
            };
            let Some(mut request) = next else {
                if !had_partial_request {
                    self.request_began_at = Instant::now();
                }
                if !self.share.resize(self.framer.held_bytes()) {
                    self.refuse_for_memory();
                    return Ok(());
                }
                if self.framer.take_wants_continue() && self.pending.is_empty() {
                    self.write_small(b"HTTP/1.1 100 Continue\r\n\r\n").await?;
                }
                return Ok(());
            };
            self.awaits_first_request = false;
            if !self.take_memory(&mut request) {
                self.refuse_for_memory();
                return Ok(());
            }
            // Only requests with safe methods may start before the earlier requests are answered.
            if !request.method.is_safe() && !self.pending.is_empty() {
                self.deferred = Some(request);
                return Ok(());
            }
            self.start(request);
        }
        Ok(())
    }

    /// Moves the memory reservation of a request from the connection to its body. Returns false if there is no room.
    fn take_memory(&mut self, request: &mut FramedRequest) -> bool {
        let mut share = self.state.memory.share();
        std::mem::swap(&mut share, &mut self.share);
        if !share.resize(request.body.len()) {
            return false;
        }
        request.body = share.attach(std::mem::take(&mut request.body));
        true
    }

    /// Refuses a request whose body does not fit into the memory pool, and stops reading.
    fn refuse_for_memory(&mut self) {
        log::info!(
            "event=refused reason=body-memory held={} free={}",
            self.framer.held_bytes(),
            self.state.memory.free()
        );
        self.state.metrics.count("refused.body_memory");
        self.framer.clear();
        self.share = self.state.memory.share();
        let answer = refusal(&self.state, RefusalReason::QueueFull, Duration::ZERO);
        self.answer_and_end(answer);
    }

    /// Queues `answer` after the pending ones and ends the connection with it.
    fn answer_and_end(&mut self, answer: Answer) {
        self.push(tokio::spawn(async move { answer }), false, false);
        self.is_last = true;
    }

    fn start(&mut self, framed: FramedRequest) {
        let is_head = framed.method == Method::HEAD;
        let keeps_alive = framed.keeps_alive;
        let state = Arc::clone(&self.state);
        let request = EntryRequest {
            framed,
            arrived_at: self.state.arrival_time(),
        };
        let task = tokio::spawn(async move { serve(&state, request).await });
        self.push(task, is_head, keeps_alive);
        self.is_last |= !keeps_alive || self.ends_after_next;
    }

    fn push(&mut self, task: tokio::task::JoinHandle<Answer>, is_head: bool, keeps_alive: bool) {
        self.pending.push_back(PendingAnswer {
            task: AbortOnDropHandle::new(task),
            is_head,
            keeps_alive,
        });
    }

    /// Ends the connection of a client that has left: cancels what has no answer yet, and writes the answers that are ready,
    /// since it may have closed its sending side only.
    async fn deliver_ready(&mut self) -> io::Result<()> {
        cancel_unanswered(&self.state, &mut self.pending, &mut self.deferred);
        self.framer.clear();
        while let Some(front) = self.pending.front_mut() {
            let answer = answer_of((&mut front.task).await);
            self.write_front(answer).await?;
        }
        self.close().await
    }

    async fn write_front(&mut self, answer: Answer) -> io::Result<()> {
        let Some(front) = self.pending.pop_front() else {
            return Ok(());
        };
        // While the process stops, a connection ends with its last pending answer.
        let ends_here = self.pending.is_empty()
            && self.deferred.is_none()
            && !self.framer.is_mid_request()
            && self.state.is_stopping();
        let keeps_alive = front.keeps_alive && !ends_here;
        self.is_last |= !keeps_alive;
        let head = encode_head(&answer, keeps_alive);
        let body: &[u8] = if front.is_head { &[] } else { &answer.body };
        let (reader, mut writer) = self.stream.split();
        let writing = async {
            if body.len() > MAX_JOINED_BYTES {
                writer.write_all(head.as_bytes()).await?;
                return writer.write_all(body).await;
            }
            let message = [head.as_bytes(), body].concat();
            writer.write_all(&message).await
        };
        let writing = timeout(WRITE_TIMEOUT, writing);
        tokio::pin!(writing);
        let written = tokio::select! {
            biased;
            written = &mut writing => written,
            // A client that reads slowly may leave before it has read this answer. It may have closed its sending side only, so
            // the answer is still written.
            () = wait_for_close(reader.as_ref()) => {
                cancel_unanswered(&self.state, &mut self.pending, &mut self.deferred);
                writing.await
            }
        };
        written.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))?
    }

    /// Writes a short message that does not answer a pending request.
    async fn write_small(&mut self, message: &[u8]) -> io::Result<()> {
        timeout(WRITE_TIMEOUT, self.stream.write_all(message))
            .await
            .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))?
    }

    async fn close_idle(&mut self) -> io::Result<()> {
        if self.framer.is_mid_request() {
            self.state.metrics.count("refused.request_timeout");
            let answer = Answer::own(StatusCode::REQUEST_TIMEOUT, "request-timeout");
            let head = encode_head(&answer, false);
            let message = [head.as_bytes(), &answer.body].concat();
            self.write_small(&message).await?;
        }
        self.close().await
    }

    async fn close(&mut self) -> io::Result<()> {
        self.stream.shutdown().await?;
        let mut scratch = [0; 4_096];
        let drain = async {
            while self.stream.read(&mut scratch).await? > 0 {}
            Ok(())
        };
        // The client usually closes immediately; anything that it still sends is discarded.
        timeout(DRAIN_TIMEOUT, drain).await.unwrap_or(Ok(()))
    }
}

/// Cancels the requests of a client that has left. Of its answers only those that are next in order and ready are kept.
fn cancel_unanswered(
    state: &GatewayState,
    pending: &mut VecDeque<PendingAnswer>,
    deferred: &mut Option<FramedRequest>,
) {
    let ready = pending.iter().take_while(|it| it.task.is_finished());
    let ready = ready.count();
    let cancelled = pending.len() - ready;
    let is_deferred = deferred.take().is_some();
    if cancelled > 0 || is_deferred {
        state.metrics.count("client.left");
        log::info!("event=client_left cancelled={cancelled} deferred={is_deferred} ready={ready}");
    }
    pending.truncate(ready);
}

/// Waits until the client has closed its sending side or reset the connection. Input that has not been read does not hide that, as
/// it would from a read.
async fn wait_for_close(stream: &TcpStream) {
    loop {
        match stream.ready(Interest::READABLE).await {
            Ok(ready) if !ready.is_read_closed() => sleep(CLOSE_POLL_TIME).await,
            Ok(_) => return,
            Err(error) => {
                log::debug!("event=readiness_failed listener=client error={error:?}");
                return;
            }
        }
    }
}

/// Returns whether the client has closed its sending side or reset the connection.
fn has_closed(stream: &TcpStream) -> bool {
    let ready = pin!(stream.ready(Interest::READABLE));
    let polled = ready.poll(&mut Context::from_waker(Waker::noop()));
    matches!(polled, Poll::Ready(Ok(ready)) if ready.is_read_closed())
}

fn answer_of(finished: Result<Answer, JoinError>) -> Answer {
    finished.unwrap_or_else(|error| {
        log::error!("event=request_failed error={:?}", error.to_string());
        Answer::own(StatusCode::BAD_GATEWAY, "internal")
    })
}

fn encode_head(answer: &Answer, keeps_alive: bool) -> String {
    let reason = answer.status.canonical_reason().unwrap_or("Unknown");
    let mut head = format!("HTTP/1.1 {} {reason}\r\n", answer.status.as_u16());
    for (name, value) in &answer.headers {
        // Values come from a parser or from the gateway itself. Those that are not visible ASCII cannot be written and are
        // left out.
        if let Ok(value) = value.to_str()
            && name != CONTENT_LENGTH
            && name != CONNECTION
        {
            // Writing to a String cannot fail.
            let _ = write!(head, "{name}: {value}\r\n");
        }
    }
    let _ = write!(head, "content-length: {}\r\n", answer.body.len());
    if !keeps_alive {
        head.push_str("connection: close\r\n");
    }
    head.push_str("\r\n");
    head
}
