//! Log lines on a target and its runs.

use dfs_ids::Millis;
use dfs_log::ErrorText;
use dfs_log::TargetEvent;
use dfs_policy::agent::RunEnd;
use dfs_policy::runs::ListedEnd;
use dfs_policy::runs::Refusal;
use dfs_policy::runs::RunNumber;
use dfs_policy::runs::RunsAction;
use dfs_wire::session::TaskOutcome;
use dfs_wire::session::TaskRef;

/// Logs an action that only says what was observed; the others are performed.
pub(super) fn record(action: RunsAction) {
    match action {
        RunsAction::TakenOver {
            token,
            stopped_runs,
            evidence,
        } => dfs_log::emit(TargetEvent::TakenOver {
            token: token.0,
            stopped_runs,
            evidence: ErrorText::from(evidence.to_string().as_str()),
        }),
        RunsAction::StrayRun { name, run } => dfs_log::emit(TargetEvent::StrayRun {
            name: name.to_string(),
            run: run.0,
        }),
        RunsAction::TargetUnreachable {
            running_tasks,
            message,
        } => dfs_log::emit(TargetEvent::Unreachable {
            running_tasks,
            error: ErrorText::from(message.as_str()),
        }),
        RunsAction::TargetRestarted {
            previous,
            current,
            tracked_runs,
        } => dfs_log::emit(TargetEvent::Restarted {
            previous: previous.map(|incarnation| incarnation.0),
            current: current.map(|incarnation| incarnation.0),
            running_tasks: tracked_runs,
        }),
        RunsAction::HeartbeatRejected {
            target,
            incarnation,
            current,
        } => dfs_log::emit(TargetEvent::HeartbeatRejected {
            target,
            incarnation: incarnation.map(|incarnation| incarnation.0),
            current: current.map(|incarnation| incarnation.0),
        }),
        RunsAction::StartRefused {
            task,
            name,
            run,
            refusal,
        } => log_refused_start(task, &name, run, refusal),
        RunsAction::StartUnanswered {
            name,
            token,
            message,
        } => dfs_log::emit(TargetEvent::OrderUnanswered {
            task: name.to_string(),
            token: token.0,
            error: ErrorText::from(message.as_str()),
        }),
        _ => {}
    }
}

pub(super) fn log_end(
    task: &TaskRef,
    name: &str,
    run: Option<RunNumber>,
    listed: Option<ListedEnd>,
    lease_left_ms: Millis,
    end: &RunEnd,
) {
    match end {
        RunEnd::Finished(TaskOutcome::Failed(error)) => {
            log_failed_run(task, name, run, listed, error);
        }
        RunEnd::Finished(TaskOutcome::Unknown(evidence)) if listed.is_none() => {
            log_concluded_end(task, name, run, lease_left_ms, evidence);
        }
        RunEnd::Finished(_) | RunEnd::NotStarted(_) => {}
    }
}

fn log_failed_run(
    task: &TaskRef,
    name: &str,
    run: Option<RunNumber>,
    listed: Option<ListedEnd>,
    error: &str,
) {
    let incarnation = listed.and_then(|listed| listed.incarnation);
    dfs_log::emit(TargetEvent::RunFailed {
        submission: task.submission.clone(),
        task: task.task,
        attempt: task.attempt,
        name: name.to_owned(),
        run: run.map(|run| run.0),
        sequence: listed.map(|listed| listed.sequence),
        target_incarnation: incarnation.map(|incarnation| incarnation.0),
        error: ErrorText::from(error),
    });
}

fn log_concluded_end(
    task: &TaskRef,
    name: &str,
    run: Option<RunNumber>,
    lease_left_ms: Millis,
    evidence: &str,
) {
    dfs_log::emit(TargetEvent::RunEndConcluded {
        submission: task.submission.clone(),
        task: task.task,
        attempt: task.attempt,
        name: name.to_owned(),
        run: run.map(|run| run.0),
        lease_left_ms,
        evidence: ErrorText::from(evidence),
    });
}

fn log_refused_start(task: TaskRef, name: &str, run: RunNumber, refusal: Refusal) {
    if matches!(refusal, Refusal::NoCapacity | Refusal::Evacuated) {
        // The hand-back of the task is logged instead.
        return;
    }
    dfs_log::emit(TargetEvent::StartRefused {
        submission: task.submission,
        task: task.task,
        attempt: task.attempt,
        name: name.to_owned(),
        run: run.0,
        refusal: ErrorText::from(refusal.to_string().as_str()),
    });
}
