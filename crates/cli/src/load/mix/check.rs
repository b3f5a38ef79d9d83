//! Checks a mix before anything is sent.

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
const OPEN: RangeInclusive<u32> = 1..=20_000;
const TASKS: RangeInclusive<u32> = 1..=10_000;
const BURSTS: RangeInclusive<u32> = 1..=10_000;
const FACTORS: RangeInclusive<f64> = 0.0..=1_000.0;
const WEIGHTS: RangeInclusive<f64> = 0.0..=1_000_000.0;
/// Submissions of one run, by rate and duration.
const MAX_SUBMISSIONS: f64 = 1_000_000.0;

/// Why a mix cannot be sent.
#[derive(Debug, Snafu)]
pub enum MixError {
    /// A value is outside its bounds.
    #[snafu(display("{path} is {value}: it must be from {min} to {max}"))]
    OutOfRange {
        /// Where the value is.
        path: String,
        /// The value.
        value: String,
        /// Lowest allowed value.
        min: String,
        /// Highest allowed value.
        max: String,
    },
    /// A list has no entry.
    #[snafu(display("{path} is empty: it needs at least one row"))]
    Empty {
        /// The list.
        path: &'static str,
    },
    /// Nothing could be drawn from a list.
    #[snafu(display("all weights of {path} are 0: at least one must be above"))]
    NoWeight {
        /// The list.
        path: &'static str,
    },
    /// Rate and duration do not fit together.
    #[snafu(display(
        "rate and duration make {submissions} submissions: the most is {MAX_SUBMISSIONS}"
    ))]
    TooMany {
        /// Submissions to be expected.
        submissions: f64,
    },
}

impl Mix {
    /// Finds the first value that cannot be sent.
    pub fn check(&self) -> Result<(), MixError> {
        within("rate_per_s", &self.rate_per_s, &RATES_PER_S)?;
        within("duration_ms", &self.duration_ms, &DURATIONS)?;
        within("drain_ms", &self.drain_ms, &DURATIONS)?;
        within("max_open", &self.max_open, &OPEN)?;
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
            let every = std::time::Duration::from(burst.every_ms);
            duration.div_duration_f64(every) * f64::from(burst.submissions)
        });
        self.rate_per_s * duration.as_secs_f64() + bursts
    }

    fn check_burst(&self) -> Result<(), MixError> {
        let Some(burst) = &self.burst else {
            return Ok(());
        };
        within("burst.every_ms", &burst.every_ms, &DURATIONS)?;
        within("burst.submissions", &burst.submissions, &BURSTS)
    }

    fn check_declared(&self) -> Result<(), MixError> {
        let Some(factor) = &self.declared else {
            return Ok(());
        };
        within("declared.min", &factor.min, &FACTORS)?;
        let allowed = factor.min..=*FACTORS.end();
        within("declared.max", &factor.max, &allowed)
    }

    fn check_groups(&self) -> Result<(), MixError> {
        weights("groups", self.groups.iter().map(|group| group.weight))
    }

    fn check_classes(&self) -> Result<(), MixError> {
        weights("classes", self.classes.iter().map(|class| class.weight))?;
        for class in &self.classes {
            let Submit::Job {
                min_tasks,
                max_tasks,
            } = &class.submit
            else {
                continue;
            };
            let path = format!("classes[{}].submit.job", class.class);
            within(&format!("{path}.min_tasks"), min_tasks, &TASKS)?;
            let allowed = *min_tasks..=*TASKS.end();
            within(&format!("{path}.max_tasks"), max_tasks, &allowed)?;
        }
        Ok(())
    }

    fn check_run_times(&self) -> Result<(), MixError> {
        weights("run_times", self.run_times.iter().map(|run| run.weight))?;
        for (n, run) in self.run_times.iter().enumerate() {
            within(&format!("run_times[{n}].min_ms"), &run.min_ms, &RUN_TIMES)?;
            let allowed = run.min_ms..=*RUN_TIMES.end();
            within(&format!("run_times[{n}].max_ms"), &run.max_ms, &allowed)?;
        }
        Ok(())
    }
}

fn within<T>(path: &str, value: &T, allowed: &RangeInclusive<T>) -> Result<(), MixError>
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

fn weights(path: &'static str, weights: impl Iterator<Item = f64>) -> Result<(), MixError> {
    let weights: Vec<f64> = weights.collect();
    ensure!(!weights.is_empty(), EmptySnafu { path });
    for (n, weight) in weights.iter().enumerate() {
        within(&format!("{path}[{n}].weight"), weight, &WEIGHTS)?;
    }
    let sum: f64 = weights.iter().sum();
    ensure!(sum > 0.0, NoWeightSnafu { path });
    Ok(())
}
