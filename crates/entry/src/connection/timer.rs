//! Timer of caller connections.

use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;
use std::time::Instant;

use hyper::rt::Sleep;
use hyper::rt::Timer;

/// Time after a deadline in which input that arrived before it is still read.
const INPUT_GRACE: Duration = Duration::from_millis(100);

/// Timer whose deadlines leave time to read what has already arrived.
///
/// When the process resumes after a suspension, the runtime may fire overdue timers before it learns
/// which connections have input. A connection whose next request is in its receive buffer would then be
/// closed unanswered.
#[derive(Debug, Clone, Copy)]
pub(super) struct InputFirstTimer;

impl Timer for InputFirstTimer {
    fn sleep(&self, duration: Duration) -> Pin<Box<dyn Sleep>> {
        self.sleep_until(Instant::now() + duration)
    }

    fn sleep_until(&self, deadline: Instant) -> Pin<Box<dyn Sleep>> {
        let sleep = async move {
            tokio::time::sleep_until(deadline.into()).await;
            tokio::time::sleep(INPUT_GRACE).await;
        };
        Box::pin(GraceSleep(Box::pin(sleep)))
    }
}

struct GraceSleep(Pin<Box<dyn Future<Output = ()> + Send + Sync>>);

impl Future for GraceSleep {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        self.0.as_mut().poll(context)
    }
}

impl Sleep for GraceSleep {}
