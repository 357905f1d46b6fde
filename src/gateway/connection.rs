//! Connections of clients: pipelined requests are read at once, run together and answered in order.

use std::collections::VecDeque;
use std::fmt::Write;
use std::io;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::BytesMut;
use http::header::{CONNECTION, CONTENT_LENGTH};
use http::{Method, StatusCode};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, sleep_until, timeout};
use tokio_util::task::AbortOnDropHandle;

use super::answer::Answer;
use super::entry::{EntryRequest, serve};
use super::framing::{FramedRequest, RequestFramer};
use super::state::GatewayState;

/// Requests of one connection that run at the same time.
const MAX_PIPELINED: usize = 32;
const READ_BYTES: usize = 16 * 1024;
/// A client that takes no byte of an answer for so long is given up, so that its answer does not stay in memory.
const WRITE_TIMEOUT: Duration = Duration::from_secs(20);
/// Time after the idle timeout at which a connection is closed; clients stay within the timeout themselves.
const IDLE_MARGIN: Duration = Duration::from_secs(1);
/// Time in which bytes are still read after a final answer, since closing with unread bytes would destroy the answer.
const LINGER: Duration = Duration::from_millis(500);
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Accepts connections until the process stops.
pub(super) async fn serve_clients(state: Arc<GatewayState>, listener: TcpListener) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = state.closing_clients.cancelled() => return,
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
    /// Request with effects behind others; it starts when they are answered.
    held: Option<FramedRequest>,
    /// No further request is read.
    is_last: bool,
    /// The request that has begun to arrive is the last one.
    ends_after_next: bool,
    quiet_since: Instant,
}

#[derive(Debug)]
enum ConnectionEvent {
    Read(usize),
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
            held: None,
            is_last: false,
            ends_after_next: false,
            quiet_since: Instant::now(),
        }
    }

    async fn run(mut self) {
        if let Err(error) = self.stream.set_nodelay(true) {
            log::debug!("event=nodelay_failed listener=client error={error:?}");
        }
        // Dropping the connection aborts what still runs for it.
        if let Err(error) = self.serve().await {
            let open = self.pending.len();
            log::debug!("event=client_gone open={open} error={error:?}");
        }
    }

    async fn serve(&mut self) -> io::Result<()> {
        loop {
            // A request that is still held was not passed on; its client sends it again elsewhere.
            if self.is_last && self.pending.is_empty() {
                return self.close().await;
            }
            match self.next_event().await? {
                ConnectionEvent::Read(0) => {
                    if !self.pending.is_empty() {
                        self.state.metrics.count("client.left");
                    }
                    return Ok(());
                }
                ConnectionEvent::Read(_) => {
                    self.quiet_since = Instant::now();
                    self.start_requests().await?;
                }
                ConnectionEvent::Answered(answer) => {
                    self.write_front(answer).await?;
                    self.quiet_since = Instant::now();
                    self.start_requests().await?;
                }
                ConnectionEvent::Idle => return self.end_idle().await,
                ConnectionEvent::Closing => {
                    self.ends_after_next = true;
                    self.is_last |= self.held.is_none() && !self.framer.is_mid_request();
                }
            }
        }
    }

    async fn next_event(&mut self) -> io::Result<ConnectionEvent> {
        let is_idle = self.pending.is_empty();
        let quiet_until = self.quiet_since + self.quiet_bound();
        let can_read = self.pending.len() < MAX_PIPELINED && self.held.is_none();
        let closing = self.state.closing_clients.clone();
        let is_closing = self.is_last || self.ends_after_next;
        let buffer = self.framer.buffer_mut();
        buffer.reserve(READ_BYTES);
        let front = self.pending.front_mut();
        let answered = async {
            match front {
                Some(front) => (&mut front.task).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            biased;
            answer = answered => {
                let answer = answer.unwrap_or_else(|error| {
                    log::error!("event=request_failed error={:?}", error.to_string());
                    Answer::own(StatusCode::BAD_GATEWAY, "internal")
                });
                Ok(ConnectionEvent::Answered(answer))
            }
            read = self.stream.read_buf(buffer), if can_read => {
                read.map(ConnectionEvent::Read)
            }
            () = sleep_until(quiet_until.into()), if is_idle => Ok(ConnectionEvent::Idle),
            () = closing.cancelled(), if !is_closing => Ok(ConnectionEvent::Closing),
        }
    }

    fn quiet_bound(&self) -> Duration {
        let book = self.state.book();
        let limits = book.limits();
        if self.framer.is_mid_head() {
            limits.header_timeout
        } else {
            limits.idle_timeout + IDLE_MARGIN
        }
    }

    /// Starts all requests that have arrived whole.
    async fn start_requests(&mut self) -> io::Result<()> {
        while !self.is_last && self.pending.len() < MAX_PIPELINED {
            let next = match self.held.take() {
                Some(request) => Some(request),
                None => match self.framer.next_request() {
                    Ok(next) => next,
                    Err(error) => {
                        log::info!("event=request_malformed error={:?}", error.to_string());
                        self.state.metrics.count("refused.malformed");
                        let answer = Answer::own(error.status(), "bad-request");
                        self.push(tokio::spawn(async move { answer }), false, false);
                        self.is_last = true;
                        return Ok(());
                    }
                },
            };
            let Some(request) = next else {
                if self.framer.take_wants_continue() && self.pending.is_empty() {
                    self.stream
                        .write_all(b"HTTP/1.1 100 Continue\r\n\r\n")
                        .await?;
                }
                return Ok(());
            };
            // Only requests without effects may overtake the answers before them.
            if !request.method.is_safe() && !self.pending.is_empty() {
                self.held = Some(request);
                return Ok(());
            }
            self.start(request);
        }
        Ok(())
    }

    fn start(&mut self, framed: FramedRequest) {
        let is_head = framed.method == Method::HEAD;
        let keeps_alive = framed.keeps_alive;
        let state = Arc::clone(&self.state);
        let request = EntryRequest {
            framed,
            arrived_at: Instant::now(),
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

    async fn write_front(&mut self, answer: Answer) -> io::Result<()> {
        let Some(front) = self.pending.pop_front() else {
            return Ok(());
        };
        // While the process stops, a connection ends with the last answer that was promised on it.
        let ends_here = self.pending.is_empty()
            && self.held.is_none()
            && !self.framer.is_mid_request()
            && self.state.is_stopping();
        let keeps_alive = front.keeps_alive && !ends_here;
        self.is_last |= !keeps_alive;
        let head = encode_head(&answer, keeps_alive);
        let body: &[u8] = if front.is_head { &[] } else { &answer.body };
        let mut message = BytesMut::with_capacity(head.len() + body.len());
        message.extend_from_slice(head.as_bytes());
        message.extend_from_slice(body);
        timeout(WRITE_TIMEOUT, self.stream.write_all(&message))
            .await
            .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))?
    }

    async fn end_idle(&mut self) -> io::Result<()> {
        if self.framer.is_mid_head() {
            let answer = Answer::own(StatusCode::REQUEST_TIMEOUT, "header-timeout");
            let head = encode_head(&answer, false);
            self.stream.write_all(head.as_bytes()).await?;
            self.stream.write_all(&answer.body).await?;
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
        // The client usually closes at once; what it still sends is not read.
        timeout(LINGER, drain).await.unwrap_or(Ok(()))
    }
}

fn encode_head(answer: &Answer, keeps_alive: bool) -> String {
    let reason = answer.status.canonical_reason().unwrap_or("Unknown");
    let mut head = format!("HTTP/1.1 {} {reason}\r\n", answer.status.as_u16());
    for (name, value) in &answer.headers {
        // The values came through a parser or are our own text; others cannot be written in a head.
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
