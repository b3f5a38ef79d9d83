//! Random submissions drawn like those of real deployments.

use rand::Rng;
use rand::rngs::SmallRng;

/// Tasks of one submission.
#[derive(Debug, Clone)]
pub struct Job {
    /// Run time of each task, in microseconds.
    pub run_us: Vec<u64>,
    /// Deadline, in milliseconds.
    pub deadline_ms: u64,
}

/// A class of submissions with the same range of sizes.
#[derive(Debug, Clone, Copy)]
struct Class {
    /// Relative frequency among the classes of a mix.
    weight: f64,
    min_tasks: usize,
    max_tasks: usize,
    deadline_ms: u64,
}

/// A deployment: its classes of submissions and the delay between its failure domains.
#[derive(Debug, Clone, Copy)]
pub struct Mix {
    /// Name in the printed tables.
    pub name: &'static str,
    /// One-way delay between an entry and an agent, in microseconds.
    pub delay_us: u64,
    classes: [Class; 4],
}

const fn class(weight: f64, min_tasks: usize, max_tasks: usize, deadline_ms: u64) -> Class {
    Class {
        weight,
        min_tasks,
        max_tasks,
        deadline_ms,
    }
}

/// Mix of the member desk.
pub const MEMBER_DESK: Mix = Mix {
    name: "member-desk",
    delay_us: 1_000,
    classes: [
        class(0.60, 1, 1, 15_000),
        class(0.30, 2, 8, 20_000),
        class(0.08, 20, 80, 30_000),
        class(0.02, 160, 320, 60_000),
    ],
};

/// Mix of the returns service.
pub const RETURNS: Mix = Mix {
    name: "returns-svc",
    delay_us: 500,
    classes: [
        class(0.40, 1, 1, 15_000),
        class(0.40, 2, 10, 20_000),
        class(0.15, 20, 100, 30_000),
        class(0.05, 160, 320, 60_000),
    ],
};

/// Fraction of long tasks in every mix.
const LONG_TASK_FRACTION: f64 = 0.03;
const SHORT_RUN_US: std::ops::RangeInclusive<u64> = 50_000..=1_000_000;
const LONG_RUN_US: std::ops::RangeInclusive<u64> = 2_000_000..=5_000_000;
const MICROS_PER_SECOND: f64 = 1e6;

impl Mix {
    /// Draws one submission.
    pub fn draw(&self, random: &mut SmallRng) -> Job {
        let mut left = random.random::<f64>() * self.classes.iter().map(|c| c.weight).sum::<f64>();
        let class = self.classes.iter().find(|class| {
            left -= class.weight;
            left <= 0.0
        });
        let class = class.unwrap_or(&self.classes[0]);
        let tasks = random.random_range(class.min_tasks..=class.max_tasks);
        Job {
            run_us: (0..tasks).map(|_| run_us(random)).collect(),
            deadline_ms: class.deadline_ms,
        }
    }

    /// Submissions per second that keep `slots` slots busy on average.
    pub fn rate_per_s(&self, slots: f64) -> f64 {
        let mean =
            |range: &std::ops::RangeInclusive<u64>| to_f64(range.start() + range.end()) / 2.0;
        let mean_run_us = LONG_TASK_FRACTION * mean(&LONG_RUN_US)
            + (1.0 - LONG_TASK_FRACTION) * mean(&SHORT_RUN_US);
        let mean_tasks: f64 = self
            .classes
            .iter()
            .map(|c| c.weight * to_f64((c.min_tasks + c.max_tasks) as u64) / 2.0)
            .sum();
        slots * MICROS_PER_SECOND / mean_run_us / mean_tasks
    }
}

fn run_us(random: &mut SmallRng) -> u64 {
    if random.random_bool(LONG_TASK_FRACTION) {
        random.random_range(LONG_RUN_US)
    } else {
        random.random_range(SHORT_RUN_US)
    }
}

#[expect(
    clippy::cast_precision_loss,
    reason = "counts and times of one simulation stay far below 2^52"
)]
pub const fn to_f64(value: u64) -> f64 {
    value as f64
}
