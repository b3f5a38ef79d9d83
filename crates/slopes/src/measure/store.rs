//! Reads and writes of idle entries at the platform's store.

use std::time::Duration;

use dfs_entry::Entry;
use dfs_log::ProcessName;
use dfs_standin::Platform;
use serde_json::json;
use snafu::ResultExt;

use super::Sample;
use super::cluster::entry_settings;
use super::cluster::parse;
use super::float;
use super::idle::metrics;
use super::relay::Relay;
use super::size_float;
use super::window;
use crate::SlopeName;
use crate::Slopes;
use crate::SlopesError;
use crate::error::EntrySnafu;
use crate::error::StartSnafu;

const ENTRIES: [usize; 4] = [2, 8, 16, 32];
const START: Duration = Duration::from_secs(5);
const WINDOW: Duration = Duration::from_secs(20);

pub(super) async fn store(slopes: &mut Slopes) -> Result<(), SlopesError> {
    for count in ENTRIES {
        let platform = Platform::spawn().await.context(StartSnafu)?;
        let at = platform.addresses();
        let table = Relay::to(at.table_address).await?;
        let mut entries = Vec::new();
        for number in 0..count {
            let settings = entry_settings(number, table.address, at.object_address);
            let metrics = metrics(&ProcessName::Entry(parse(json!("entry"))?))?;
            let entry = Entry::start(parse(settings)?, metrics);
            entries.push(entry.await.context(EntrySnafu)?);
        }
        tokio::time::sleep(START).await;
        let (passed, writes) = (table.passed(), platform.table.commits());
        let mut sample = Sample {
            slopes: &mut *slopes,
            size: "entries",
            x: size_float(count),
        };
        sample.add(SlopeName::StartReads, float(passed.reads));
        sample.add(SlopeName::StartWrites, float(writes));
        let seconds = window(WINDOW).await;
        let after = table.passed();
        let reads = after.reads - passed.reads;
        sample.add(SlopeName::EntryReads, float(reads) / seconds);
        let commits = platform.table.commits() - writes;
        sample.add(SlopeName::EntryWrites, float(commits) / seconds);
        let bytes = after.wire_bytes() - passed.wire_bytes();
        sample.add(SlopeName::EntryStoreBytes, float(bytes) / seconds);
        futures::future::join_all(
            entries
                .into_iter()
                .map(|entry| entry.stop(std::future::pending())),
        )
        .await;
    }
    Ok(())
}
