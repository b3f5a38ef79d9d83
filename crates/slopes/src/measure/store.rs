//! Load of starting and idle entries on the platform's store.

use std::time::Duration;

use dfs_entry::Entry;
use dfs_log::ProcessName;
use dfs_standin::Platform;
use serde_json::json;
use snafu::ResultExt;

use super::Recorder;
use super::cluster::entry_settings;
use super::cluster::from_json;
use super::idle::metrics;
use super::relay::Relay;
use super::sleep_measured;
use super::u64_to_f64;
use super::usize_to_f64;
use crate::SlopeName;
use crate::Slopes;
use crate::SlopesError;
use crate::error::EntryStartSnafu;
use crate::error::SetupSnafu;

const ENTRIES: [usize; 4] = [2, 8, 16, 32];
const START_WINDOW: Duration = Duration::from_secs(5);
const WINDOW: Duration = Duration::from_secs(20);

pub(super) async fn store(slopes: &mut Slopes) -> Result<(), SlopesError> {
    for count in ENTRIES {
        let platform = Platform::spawn().await.context(SetupSnafu)?;
        let addresses = platform.addresses();
        let table_relay = Relay::start_to(addresses.table_address).await?;
        let mut entries = Vec::new();
        for number in 0..count {
            let settings = entry_settings(number, table_relay.address, addresses.object_address);
            let metrics = metrics(&ProcessName::Entry(from_json(json!("entry"))?))?;
            let entry = Entry::start(from_json(settings)?, metrics);
            entries.push(entry.await.context(EntryStartSnafu)?);
        }
        tokio::time::sleep(START_WINDOW).await;
        let (at_start, commits_at_start) = (table_relay.traffic(), platform.table.commits());
        let mut recorder = Recorder {
            slopes: &mut *slopes,
            x_label: "entries",
            x: usize_to_f64(count),
        };
        recorder.add(SlopeName::StartReads, u64_to_f64(at_start.reads));
        recorder.add(SlopeName::StartWrites, u64_to_f64(commits_at_start));
        let seconds = sleep_measured(WINDOW).await;
        let after = table_relay.traffic();
        let reads = after.reads - at_start.reads;
        recorder.add(SlopeName::EntryReads, u64_to_f64(reads) / seconds);
        let commits = platform.table.commits() - commits_at_start;
        recorder.add(SlopeName::EntryWrites, u64_to_f64(commits) / seconds);
        let bytes = after.wire_bytes() - at_start.wire_bytes();
        recorder.add(SlopeName::EntryStoreBytes, u64_to_f64(bytes) / seconds);
        futures::future::join_all(
            entries
                .into_iter()
                .map(|entry| entry.stop(std::future::pending())),
        )
        .await;
    }
    Ok(())
}
