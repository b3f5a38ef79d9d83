//! How much longer tasks take away from their data.

/// Weight of the latest run in the means.
const MEAN_WEIGHT: f64 = 1.0 / 64.0;
/// Number of runs, near and away alike, at which the measured factor counts as much as the configured one.
const CONFIGURED_RUNS: f64 = 16.0;
/// Bounds of a single ratio, against runs that were not expected at all.
const RATIO_BOUNDS: (f64, f64) = (0.01, 100.0);

/// Far factor: the run time of a task away from its data over that near it, learnt from ended runs.
///
/// Ratios of run times are averaged by their logarithms, so that a few runs of many times the usual length hardly
/// move the mean.
#[derive(Debug, Clone, Default)]
pub struct FarFactor {
    near: LogMean,
    away: LogMean,
}

#[derive(Debug, Clone, Copy, Default)]
struct LogMean {
    mean: f64,
    runs: u32,
}

impl LogMean {
    fn record(&mut self, ratio: f64) {
        let (low, high) = RATIO_BOUNDS;
        self.runs = self.runs.saturating_add(1);
        // The first runs count alike.
        let weight = MEAN_WEIGHT.max(1.0 / f64::from(self.runs));
        self.mean += weight * (ratio.clamp(low, high).ln() - self.mean);
    }
}

impl FarFactor {
    /// Records the run time of a task that prefers near targets over the one expected on that target near its
    /// data.
    pub fn record(&mut self, is_near: bool, ratio: f64) {
        if !ratio.is_finite() {
            return;
        }
        let mean = if is_near {
            &mut self.near
        } else {
            &mut self.away
        };
        mean.record(ratio);
    }

    /// The factor, from the configured one and the ended runs.
    #[must_use]
    pub fn factor(&self, configured: f64) -> f64 {
        let runs = f64::from(self.near.runs.min(self.away.runs));
        let weight = runs / (runs + CONFIGURED_RUNS);
        let measured = self.away.mean - self.near.mean;
        let factor = (1.0 - weight) * configured.max(1.0).ln() + weight * measured;
        factor.exp().max(1.0)
    }
}
