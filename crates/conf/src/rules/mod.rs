//! The rules: limits and policies that operators add to the inventory.

mod check;

use dfs_ids::Millis;
use serde::Deserialize;
use serde::Serialize;

pub use check::check_rules;

/// All rules; each has a default.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Rules {
    /// Deadlines of submissions.
    pub deadlines: Deadlines,
    /// What is refused at once.
    pub admission: Admission,
    /// Where tasks go and in which order.
    pub placement: PlacementRules,
    /// Further attempts.
    pub retry: RetryRules,
    /// Targets that are set aside.
    pub ejection: Ejection,
}

/// Deadlines of submissions.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Deadlines {
    /// Deadline of a submission that names none.
    pub default_ms: Millis,
    /// Longest deadline that a caller may name.
    pub max_ms: Millis,
}

impl Default for Deadlines {
    fn default() -> Self {
        Self {
            default_ms: Millis::new(60_000),
            max_ms: Millis::new(600_000),
        }
    }
}

/// What is refused at once.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Admission {
    /// Most tasks in one job.
    pub max_tasks_per_job: u32,
    /// Most tasks queued at one entry, over all groups.
    pub max_queued_tasks: u32,
    /// Most tasks that one group may have queued at one entry.
    pub max_queued_tasks_per_group: u32,
    /// Part of its deadline that a submission may be expected to wait; the rest is for tasks that
    /// will overtake it.
    pub deadline_part: f64,
    /// Times its latency objective that a submission may be expected to take.
    pub max_objectives: f64,
    /// Times its latency objective after which a queued submission of which nothing has run is given
    /// up.
    pub give_up_objectives: f64,
}

impl Default for Admission {
    fn default() -> Self {
        Self {
            max_tasks_per_job: 320,
            max_queued_tasks: 100_000,
            max_queued_tasks_per_group: 20_000,
            deadline_part: 0.25,
            max_objectives: 3.0,
            give_up_objectives: 3.0,
        }
    }
}

/// How an entry picks the target of a task.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PlacementPolicy {
    /// Any eligible target.
    Random,
    /// The less loaded of two random targets.
    TwoChoices,
    /// The target with the least known work per slot.
    #[default]
    LeastWork,
}

/// The order of queued tasks of one group.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Order {
    /// Oldest submission first.
    FirstCome,
    /// Submission with the fewest tasks left first, with ageing.
    #[default]
    LeastLeft,
}

/// When an agent tells entries its load.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HintMode {
    /// Only with results and renewals.
    #[default]
    OnResults,
    /// Also when the target goes from free to full or back.
    OnEdge,
    /// Also at a fixed cadence if the count of free slots has changed.
    OnChange,
}

/// Where tasks go and in which order.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PlacementRules {
    /// How a target is picked.
    pub policy: PlacementPolicy,
    /// Order within a group.
    pub order: Order,
    /// Age that counts as much as one task less left, for [`Order::LeastLeft`].
    pub ageing_ms_per_task: Millis,
    /// Open tasks that an agent grants to all entries together, for each slot.
    pub open_tasks_per_slot: f64,
    /// Load up to which an entry places tasks on a target, where 1 is a full one; the rest waits at
    /// the entry.
    pub max_load: f64,
    /// Times that a task may be handed back by an agent that turns out to have no free slot; then
    /// it is queued there.
    pub max_hand_backs: u32,
    /// When agents tell their load.
    pub hints: HintMode,
    /// Shortest time between two load hints that ride on nothing.
    pub hint_cadence_ms: Millis,
    /// Most such hints a second that all agents together send to one entry; with many agents the cadence
    /// is slower.
    pub max_hints_per_s: u32,
}

impl Default for PlacementRules {
    fn default() -> Self {
        Self {
            policy: PlacementPolicy::default(),
            order: Order::default(),
            ageing_ms_per_task: Millis::new(200),
            open_tasks_per_slot: 64.0,
            max_load: f64::from(u32::MAX),
            max_hand_backs: 2,
            hints: HintMode::default(),
            hint_cadence_ms: Millis::new(50),
            max_hints_per_s: 400,
        }
    }
}

/// Further attempts.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RetryRules {
    /// Further attempts that each first attempt earns; at most 1.
    pub budget_ratio: f64,
    /// Further attempts that an idle group may save up.
    pub budget_burst: u32,
    /// Most attempts of one task.
    pub max_attempts: u32,
}

impl Default for RetryRules {
    fn default() -> Self {
        Self {
            budget_ratio: 0.1,
            budget_burst: 100,
            max_attempts: 4,
        }
    }
}

/// Targets that are set aside because they fail while others do well.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Ejection {
    /// Failures in a row after which a target is set aside.
    pub failures_in_a_row: u32,
    /// First interval; each further one is twice as long.
    pub first_ms: Millis,
    /// Longest interval.
    pub max_ms: Millis,
    /// Largest part of a service's targets that may be set aside.
    pub max_part: f64,
}

impl Default for Ejection {
    fn default() -> Self {
        Self {
            failures_in_a_row: 5,
            first_ms: Millis::new(5_000),
            max_ms: Millis::new(300_000),
            max_part: 1.0 / 3.0,
        }
    }
}
