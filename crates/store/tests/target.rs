//! Target rows survive the agent that wrote them.

mod common;

use common::TIMEOUT_MS;
use common::TestPlatform;
use dfs_conf::StoreSettings;
use dfs_ids::AgentId;
use dfs_ids::Slots;
use dfs_store::TargetRow;
use dfs_store::TargetRows;
use dfs_wire::target::Offer;
use dfs_wire::target::Resources;
use googletest::prelude::*;

fn row(incarnation: u64) -> TargetRow {
    TargetRow {
        incarnation,
        address: "127.0.0.1:8082".parse().unwrap(),
        is_draining: false,
        offer: Offer {
            target: "t-1".parse().unwrap(),
            services: vec!["price".parse().unwrap()],
            slots: Slots::new(4),
            connections: 4,
            resources: Resources::default(),
            labels: Vec::new(),
        },
    }
}

fn rows(platform: &TestPlatform) -> TargetRows {
    let settings = StoreSettings::new(platform.table.address(), platform.objects.address());
    TargetRows::from_settings(platform.client(TIMEOUT_MS), &settings)
}

#[tokio::test]
async fn the_latest_row_of_an_agent_is_read() {
    let platform = TestPlatform::spawn().await;
    let agent: AgentId = "side-1".parse().unwrap();
    let written = rows(&platform);
    written.write(&agent, &row(1)).await.unwrap();
    written.write(&agent, &row(2)).await.unwrap();
    let read = rows(&platform).read(&agent).await;
    assert_that!(read.unwrap(), some(eq(&row(2))));
}

#[tokio::test]
async fn an_agent_without_a_row_reads_none() {
    let platform = TestPlatform::spawn().await;
    let agent: AgentId = "side-1".parse().unwrap();
    let read = rows(&platform).read(&agent).await;
    assert_that!(read.unwrap(), none());
}
