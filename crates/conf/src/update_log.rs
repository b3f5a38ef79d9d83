//! Serialized updates to the active version, for processes that hold an older one.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Arc;

use dfs_ids::ConfigVersion;
use serde_json::value::RawValue;
use serde_json::value::to_raw_value;

use crate::Config;
use crate::ConfigDiff;
use crate::ConfigUpdate;

/// Number of diffs between successive versions that are kept to update processes with an older
/// version.
const MAX_DIFFS: usize = 16;

/// A serialized update to the active version.
#[derive(Debug, Clone)]
pub struct EncodedUpdate {
    /// The JSON of a [`ConfigUpdate`].
    pub json: Arc<RawValue>,
    /// Whether it is the whole configuration.
    pub is_full: bool,
}

/// The latest changes of the active configuration, from which updates are made.
#[derive(Debug, Default)]
pub struct UpdateLog {
    /// Diffs between the versions that were active, the newest last. The base of each is the result
    /// of the one before it.
    diffs: VecDeque<ConfigDiff>,
    /// Serialized updates to the active version, by the version that they start from; zero stands
    /// for the whole configuration.
    encoded: BTreeMap<ConfigVersion, EncodedUpdate>,
}

impl UpdateLog {
    /// Records that `config` has replaced the active version. `received` are the diffs that led to it, if it was
    /// received as such.
    pub fn record(
        &mut self,
        previous: Option<&Config>,
        config: &Config,
        received: Vec<ConfigDiff>,
    ) {
        self.encoded.clear();
        let Some(previous) = previous else {
            return;
        };
        let diffs: Vec<_> = received
            .into_iter()
            .filter(|diff| diff.version > previous.version)
            .collect();
        if diffs.is_empty() {
            self.diffs.push_back(ConfigDiff::between(previous, config));
        }
        self.diffs.extend(diffs);
        let surplus = self.diffs.len().saturating_sub(MAX_DIFFS);
        self.diffs.drain(..surplus);
    }

    /// The update from version `held` to the active configuration `current`, `None` if none is needed.
    ///
    /// It is computed and serialized once, however many processes need it.
    pub fn update_for(&mut self, held: ConfigVersion, current: &Config) -> Option<EncodedUpdate> {
        if held >= current.version {
            return None;
        }
        let from = self.diffs.iter().position(|diff| diff.base == held);
        let base = from.map_or(ConfigVersion::default(), |_| held);
        if let Some(encoded) = self.encoded.get(&base) {
            return Some(encoded.clone());
        }
        let encoded = match from {
            Some(from) => self.encode_diffs(from, current)?,
            None => EncodedUpdate::full(current)?,
        };
        self.encoded.insert(base, encoded.clone());
        Some(encoded)
    }

    /// Serializes the diffs from the one at index `from` on, or the whole configuration if that is smaller.
    fn encode_diffs(&mut self, from: usize, current: &Config) -> Option<EncodedUpdate> {
        let diffs: Vec<_> = self.diffs.range(from..).cloned().collect();
        let is_single = diffs.len() == 1;
        let json = Arc::from(to_raw_value(&ConfigUpdate::Diffs(diffs)).ok()?);
        let encoded = EncodedUpdate {
            json,
            is_full: false,
        };
        // A single diff is hardly larger than the configuration.
        if is_single {
            return Some(encoded);
        }
        let full = self.update_for(ConfigVersion::default(), current)?;
        let is_smaller = full.json.get().len() < encoded.json.get().len();
        Some(if is_smaller { full } else { encoded })
    }
}

impl EncodedUpdate {
    fn full(config: &Config) -> Option<Self> {
        let update = ConfigUpdate::Full(Box::new(Config::clone(config)));
        let json = Arc::from(to_raw_value(&update).ok()?);
        Some(Self {
            json,
            is_full: true,
        })
    }
}
