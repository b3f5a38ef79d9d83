//! Histograms that wait for their report.

use std::collections::HashMap;
use std::collections::VecDeque;

use derive_more::Display;
use dfs_ids::GroupId;
use dfs_ids::ServiceName;
use hdrhistogram::Histogram;

use super::Series;
use super::Statistic;
use super::name::segment;

/// Most pairs of group and service with samples between two reports; the rest is pooled.
pub const MAX_SERIES: usize = 1_024;

/// Largest sample; a larger one counts as this: one hour in microseconds.
const MAX_SAMPLE: u64 = 3_600_000_000;
/// 2 digits keep a histogram of one second under 8 KiB.
const SIGNIFICANT_DIGITS: u8 = 2;

/// Whose samples a histogram holds.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Display)]
pub(super) enum Owner {
    /// A group on a service.
    #[display("{}.{}", segment(_0.as_str()), segment(_1.as_str()))]
    Pair(GroupId, ServiceName),
    /// All pairs beyond [`MAX_SERIES`].
    #[display("other.other")]
    Other,
}

/// The histograms of one owner; a histogram exists once it has a sample.
#[derive(Debug, Default)]
pub(super) struct Samples([Option<Histogram<u32>>; Series::ALL.len()]);

impl Samples {
    fn record_all(&mut self, values: &[(Series, u64)]) {
        for (series, value) in values {
            self.record(*series, *value);
        }
    }

    fn record(&mut self, series: Series, value: u64) {
        let slot = &mut self.0[series as usize];
        if slot.is_none() {
            *slot = Histogram::new(SIGNIFICANT_DIGITS).ok();
        }
        if let Some(histogram) = slot {
            // A resizing histogram takes every value; MAX_SAMPLE bounds its memory.
            let _ = histogram.record(value.min(MAX_SAMPLE));
        }
    }

    /// Each series with samples and its figures.
    pub(super) fn figures(&self) -> impl Iterator<Item = (Series, Statistic, u64)> {
        let pairs = Series::ALL.into_iter().zip(&self.0);
        pairs
            .filter_map(|(series, slot)| Some((series, slot.as_ref()?)))
            .flat_map(|(series, histogram)| {
                Statistic::ALL.map(|statistic| (series, statistic, figure(histogram, statistic)))
            })
    }
}

fn figure(histogram: &Histogram<u32>, statistic: Statistic) -> u64 {
    match statistic {
        Statistic::Count => histogram.len(),
        Statistic::P50 => histogram.value_at_quantile(0.5),
        Statistic::P99 => histogram.value_at_quantile(0.99),
        Statistic::Max => histogram.max(),
    }
}

/// Samples of all owners since their last report.
#[derive(Debug, Default)]
pub(super) struct Pending {
    /// Holds the keys of `order`, each once.
    samples: HashMap<Owner, Samples>,
    /// The owner that has waited longest comes first.
    order: VecDeque<Owner>,
}

/// Where a sample was recorded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Recorded {
    /// Under its own group and service.
    Own,
    /// Under [`Owner::Other`].
    Pooled,
}

impl Pending {
    pub(super) fn record(&mut self, owner: Owner, values: &[(Series, u64)]) -> Recorded {
        if let Some(samples) = self.samples.get_mut(&owner) {
            samples.record_all(values);
            return Recorded::Own;
        }
        if self.order.len() < MAX_SERIES {
            self.add(owner).record_all(values);
            return Recorded::Own;
        }
        match self.samples.get_mut(&Owner::Other) {
            Some(samples) => samples.record_all(values),
            None => self.add(Owner::Other).record_all(values),
        }
        Recorded::Pooled
    }

    /// Adds an owner that is not there yet.
    fn add(&mut self, owner: Owner) -> &mut Samples {
        self.order.push_back(owner.clone());
        self.samples.entry(owner).or_default()
    }

    /// Takes out the owner that has waited longest.
    pub(super) fn pop(&mut self) -> Option<(Owner, Samples)> {
        let owner = self.order.pop_front()?;
        let samples = self.samples.remove(&owner)?;
        Some((owner, samples))
    }

    pub(super) fn len(&self) -> usize {
        self.order.len()
    }
}
