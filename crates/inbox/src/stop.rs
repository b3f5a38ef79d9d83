//! The end of a planned stop, alike for every role.

use std::time::Instant;

use dfs_ids::Millis;
use dfs_log::ProcessEvent;

use crate::Handle;

/// How a planned stop ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ShutdownOutcome {
    /// No work is left.
    Drained,
    /// The time for it ran out.
    TimedOut,
    /// It was asked for a second time.
    Forced,
}

/// Waits until a process is drained, its bound passes or it is asked again, and says so in the log.
pub async fn graceful_shutdown<C>(
    drain_ms: Millis,
    core: &Handle<C>,
    drained: impl Future,
    asked_again: impl Future<Output = ()>,
) -> ShutdownOutcome {
    let asked = Instant::now();
    dfs_log::emit(ProcessEvent::StopRequested { drain_ms });
    let drained = tokio::time::timeout(drain_ms.into(), drained);
    let kind = tokio::select! {
        drained = drained => drained.map_or(ShutdownOutcome::TimedOut, |_| ShutdownOutcome::Drained),
        () = asked_again => ShutdownOutcome::Forced,
    };
    let open = core.open_work();
    let waited = u64::try_from(asked.elapsed().as_millis()).unwrap_or(u64::MAX);
    let waited_ms = Millis::new(waited);
    dfs_log::emit(match kind {
        ShutdownOutcome::Drained => ProcessEvent::Drained { waited_ms },
        ShutdownOutcome::TimedOut => ProcessEvent::StopBoundPassed { drain_ms, open },
        ShutdownOutcome::Forced => ProcessEvent::SecondSignal { open },
    });
    kind
}
