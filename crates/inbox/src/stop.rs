//! Graceful shutdown, the same for entries and agents.

use std::time::Instant;

use dfs_ids::Millis;
use dfs_log::ProcessEvent;

use crate::Handle;

/// How a graceful shutdown ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ShutdownOutcome {
    /// All work was finished.
    Drained,
    /// `drain_ms` of the settings passed with work unfinished.
    TimedOut,
    /// A second signal ended the process with work unfinished.
    Forced,
}

/// Waits until the process is drained, `drain_ms` have passed or a second signal arrives, and logs
/// which of them ended the shutdown.
pub async fn graceful_shutdown<C>(
    drain_ms: Millis,
    core: &Handle<C>,
    drained: impl Future,
    second_signal: impl Future<Output = ()>,
) -> ShutdownOutcome {
    let started_at = Instant::now();
    dfs_log::emit(ProcessEvent::StopRequested { drain_ms });
    let drained = tokio::time::timeout(drain_ms.into(), drained);
    let outcome = tokio::select! {
        result = drained => {
            result.map_or(ShutdownOutcome::TimedOut, |_| ShutdownOutcome::Drained)
        }
        () = second_signal => ShutdownOutcome::Forced,
    };
    let open = core.open_work();
    let waited = u64::try_from(started_at.elapsed().as_millis()).unwrap_or(u64::MAX);
    let waited_ms = Millis::new(waited);
    dfs_log::emit(match outcome {
        ShutdownOutcome::Drained => ProcessEvent::Drained { waited_ms },
        ShutdownOutcome::TimedOut => ProcessEvent::StopBoundPassed { drain_ms, open },
        ShutdownOutcome::Forced => ProcessEvent::SecondSignal { open },
    });
    outcome
}
