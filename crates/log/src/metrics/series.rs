//! Histograms collected between two flushes.

use std::collections::HashMap;
use std::collections::VecDeque;

use derive_more::Display;
use dfs_ids::GroupId;
use dfs_ids::ServiceName;
use hdrhistogram::Histogram;

use super::Series;
use super::Statistic;
use super::name::name_segment;

/// Pairs of group and service with pending histograms; the samples of further pairs are recorded
/// under the group `other`.
pub const MAX_SERIES_PAIRS: usize = 1_024;

/// Larger samples are recorded as this value: one hour in microseconds.
const MAX_SAMPLE: u64 = 3_600_000_000;
/// Precision of a histogram. 2 digits keep one with samples of up to a second under 8 KiB.
const SIGNIFICANT_DIGITS: u8 = 2;

/// Group and service to which samples are attributed.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Display)]
pub(super) enum SeriesKey {
    /// Samples of one group on one service.
    #[display("{}.{}", name_segment(_0.as_str()), name_segment(_1.as_str()))]
    Pair(GroupId, ServiceName),
    /// Samples of all pairs beyond [`MAX_SERIES_PAIRS`].
    #[display("other.other")]
    Other,
}

/// Histograms of one key in the order of [`Series::ALL`]; `None` without samples.
#[derive(Debug, Default)]
pub(super) struct KeyHistograms([Option<Histogram<u32>>; Series::ALL.len()]);

impl KeyHistograms {
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
            // An auto-resizing histogram accepts every value; MAX_SAMPLE bounds its memory.
            let _ = histogram.record(value.min(MAX_SAMPLE));
        }
    }

    /// All statistics of each series that has samples.
    pub(super) fn statistics(&self) -> impl Iterator<Item = (Series, Statistic, u64)> {
        let slots = Series::ALL.into_iter().zip(&self.0);
        slots
            .filter_map(|(series, slot)| Some((series, slot.as_ref()?)))
            .flat_map(|(series, histogram)| {
                Statistic::ALL
                    .map(|statistic| (series, statistic, statistic_value(histogram, statistic)))
            })
    }
}

fn statistic_value(histogram: &Histogram<u32>, statistic: Statistic) -> u64 {
    match statistic {
        Statistic::Count => histogram.len(),
        Statistic::P50 => histogram.value_at_quantile(0.5),
        Statistic::P99 => histogram.value_at_quantile(0.99),
        Statistic::Max => histogram.max(),
    }
}

/// Histograms of all keys that have samples since they were last flushed.
#[derive(Debug, Default)]
pub(super) struct PendingHistograms {
    /// Has the same keys as `order`.
    by_key: HashMap<SeriesKey, KeyHistograms>,
    /// Keys in the order of their first sample, each once.
    order: VecDeque<SeriesKey>,
}

/// Key under which samples were recorded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RecordedUnder {
    /// Their own group and service.
    OwnKey,
    /// [`SeriesKey::Other`].
    Other,
}

impl PendingHistograms {
    pub(super) fn record(&mut self, key: SeriesKey, values: &[(Series, u64)]) -> RecordedUnder {
        if let Some(histograms) = self.by_key.get_mut(&key) {
            histograms.record_all(values);
            return RecordedUnder::OwnKey;
        }
        if self.order.len() < MAX_SERIES_PAIRS {
            self.insert(key).record_all(values);
            return RecordedUnder::OwnKey;
        }
        match self.by_key.get_mut(&SeriesKey::Other) {
            Some(histograms) => histograms.record_all(values),
            None => self.insert(SeriesKey::Other).record_all(values),
        }
        RecordedUnder::Other
    }

    /// Inserts empty histograms for a key, which must not be present.
    fn insert(&mut self, key: SeriesKey) -> &mut KeyHistograms {
        self.order.push_back(key.clone());
        self.by_key.entry(key).or_default()
    }

    /// Removes the key that has waited longest for a flush.
    pub(super) fn pop_oldest(&mut self) -> Option<(SeriesKey, KeyHistograms)> {
        let key = self.order.pop_front()?;
        let histograms = self.by_key.remove(&key)?;
        Some((key, histograms))
    }

    pub(super) fn key_count(&self) -> usize {
        self.order.len()
    }
}
