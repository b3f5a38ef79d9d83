//! Two faults together, and the same one twice.

use googletest::prelude::*;

use crate::fault::Fault;
use crate::fault::Kind;
use crate::matrix_single::red;
use crate::run::Load;
use crate::run::SMALL;

/// A job of two tasks and a repeatable request.
const PAIR: Load = Load {
    submissions: 2,
    is_warm: true,
    ..SMALL
};

/// Steps from the first fault to the second.
const MAX_APART: usize = 8;
/// Every so many pairs one is run; no divisor of the number of faults.
const STRIDE: usize = 101;

/// Every `stride`th pair of a fault of `first` and then one of `second`.
fn pairs(load: &Load, first: &[Kind], second: &[Kind], stride: usize) -> Vec<String> {
    let steps = load.steps().len();
    let firsts = load.faults(first);
    let seconds = load.faults(second);
    let cases = (0..steps).flat_map(|step| {
        let seconds = &seconds;
        firsts.iter().flat_map(move |one| {
            (step..=step + MAX_APART).flat_map(move |later| {
                let pair = move |other: &Fault| vec![(step, *one), (later, *other)];
                seconds.iter().map(pair)
            })
        })
    });
    red(load, cases.step_by(stride))
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
    crashes_and_another: CrashEntry CrashAgent CrashTarget;
    long_freezes_and_another: FreezeEntry FreezeEntryWithClock FreezeAgent FreezeAgentWithClock;
    short_freezes_and_another: FreezeEntryShort FreezeAgentShort FreezeTarget;
    closed_connections_and_another: Close Reset ResetToEntry;
    crossed_connections_and_another: ResetToAgent Crossed CrossedLate;
    long_cuts_and_another: CutBoth CutToEntry CutToAgent;
    short_cuts_and_another: CutBothShort CutToEntryShort CutToAgentShort;
    cut_targets_and_another: CutTarget CutToTarget CutFromTarget;
    disturbed_items_and_another: Late Doubled Swapped Lost;
    stops_and_another: StopEntry StopAgent;
    leaving_and_another: Cancel Goodbye Stall;
}

#[googletest::test]
fn a_planned_stop_cuts_nothing_when_sessions_are_lost() {
    let lost = [Kind::Close, Kind::Reset, Kind::Crossed];
    let stop = [Kind::StopAgent];
    expect_that!(pairs(&PAIR, &lost, &stop, 1), is_empty());
    expect_that!(pairs(&PAIR, &stop, &lost, 1), is_empty());
}

#[googletest::test]
fn a_planned_stop_cuts_nothing_when_messages_are_reordered() {
    let reordered = [Kind::Late, Kind::Swapped, Kind::Doubled];
    let stop = [Kind::StopAgent];
    expect_that!(pairs(&PAIR, &reordered, &stop, 1), is_empty());
    expect_that!(pairs(&PAIR, &stop, &reordered, 1), is_empty());
}

#[googletest::test]
fn an_older_state_of_a_target_replaces_no_newer_one() {
    let reordered = [Kind::Late, Kind::Swapped, Kind::CutToEntryShort];
    let leaving = [Kind::Goodbye];
    expect_that!(pairs(&PAIR, &leaving, &reordered, 1), is_empty());
}
