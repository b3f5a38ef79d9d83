//! Every fault before every step.

use std::collections::BTreeMap;

use googletest::prelude::*;

use crate::fault::Fault;
use crate::fault::Kind;
use crate::run::Load;
use crate::run::NEAR_DEADLINE_MS;
use crate::run::SMALL;
use crate::run::run;

/// Runs every case and describes the red ones, by kind of fault.
pub fn red(load: &Load, cases: impl Iterator<Item = Vec<(usize, Fault)>>) -> Vec<String> {
    let mut count = 0;
    let mut reds: BTreeMap<String, (usize, String)> = BTreeMap::new();
    for case in cases {
        count += 1;
        if let Err(verdict) = run(load, &case) {
            let kinds: Vec<_> = case.iter().map(|(_, fault)| fault.kind).collect();
            let example = format!("{verdict} in {case:?}");
            reds.entry(format!("{kinds:?}")).or_insert((0, example)).0 += 1;
        }
    }
    let total: usize = reds.values().map(|(n, _)| n).sum();
    println!("{count} cases, {total} red");
    reds.into_iter()
        .map(|(kinds, (n, example))| format!("{kinds}: {n} red, first: {example}"))
        .collect()
}

fn singles(load: &Load, kinds: &[Kind]) -> Vec<String> {
    let steps = load.steps();
    let faults = load.faults(kinds);
    let mut rows = BTreeMap::<_, usize>::new();
    for row in &steps {
        *rows.entry(row).or_default() += faults.len();
    }
    println!("cases by the step that follows the fault: {rows:?}");
    let cases =
        (0..steps.len()).flat_map(|step| faults.iter().map(move |fault| vec![(step, *fault)]));
    red(load, cases)
}

#[googletest::test]
fn a_load_without_faults_is_green() {
    expect_that!(red(&SMALL, std::iter::once(Vec::new())), is_empty());
}

#[googletest::test]
fn every_fault_at_every_step() {
    expect_that!(singles(&SMALL, &Kind::ALL), is_empty());
}

#[googletest::test]
fn every_fault_at_every_step_with_a_near_deadline() {
    let load = Load {
        deadline_ms: NEAR_DEADLINE_MS,
        ..SMALL
    };
    let kinds = Kind::ALL.into_iter().filter(|kind| !kind.is_harmless());
    let kinds: Vec<_> = kinds.collect();
    expect_that!(singles(&load, &kinds), is_empty());
}

#[googletest::test]
fn every_fault_at_every_step_with_one_agent() {
    let load = Load { agents: 1, ..SMALL };
    expect_that!(singles(&load, &Kind::ALL), is_empty());
}
