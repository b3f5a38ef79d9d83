//! Stream of a connection that counts what it reads and ends when its client stalls.

use std::io;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;

use dfs_log::ClientLimit;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio::time::Sleep;
use tokio::time::sleep_until;

use crate::Account;
use crate::account::Phase;

/// Time after a deadline in which input that arrived before it is still read. When the process resumes after a
/// suspension, the runtime may fire overdue timers before it learns which connections have input.
const INPUT_GRACE: Duration = Duration::from_millis(100);

/// Times that the client of a stream may take.
#[derive(Debug, Clone, Copy)]
pub struct StreamLimits {
    /// For the head of a request, from its first byte.
    pub head_timeout: Duration,
    /// Between two requests, and before the first.
    pub idle_timeout: Duration,
    /// Until the client reads more of an answer; `None` for no limit.
    pub write_timeout: Option<Duration>,
    /// Most bytes that may arrive until the phase of the head ends; `None` where HTTP limits them.
    pub max_head_bytes: Option<u64>,
}

/// A TCP stream whose client is bounded in time, and whose bytes are counted in an [`Account`].
#[derive(Debug)]
pub struct GuardedStream {
    stream: TcpStream,
    account: Account,
    limits: StreamLimits,
    /// When the current phase of the connection began.
    since: Instant,
    phase: Phase,
    /// Fires at or before the deadline of the phase.
    timer: Pin<Box<Sleep>>,
    /// Whether the deadline has passed and the grace for input runs.
    is_in_grace: bool,
    write_timer: Option<Pin<Box<Sleep>>>,
}

impl GuardedStream {
    /// Guards a stream.
    #[must_use]
    pub fn new(stream: TcpStream, account: Account, limits: StreamLimits) -> Self {
        let now = Instant::now();
        Self {
            stream,
            account,
            limits,
            since: now,
            phase: Phase::Idle,
            timer: Box::pin(sleep_until(now + limits.idle_timeout)),
            is_in_grace: false,
            write_timer: None,
        }
    }

    /// Waits for the first byte of the client; false if none came in time.
    pub(crate) async fn wait_for_input(&mut self) -> bool {
        std::future::poll_fn(|context| {
            if let Poll::Ready(result) = self.stream.poll_read_ready(context) {
                return Poll::Ready(result.is_ok());
            }
            self.poll_stalled(context).map(|_| false)
        })
        .await
    }

    /// Takes note of the start of a phase.
    fn update_phase(&mut self) {
        let phase = self.account.phase();
        if phase != self.phase {
            self.phase = phase;
            self.since = Instant::now();
            self.is_in_grace = false;
        }
    }

    fn deadline(&self) -> Option<(Instant, ClientLimit)> {
        match self.phase {
            Phase::Idle => Some((self.since + self.limits.idle_timeout, ClientLimit::Idle)),
            Phase::Head => Some((self.since + self.limits.head_timeout, ClientLimit::HeadTime)),
            Phase::Request => None,
        }
    }

    /// Resolves with an error once the client has stalled for too long or the connection is evicted.
    fn poll_stalled(&mut self, context: &mut Context<'_>) -> Poll<io::Error> {
        self.account.register(context.waker());
        self.update_phase();
        let Some((deadline, limit)) = self.deadline() else {
            return Poll::Pending;
        };
        if self.account.is_evicted() {
            return Poll::Ready(self.cut_off(ClientLimit::Memory));
        }
        // The timer may be armed for a phase that has ended, and is set only when it fires or is too late.
        if !self.is_in_grace && self.timer.deadline() > deadline {
            self.timer.as_mut().reset(deadline);
        }
        while self.timer.as_mut().poll(context).is_ready() {
            let now = Instant::now();
            if now < deadline {
                self.timer.as_mut().reset(deadline);
            } else if self.is_in_grace {
                return Poll::Ready(self.cut_off(limit));
            } else {
                self.is_in_grace = true;
                self.timer.as_mut().reset(now + INPUT_GRACE);
            }
        }
        Poll::Pending
    }

    fn cut_off(&self, limit: ClientLimit) -> io::Error {
        self.account.log_cut_off(limit);
        io::ErrorKind::TimedOut.into()
    }
}

impl Drop for GuardedStream {
    fn drop(&mut self) {
        self.account.release();
    }
}

impl AsyncRead for GuardedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = &mut *self;
        if this.account.is_evicted() {
            // A request that arrives is answered by whoever reads its body.
            return this.poll_stalled(context).map(Err);
        }
        if this.account.must_wait() && this.account.phase() != Phase::Idle {
            // The connections that have to release their bytes run before this one runs again.
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        let before = buffer.filled().len();
        if Pin::new(&mut this.stream)
            .poll_read(context, buffer)?
            .is_pending()
        {
            return this.poll_stalled(context).map(Err);
        }
        let bytes = buffer.filled().len() - before;
        if bytes > 0 && this.account.phase() == Phase::Idle {
            this.account.set_phase(Phase::Head);
            this.update_phase();
        }
        this.account.receive(bytes);
        let max_head_bytes = this.limits.max_head_bytes;
        if this.account.phase() == Phase::Head
            && max_head_bytes.is_some_and(|max| this.account.received_bytes() > max)
        {
            return Poll::Ready(Err(this.cut_off(ClientLimit::HeadBytes)));
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for GuardedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = &mut *self;
        if let Poll::Ready(result) = Pin::new(&mut this.stream).poll_write(context, bytes) {
            this.write_timer = None;
            if this.phase == Phase::Idle {
                // The connection is idle once the answer is written.
                this.since = Instant::now();
            }
            return Poll::Ready(result);
        }
        let Some(timeout) = this.limits.write_timeout else {
            return Poll::Pending;
        };
        let timer = this
            .write_timer
            .get_or_insert_with(|| Box::pin(sleep_until(Instant::now() + timeout)));
        ready!(timer.as_mut().poll(context));
        Poll::Ready(Err(this.cut_off(ClientLimit::WriteTime)))
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
