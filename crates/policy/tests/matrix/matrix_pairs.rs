//! Injects pairs of faults, among them the same fault twice.

use googletest::prelude::*;

use crate::fault::Fault;
use crate::fault::Kind;
use crate::matrix_single::failing_cases;
use crate::run::SMALL;
use crate::run::Workload;

/// A job of two tasks and a repeatable request, submitted once all sessions are open.
const PAIR: Workload = Workload {
    submissions: 2,
    is_warm: true,
    ..SMALL
};

/// Most steps from the first fault to the second.
const MAX_APART: usize = 8;
/// One of this many pairs is run. It does not divide the number of faults, so that all combinations of
/// kinds get their turn.
const STRIDE: usize = 101;

/// Runs every `stride`th pair of a fault from `first` followed by one from `second`, and describes the failed
/// ones.
fn pairs(workload: &Workload, first: &[Kind], second: &[Kind], stride: usize) -> Vec<String> {
    let steps = workload.steps().len();
    let firsts = workload.faults(first);
    let seconds = workload.faults(second);
    let cases = (0..steps).flat_map(|step| {
        let seconds = &seconds;
        firsts.iter().flat_map(move |one| {
            (step..=step + MAX_APART).flat_map(move |later| {
                let pair = move |other: &Fault| vec![(step, *one), (later, *other)];
                seconds.iter().map(pair)
            })
        })
    });
    failing_cases(workload, cases.step_by(stride))
}

macro_rules! pairs {
    ($($name:ident: $($kind:ident)+;)+) => {
        $(
            #[googletest::test]
            fn $name() {
                let first = [$(Kind::$kind),+];
                expect_that!(pairs(&PAIR, &first, &Kind::ALL, STRIDE), is_empty());
            }
        )+
    };
}

pairs! {
    crashes_then_any_fault: CrashEntry CrashAgent CrashTarget;
    long_pauses_then_any_fault: PauseEntry PauseEntryWithClock PauseAgent PauseAgentWithClock;
    short_pauses_then_any_fault: PauseEntryShort PauseAgentShort PauseTarget;
    closed_connections_then_any_fault: Close Reset ResetToEntry;
    overlapping_connections_then_any_fault: ResetToAgent ReconnectOverlap ReconnectOverlapLate;
    long_partitions_then_any_fault: PartitionBoth PartitionToEntry PartitionToAgent;
    short_partitions_then_any_fault: PartitionBothShort PartitionToEntryShort PartitionToAgentShort;
    target_partitions_then_any_fault: PartitionTarget PartitionToTarget PartitionFromTarget;
    disturbed_deliveries_then_any_fault: Delayed Duplicated Reordered Dropped;
    shutdowns_then_any_fault: StopEntry StopAgent;
    cancel_goodbye_or_stall_then_any_fault: Cancel Goodbye Stall;
}

#[googletest::test]
fn a_graceful_shutdown_interrupts_nothing_when_sessions_are_lost() {
    let lost = [Kind::Close, Kind::Reset, Kind::ReconnectOverlap];
    let stop = [Kind::StopAgent];
    expect_that!(pairs(&PAIR, &lost, &stop, 1), is_empty());
    expect_that!(pairs(&PAIR, &stop, &lost, 1), is_empty());
}

#[googletest::test]
fn a_graceful_shutdown_interrupts_nothing_when_messages_are_reordered() {
    let reordered = [Kind::Delayed, Kind::Reordered, Kind::Duplicated];
    let stop = [Kind::StopAgent];
    expect_that!(pairs(&PAIR, &reordered, &stop, 1), is_empty());
    expect_that!(pairs(&PAIR, &stop, &reordered, 1), is_empty());
}

#[googletest::test]
fn an_older_target_state_does_not_replace_a_newer_one() {
    let reordered = [Kind::Delayed, Kind::Reordered, Kind::PartitionToEntryShort];
    let leaving = [Kind::Goodbye];
    expect_that!(pairs(&PAIR, &leaving, &reordered, 1), is_empty());
}
