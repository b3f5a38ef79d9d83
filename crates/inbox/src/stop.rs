//! The end of a planned stop, alike for every role.

use std::time::Instant;

use dfs_ids::Millis;
use dfs_log::ProcessEvent;

use crate::Handle;

/// How a planned stop ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopKind {
    /// No work is left.
    Drained,
    /// The time for it ran out.
    BoundPassed,
    /// It was asked for a second time.
    AskedAgain,
}

/// Waits until a process is drained, its bound passes or it is asked again, and says so in the log.
pub async fn planned_stop<C>(
    drain_ms: Millis,
    core: &Handle<C>,
    drained: impl Future,
    asked_again: impl Future<Output = ()>,
) -> StopKind {
    let asked = Instant::now();
    dfs_log::emit(ProcessEvent::StopRequested { drain_ms });
    let drained = tokio::time::timeout(drain_ms.into(), drained);
    let kind = tokio::select! {
        drained = drained => drained.map_or(StopKind::BoundPassed, |_| StopKind::Drained),
        () = asked_again => StopKind::AskedAgain,
    };
    let open = core.open();
    let waited = u64::try_from(asked.elapsed().as_millis()).unwrap_or(u64::MAX);
    let waited_ms = Millis::new(waited);
    dfs_log::emit(match kind {
        StopKind::Drained => ProcessEvent::Drained { waited_ms },
        StopKind::BoundPassed => ProcessEvent::StopBoundPassed { drain_ms, open },
        StopKind::AskedAgain => ProcessEvent::SecondSignal { open },
    });
    kind
}
