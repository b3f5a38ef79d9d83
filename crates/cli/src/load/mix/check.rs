//! Validates a mix before anything is sent.

use std::fmt::Display;
use std::ops::RangeInclusive;

use dfs_ids::Millis;
use snafu::Snafu;
use snafu::ensure;

use super::Mix;
use super::Submit;

const RATES_PER_S: RangeInclusive<f64> = 0.01..=20_000.0;
const DURATIONS: RangeInclusive<Millis> = Millis::new(1)..=Millis::new(3_600_000);
const RUN_TIMES: RangeInclusive<Millis> = Millis::new(0)..=Millis::new(600_000);
const OPEN_SUBMISSIONS: RangeInclusive<u32> = 1..=20_000;
const JOB_TASKS: RangeInclusive<u32> = 1..=10_000;
const BURST_SUBMISSIONS: RangeInclusive<u32> = 1..=10_000;
const DECLARED_FACTORS: RangeInclusive<f64> = 0.0..=1_000.0;
const WEIGHTS: RangeInclusive<f64> = 0.0..=1_000_000.0;
/// Most submissions expected in one run, from rate, bursts and duration.
const MAX_SUBMISSIONS: f64 = 1_000_000.0;

/// Why a mix is invalid.
#[derive(Debug, Snafu)]
pub enum MixError {
    /// A value is outside its allowed range.
    #[snafu(display("{path} is {value}: it must be from {min} to {max}"))]
    OutOfRange {
        /// Path of the value within the mix.
        path: String,
        /// The rejected value.
        value: String,
        /// Lowest allowed value.
        min: String,
        /// Highest allowed value.
        max: String,
    },
    /// A list that needs at least one row is empty.
    #[snafu(display("{path} is empty: it needs at least one row"))]
    Empty {
        /// Path of the list within the mix.
        path: &'static str,
    },
    /// All weights of a list are zero, so nothing can be drawn from it.
    #[snafu(display("all weights of {path} are 0: at least one must be positive"))]
    NoWeight {
        /// Path of the list within the mix.
        path: &'static str,
    },
    /// Rate, bursts and duration give too many submissions.
    #[snafu(display(
        "rate and duration give {submissions} submissions: at most {MAX_SUBMISSIONS} are allowed"
    ))]
    TooMany {
        /// Expected number of submissions.
        submissions: f64,
    },
}

impl Mix {
    /// Returns an error for the first invalid value.
    pub fn check(&self) -> Result<(), MixError> {
        check_range("rate_per_s", &self.rate_per_s, &RATES_PER_S)?;
        check_range("duration_ms", &self.duration_ms, &DURATIONS)?;
        check_range("drain_ms", &self.drain_ms, &DURATIONS)?;
        check_range("max_open", &self.max_open, &OPEN_SUBMISSIONS)?;
        self.check_burst()?;
        self.check_declared()?;
        self.check_groups()?;
        self.check_classes()?;
        self.check_run_times()?;
        let submissions = self.expected_submissions();
        ensure!(submissions <= MAX_SUBMISSIONS, TooManySnafu { submissions });
        Ok(())
    }

    fn expected_submissions(&self) -> f64 {
        let duration = std::time::Duration::from(self.duration_ms);
        let bursts = self.burst.as_ref().map_or(0.0, |burst| {
            let interval = std::time::Duration::from(burst.every_ms);
            duration.div_duration_f64(interval) * f64::from(burst.submissions)
        });
        self.rate_per_s * duration.as_secs_f64() + bursts
    }

    fn check_burst(&self) -> Result<(), MixError> {
        let Some(burst) = &self.burst else {
            return Ok(());
        };
        check_range("burst.every_ms", &burst.every_ms, &DURATIONS)?;
        check_range("burst.submissions", &burst.submissions, &BURST_SUBMISSIONS)
    }

    fn check_declared(&self) -> Result<(), MixError> {
        let Some(factor) = &self.declared else {
            return Ok(());
        };
        check_range("declared.min", &factor.min, &DECLARED_FACTORS)?;
        let allowed = factor.min..=*DECLARED_FACTORS.end();
        check_range("declared.max", &factor.max, &allowed)
    }

    fn check_groups(&self) -> Result<(), MixError> {
        check_weights("groups", self.groups.iter().map(|group| group.weight))
    }

    fn check_classes(&self) -> Result<(), MixError> {
        check_weights("classes", self.classes.iter().map(|class| class.weight))?;
        for class in &self.classes {
            let Submit::Job {
                min_tasks,
                max_tasks,
            } = &class.submit
            else {
                continue;
            };
            let path = format!("classes[{}].submit.job", class.class);
            check_range(&format!("{path}.min_tasks"), min_tasks, &JOB_TASKS)?;
            let allowed = *min_tasks..=*JOB_TASKS.end();
            check_range(&format!("{path}.max_tasks"), max_tasks, &allowed)?;
        }
        Ok(())
    }

    fn check_run_times(&self) -> Result<(), MixError> {
        check_weights("run_times", self.run_times.iter().map(|run| run.weight))?;
        for (n, run) in self.run_times.iter().enumerate() {
            check_range(&format!("run_times[{n}].min_ms"), &run.min_ms, &RUN_TIMES)?;
            let allowed = run.min_ms..=*RUN_TIMES.end();
            check_range(&format!("run_times[{n}].max_ms"), &run.max_ms, &allowed)?;
        }
        Ok(())
    }
}

fn check_range<T>(path: &str, value: &T, allowed: &RangeInclusive<T>) -> Result<(), MixError>
where
    T: PartialOrd + Display,
{
    ensure!(
        allowed.contains(value),
        OutOfRangeSnafu {
            path,
            value: value.to_string(),
            min: allowed.start().to_string(),
            max: allowed.end().to_string(),
        }
    );
    Ok(())
}

fn check_weights(path: &'static str, weights: impl Iterator<Item = f64>) -> Result<(), MixError> {
    let weights: Vec<f64> = weights.collect();
    ensure!(!weights.is_empty(), EmptySnafu { path });
    for (n, weight) in weights.iter().enumerate() {
        check_range(&format!("{path}[{n}].weight"), weight, &WEIGHTS)?;
    }
    let sum: f64 = weights.iter().sum();
    ensure!(sum > 0.0, NoWeightSnafu { path });
    Ok(())
}
