//! Draws the submissions of a mix and when they arrive.

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

/// Separates the generator of arrival times from that of sizes, so that another rate sends the
/// same sizes in the same order.
const TIMES_STREAM: u64 = 0x7469_6d65_7300_0000;

/// One submission of the load.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// When it arrives, after the start.
    pub at: Duration,
    /// Its number, from zero.
    pub serial: usize,
    /// Index of its group in the mix.
    pub group: usize,
    /// Index of its class in the mix.
    pub class: usize,
    /// Run time of each task; at least one.
    pub run_times: Vec<Millis>,
    /// Run time that it declares.
    pub declared: Option<Millis>,
}

impl Arrival {
    /// Run time of the slowest task.
    #[must_use]
    pub fn slowest(&self) -> Millis {
        self.run_times.iter().copied().max().unwrap_or_default()
    }
}

/// All submissions of a mix, in the order of arrival.
pub fn arrivals(mix: &Mix) -> impl Iterator<Item = Arrival> {
    let mut sizes = Sizes::new(mix);
    let times = times(mix).into_iter().enumerate();
    times.map(move |(serial, at)| sizes.draw(serial, at))
}

/// Poisson arrivals and bursts, merged.
fn times(mix: &Mix) -> Vec<Duration> {
    let duration = Duration::from(mix.duration_ms);
    let mut times = poisson(mix.seed, mix.rate_per_s, duration);
    if let Some(burst) = &mix.burst {
        times.extend(bursts(burst, duration));
        times.sort();
    }
    times
}

fn poisson(seed: u64, rate_per_s: f64, duration: Duration) -> Vec<Duration> {
    let mut rng = StdRng::seed_from_u64(seed ^ TIMES_STREAM);
    // One less the draw, since the logarithm of zero is not finite.
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

fn bursts(burst: &Burst, duration: Duration) -> impl Iterator<Item = Duration> {
    let every = Duration::from(burst.every_ms);
    let size = burst.submissions as usize;
    iter::successors(Some(every), move |at| Some(*at + every))
        .take_while(move |at| *at < duration)
        .flat_map(move |at| iter::repeat_n(at, size))
}

/// Generator of groups, classes and run times.
struct Sizes<'a> {
    mix: &'a Mix,
    rng: StdRng,
    groups: WeightedIndex<f64>,
    classes: WeightedIndex<f64>,
    run_times: WeightedIndex<f64>,
}

impl<'a> Sizes<'a> {
    fn new(mix: &'a Mix) -> Self {
        Self {
            mix,
            rng: StdRng::seed_from_u64(mix.seed),
            groups: weighted(mix.groups.iter().map(|group| group.weight)),
            classes: weighted(mix.classes.iter().map(|class| class.weight)),
            run_times: weighted(mix.run_times.iter().map(|run| run.weight)),
        }
    }

    fn draw(&mut self, serial: usize, at: Duration) -> Arrival {
        let group = self.groups.sample(&mut self.rng);
        let class = self.classes.sample(&mut self.rng);
        let tasks = self.tasks(class);
        let run_times: Vec<Millis> = (0..tasks).map(|_| self.run_time()).collect();
        let declared = self.declared(run_times.iter().copied().max());
        Arrival {
            at,
            serial,
            group,
            class,
            run_times,
            declared,
        }
    }

    fn tasks(&mut self, class: usize) -> u32 {
        match self.mix.classes[class].submit {
            Submit::Job {
                min_tasks,
                max_tasks,
            } => self.rng.random_range(min_tasks..=max_tasks),
            Submit::Request { .. } => 1,
        }
    }

    fn run_time(&mut self) -> Millis {
        let row = &self.mix.run_times[self.run_times.sample(&mut self.rng)];
        let run_ms = self.rng.random_range(row.min_ms.get()..=row.max_ms.get());
        Millis::new(run_ms)
    }

    fn declared(&mut self, slowest: Option<Millis>) -> Option<Millis> {
        let bounds = self.mix.declared.as_ref()?;
        let factor = self.rng.random_range(bounds.min..=bounds.max);
        let declared = Duration::from(slowest?).mul_f64(factor);
        u64::try_from(declared.as_millis()).ok().map(Millis::new)
    }
}

fn weighted(weights: impl Iterator<Item = f64>) -> WeightedIndex<f64> {
    WeightedIndex::new(weights).expect("the mix was checked")
}
