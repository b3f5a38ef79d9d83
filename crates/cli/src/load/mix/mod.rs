//! The description of a load.

mod check;

use derive_more::Display;
use dfs_ids::GroupId;
use dfs_ids::Millis;
use dfs_ids::ServiceName;
use serde::Deserialize;
use serde::Serialize;

use crate::options::Token;

pub use check::MixError;

/// What is sent, how fast and for how long.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Mix {
    /// What the mix stands for, for a reader.
    #[serde(default, rename = "description")]
    pub _description: Option<String>,
    /// Seed of arrivals and sizes; the same seed sends the same work.
    pub seed: u64,
    /// Mean rate of submissions, without bursts.
    pub rate_per_s: f64,
    /// Time during which submissions arrive.
    pub duration_ms: Millis,
    /// Longest wait for answers after the last arrival.
    pub drain_ms: Millis,
    /// Most submissions that are open at once, each on a connection; a further one is not sent.
    pub max_open: u32,
    /// Whether entries may have addresses other than loopback.
    #[serde(default)]
    pub allow_remote: bool,
    /// Submissions that arrive together.
    #[serde(default)]
    pub burst: Option<Burst>,
    /// Declared run time as a multiple of the slowest task's; none is declared if absent.
    #[serde(default)]
    pub declared: Option<DeclaredFactor>,
    /// Who submits.
    pub groups: Vec<GroupLoad>,
    /// Sizes of submissions.
    pub classes: Vec<ClassLoad>,
    /// Run times of tasks.
    pub run_times: Vec<RunTime>,
}

/// Submissions that arrive together at a fixed interval.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Burst {
    /// Interval between bursts.
    pub every_ms: Millis,
    /// Submissions of one burst.
    pub submissions: u32,
}

/// Bounds of the factor between declared and true run time.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DeclaredFactor {
    /// Lowest factor.
    pub min: f64,
    /// Highest factor.
    pub max: f64,
}

/// One group.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GroupLoad {
    /// Name in the report.
    pub group: GroupId,
    /// Its bearer token.
    pub token: Token,
    /// Service that it calls.
    pub service: ServiceName,
    /// How often it submits, against the other groups.
    pub weight: f64,
}

/// Name of a class in the report.
#[derive(Debug, Clone, Display, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ClassName(String);

/// One kind of submission.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassLoad {
    /// Name in the report.
    pub class: ClassName,
    /// How often it is submitted, against the other classes.
    pub weight: f64,
    /// Deadline; the rules' default if absent.
    #[serde(default)]
    pub deadline_ms: Option<Millis>,
    /// Job or request.
    pub submit: Submit,
}

/// What a class submits.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub enum Submit {
    /// A job with a number of tasks between two bounds.
    Job {
        /// Fewest tasks.
        min_tasks: u32,
        /// Most tasks.
        max_tasks: u32,
    },
    /// A single request.
    Request {
        /// Whether it may run more than once.
        repeatable: bool,
    },
}

/// Run times between two bounds, evenly distributed.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RunTime {
    /// Part of the tasks, against the other bounds.
    pub weight: f64,
    /// Shortest run time.
    pub min_ms: Millis,
    /// Longest run time.
    pub max_ms: Millis,
}
