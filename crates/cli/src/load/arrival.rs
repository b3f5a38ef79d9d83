//! Generates the submissions of a mix and their arrival times.

use std::iter;
use std::time::Duration;

use dfs_ids::Millis;
use rand::Rng;
use rand::SeedableRng;
use rand::distr::Distribution;
use rand::distr::weighted::WeightedIndex;
use rand::rngs::StdRng;

use super::mix::Burst;
use super::mix::Mix;
use super::mix::Submit;

/// Gives arrival times a random stream of their own, so that a run at another rate sends the same
/// sizes in the same order.
const ARRIVAL_TIME_STREAM: u64 = 0x7469_6d65_7300_0000;

/// One generated submission.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// Arrival time since the start of the load.
    pub at: Duration,
    /// Serial number in order of arrival, from zero.
    pub serial: usize,
    /// Index of its group in the mix.
    pub group: usize,
    /// Index of its class in the mix.
    pub class: usize,
    /// Run time of each task; never empty.
    pub run_times: Vec<Millis>,
    /// Run time declared to the entry, if any.
    pub declared: Option<Millis>,
}

impl Arrival {
    /// Run time of the longest task.
    #[must_use]
    pub fn longest_run_time(&self) -> Millis {
        self.run_times.iter().copied().max().unwrap_or_default()
    }
}

/// Generates all submissions of a mix, in order of arrival.
pub fn arrivals(mix: &Mix) -> impl Iterator<Item = Arrival> {
    let mut generator = SubmissionGenerator::new(mix);
    let times = arrival_times(mix).into_iter().enumerate();
    times.map(move |(serial, at)| generator.generate(serial, at))
}

/// Arrival times of the Poisson process and of the bursts, merged and sorted.
fn arrival_times(mix: &Mix) -> Vec<Duration> {
    let duration = Duration::from(mix.duration_ms);
    let mut times = poisson_times(mix.seed, mix.rate_per_s, duration);
    if let Some(burst) = &mix.burst {
        times.extend(burst_times(burst, duration));
        times.sort();
    }
    times
}

fn poisson_times(seed: u64, rate_per_s: f64, duration: Duration) -> Vec<Duration> {
    let mut rng = StdRng::seed_from_u64(seed ^ ARRIVAL_TIME_STREAM);
    // Uses 1 - u because u may be zero, whose logarithm is not finite.
    let gap = move || -(1.0 - rng.random::<f64>()).ln() / rate_per_s;
    iter::repeat_with(gap)
        .map(Duration::from_secs_f64)
        .scan(Duration::ZERO, |at, gap| {
            *at += gap;
            Some(*at)
        })
        .take_while(|at| *at < duration)
        .collect()
}

fn burst_times(burst: &Burst, duration: Duration) -> impl Iterator<Item = Duration> {
    let interval = Duration::from(burst.every_ms);
    let size = burst.submissions as usize;
    iter::successors(Some(interval), move |at| Some(*at + interval))
        .take_while(move |at| *at < duration)
        .flat_map(move |at| iter::repeat_n(at, size))
}

/// Draws the group, class and run times of each submission.
struct SubmissionGenerator<'a> {
    mix: &'a Mix,
    rng: StdRng,
    groups: WeightedIndex<f64>,
    classes: WeightedIndex<f64>,
    run_times: WeightedIndex<f64>,
}

impl<'a> SubmissionGenerator<'a> {
    fn new(mix: &'a Mix) -> Self {
        Self {
            mix,
            rng: StdRng::seed_from_u64(mix.seed),
            groups: weighted_index(mix.groups.iter().map(|group| group.weight)),
            classes: weighted_index(mix.classes.iter().map(|class| class.weight)),
            run_times: weighted_index(mix.run_times.iter().map(|run| run.weight)),
        }
    }

    fn generate(&mut self, serial: usize, at: Duration) -> Arrival {
        let group = self.groups.sample(&mut self.rng);
        let class = self.classes.sample(&mut self.rng);
        let task_count = self.draw_task_count(class);
        let run_times: Vec<Millis> = (0..task_count).map(|_| self.draw_run_time()).collect();
        let declared = self.draw_declared(run_times.iter().copied().max());
        Arrival {
            at,
            serial,
            group,
            class,
            run_times,
            declared,
        }
    }

    fn draw_task_count(&mut self, class: usize) -> u32 {
        match self.mix.classes[class].submit {
            Submit::Job {
                min_tasks,
                max_tasks,
            } => self.rng.random_range(min_tasks..=max_tasks),
            Submit::Request { .. } => 1,
        }
    }

    fn draw_run_time(&mut self) -> Millis {
        let range = &self.mix.run_times[self.run_times.sample(&mut self.rng)];
        let run_ms = self
            .rng
            .random_range(range.min_ms.get()..=range.max_ms.get());
        Millis::new(run_ms)
    }

    fn draw_declared(&mut self, longest_run_time: Option<Millis>) -> Option<Millis> {
        let bounds = self.mix.declared.as_ref()?;
        let factor = self.rng.random_range(bounds.min..=bounds.max);
        let declared = Duration::from(longest_run_time?).mul_f64(factor);
        u64::try_from(declared.as_millis()).ok().map(Millis::new)
    }
}

fn weighted_index(weights: impl Iterator<Item = f64>) -> WeightedIndex<f64> {
    WeightedIndex::new(weights).expect("Mix::check accepts only usable weights")
}
