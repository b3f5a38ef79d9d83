//! Validation of the rules.

use std::ops::RangeInclusive;

use dfs_ids::Millis;
use serde_json::Value;

use super::Admission;
use super::Deadlines;
use super::Ejection;
use super::PlacementRules;
use super::RetryRules;
use super::Rules;
use crate::ValidationErrors;
use crate::check::Checker;
use crate::fault::FieldPath;
use crate::fault::ValidationError;
use crate::fault::ok_unless_errors;
use crate::form;
use crate::form::Template;

const DAY_MS: Millis = Millis::new(86_400_000);
const DURATION_MS: RangeInclusive<Millis> = Millis::new(1)..=DAY_MS;
const TASKS_PER_JOB: RangeInclusive<u32> = 1..=100_000;
const QUEUED_TASKS: RangeInclusive<u32> = 1..=10_000_000;
const OPEN_TASKS_PER_SLOT: RangeInclusive<f64> = 1.0..=1_000.0;
/// With 0, every submission that has to wait at all would be rejected.
const DEADLINE_FRACTION: RangeInclusive<f64> = 0.01..=1.0;
const HAND_BACKS: RangeInclusive<u32> = 0..=100;
/// A task is not faster away from its data.
const FAR_FACTOR: RangeInclusive<f64> = 1.0..=100.0;
const HINT_CADENCE_MS: RangeInclusive<Millis> = Millis::new(1)..=Millis::new(60_000);
const BUDGET_RATIO: RangeInclusive<f64> = 0.0..=1.0;
const BUDGET_BURST: RangeInclusive<u32> = 0..=1_000_000;
const ATTEMPTS: RangeInclusive<u32> = 1..=100;
const CONSECUTIVE_FAILURES: RangeInclusive<u32> = 1..=1_000_000;
/// At least two thirds of the targets of a service always stay in use.
const EJECTED_FRACTION: RangeInclusive<f64> = 0.0..=1.0 / 3.0;

/// Parses rules and runs all checks.
///
/// # Errors
///
/// All errors of the document.
pub fn check_rules(document: &Value) -> Result<Rules, ValidationErrors> {
    let parsed =
        form::read::<Rules>(document.clone()).map_err(|errors| ValidationErrors { errors })?;
    let check_errors = parsed.value.validation_errors();
    let (rules, errors) = parsed.with_check_errors(check_errors);
    ok_unless_errors(rules, errors)
}

impl Template for Rules {
    fn template() -> Self {
        let mut template = Self::default();
        // The default is omitted, and the template must have all fields.
        template.placement.far_factor = *FAR_FACTOR.end();
        template
    }
}

impl Rules {
    /// Validates the rules.
    ///
    /// # Errors
    ///
    /// All errors, in the order of the checks.
    pub fn check(&self) -> Result<(), ValidationErrors> {
        ok_unless_errors((), self.validation_errors())
    }

    fn validation_errors(&self) -> Vec<ValidationError> {
        let mut checker = Checker::default();
        check_deadlines(&mut checker, &self.deadlines);
        check_admission(&mut checker, &self.admission);
        check_placement(&mut checker, &self.placement);
        check_retry(&mut checker, &self.retry);
        check_ejection(&mut checker, &self.ejection);
        checker.into_errors()
    }
}

fn check_deadlines(checker: &mut Checker, deadlines: &Deadlines) {
    let field = |name| FieldPath::new("deadlines").field(name);
    checker.in_range(field("default_ms"), deadlines.default_ms, &DURATION_MS);
    checker.in_range(field("max_ms"), deadlines.max_ms, &DURATION_MS);
    checker.at_most(
        (field("default_ms"), deadlines.default_ms),
        (field("max_ms"), deadlines.max_ms),
    );
}

fn check_admission(checker: &mut Checker, admission: &Admission) {
    let field = |name| FieldPath::new("admission").field(name);
    let per_job = admission.max_tasks_per_job;
    let queued = admission.max_queued_tasks;
    let per_group = admission.max_queued_tasks_per_group;
    checker.in_range(field("max_tasks_per_job"), per_job, &TASKS_PER_JOB);
    checker.in_range(field("max_queued_tasks"), queued, &QUEUED_TASKS);
    checker.in_range(
        field("max_queued_tasks_per_group"),
        per_group,
        &QUEUED_TASKS,
    );
    let fraction = admission.deadline_part;
    checker.in_range(field("deadline_part"), fraction, &DEADLINE_FRACTION);
    checker.at_most(
        (field("max_tasks_per_job"), per_job),
        (field("max_queued_tasks_per_group"), per_group),
    );
    checker.at_most(
        (field("max_queued_tasks_per_group"), per_group),
        (field("max_queued_tasks"), queued),
    );
}

fn check_placement(checker: &mut Checker, placement: &PlacementRules) {
    let field = |name| FieldPath::new("placement").field(name);
    let ageing = placement.ageing_ms_per_task;
    checker.in_range(field("ageing_ms_per_task"), ageing, &DURATION_MS);
    let open_tasks = placement.open_tasks_per_slot;
    checker.in_range(
        field("open_tasks_per_slot"),
        open_tasks,
        &OPEN_TASKS_PER_SLOT,
    );
    let cadence = placement.hint_cadence_ms;
    checker.in_range(field("hint_cadence_ms"), cadence, &HINT_CADENCE_MS);
    let hand_backs = placement.max_hand_backs;
    checker.in_range(field("max_hand_backs"), hand_backs, &HAND_BACKS);
    let far_factor = placement.far_factor;
    checker.in_range(field("far_factor"), far_factor, &FAR_FACTOR);
}

fn check_retry(checker: &mut Checker, retry: &RetryRules) {
    let field = |name| FieldPath::new("retry").field(name);
    checker.in_range(field("budget_ratio"), retry.budget_ratio, &BUDGET_RATIO);
    checker.in_range(field("budget_burst"), retry.budget_burst, &BUDGET_BURST);
    checker.in_range(field("max_attempts"), retry.max_attempts, &ATTEMPTS);
}

fn check_ejection(checker: &mut Checker, ejection: &Ejection) {
    let field = |name| FieldPath::new("ejection").field(name);
    let failures = ejection.failures_in_a_row;
    checker.in_range(field("failures_in_a_row"), failures, &CONSECUTIVE_FAILURES);
    checker.in_range(field("first_ms"), ejection.first_ms, &DURATION_MS);
    checker.in_range(field("max_ms"), ejection.max_ms, &DURATION_MS);
    checker.in_range(field("max_part"), ejection.max_part, &EJECTED_FRACTION);
    checker.at_most(
        (field("first_ms"), ejection.first_ms),
        (field("max_ms"), ejection.max_ms),
    );
}
