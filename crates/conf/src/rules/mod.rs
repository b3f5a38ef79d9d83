//! The rules: limits and policies, which together with the inventory make up the configuration.

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
    /// Limits above which submissions are refused.
    pub admission: Admission,
    /// Choice of targets and order of tasks.
    pub placement: PlacementRules,
    /// Retries of tasks.
    pub retry: RetryRules,
    /// Temporary ejection of failing targets.
    pub ejection: Ejection,
}

/// Deadlines of submissions.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Deadlines {
    /// Deadline of a submission that does not set one; at most `max_ms`.
    pub default_ms: Millis,
    /// Maximum deadline of a submission.
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

/// Limits above which submissions are refused instead of queued.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Admission {
    /// Maximum number of tasks in one job; at most `max_queued_tasks_per_group`.
    pub max_tasks_per_job: u32,
    /// Maximum number of tasks queued at one entry, over all groups.
    pub max_queued_tasks: u32,
    /// Maximum number of tasks of one group queued at one entry; at most `max_queued_tasks`.
    pub max_queued_tasks_per_group: u32,
    /// Maximum expected wait of a submission as a fraction of its deadline. The rest of the
    /// deadline is a reserve for tasks that will overtake it.
    pub deadline_part: f64,
    /// Maximum expected response time of a submission as a multiple of its latency objective.
    pub max_objectives: f64,
    /// Time after which a queued submission is abandoned if none of its tasks has run, as a
    /// multiple of its latency objective.
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

/// How an entry chooses among the eligible targets of a task.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PlacementPolicy {
    /// A random one.
    Random,
    /// The less loaded of two random ones.
    TwoChoices,
    /// The one with the least known work per slot.
    #[default]
    LeastWork,
}

/// Order of the queued tasks of one group.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Order {
    /// Oldest submission first.
    FirstCome,
    /// Submission with the fewest remaining tasks first. Waiting raises its rank, so that large
    /// submissions are not starved.
    #[default]
    LeastLeft,
}

/// When an agent reports its load to entries.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HintMode {
    /// Only with results and renewals.
    #[default]
    OnResults,
    /// Also when the last slot of the target becomes occupied or the first becomes free.
    OnEdge,
    /// Also at a fixed minimum interval if the load has changed.
    OnChange,
}

/// Choice of targets, order of tasks, and reports of load.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PlacementRules {
    /// How a target is chosen.
    pub policy: PlacementPolicy,
    /// Order of the tasks of one group.
    pub order: Order,
    /// Waiting time that offsets one remaining task with [`Order::LeastLeft`].
    pub ageing_ms_per_task: Millis,
    /// Maximum number of open tasks for each slot that an agent accepts from all entries together.
    pub open_tasks_per_slot: f64,
    /// Load up to which an entry places tasks on a target, where 1 is a full target. Further tasks
    /// wait in the queue of the entry. The default is so high that it has no effect.
    pub max_load: f64,
    /// Number of times that agents without a free slot may hand a task back to its entry. After
    /// that an agent queues it.
    pub max_hand_backs: u32,
    /// When agents report their load.
    pub hints: HintMode,
    /// Minimum interval between two load hints that are sent on their own instead of with another
    /// message.
    pub hint_cadence_ms: Millis,
    /// Maximum number of such hints a second that one entry receives from all agents. With many
    /// agents the interval is therefore longer than `hint_cadence_ms`.
    pub max_hints_per_s: u32,
    /// Run time of a task on a target away from its data over that on one near it, until ended runs show
    /// another value. With 1, preferences for near targets are ignored. The default is omitted, since builds
    /// without this rule reject it.
    #[serde(skip_serializing_if = "is_off")]
    pub far_factor: f64,
}

/// Far factor at which the place of a task makes no difference.
const NO_FAR_FACTOR: f64 = 1.0;

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "the signature that serde calls"
)]
fn is_off(far_factor: &f64) -> bool {
    *far_factor <= NO_FAR_FACTOR
}

impl PlacementRules {
    /// Whether tasks are placed near their data where that pays off.
    #[must_use]
    pub fn is_near_data_enabled(&self) -> bool {
        !is_off(&self.far_factor)
    }
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
            far_factor: NO_FAR_FACTOR,
        }
    }
}

/// Retry budget and limit of attempts.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RetryRules {
    /// Number of retries that each first attempt adds to the budget of its group; at most 1.
    pub budget_ratio: f64,
    /// Maximum budget of a group, in retries.
    pub budget_burst: u32,
    /// Maximum number of attempts of one task, including the first.
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

/// Temporary ejection of targets that fail while others succeed.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Ejection {
    /// Number of consecutive failures after which a target is ejected.
    pub failures_in_a_row: u32,
    /// Duration of the first ejection; each further one takes twice as long.
    pub first_ms: Millis,
    /// Maximum duration of an ejection.
    pub max_ms: Millis,
    /// Maximum fraction of the targets of a service that may be ejected at the same time.
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
