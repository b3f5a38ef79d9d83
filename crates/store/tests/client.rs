//! The HTTP client distinguishes commits that were certainly not applied from those that may have
//! been.

mod common;

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use common::SHORT_TIMEOUT_MS;
use common::TIMEOUT_MS;
use common::TestPlatform;
use common::change;
use common::unlimited_budget;
use dfs_standin::Mode;
use dfs_store::ApplyError;
use dfs_store::CommitError;
use dfs_store::Condition;
use dfs_store::ConfigStore;
use dfs_store::HttpObjects;
use dfs_store::HttpTable;
use dfs_store::ObjectKey;
use dfs_store::ObjectStore;
use dfs_store::ResultFuture;
use dfs_store::Revision;
use dfs_store::Row;
use dfs_store::RowKey;
use dfs_store::RowWrite;
use dfs_store::StoreError;
use dfs_store::TableService;
use googletest::prelude::*;
use serde_json::json;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

fn single_write() -> Vec<RowWrite> {
    vec![RowWrite::put(RowKey::new("a"), Condition::Any, json!(1))]
}

#[tokio::test]
async fn a_commit_over_a_refused_connection_is_not_applied() {
    let platform = TestPlatform::spawn().await;
    platform.table.faults().set_mode(Mode::Refuse).await;
    let outcome = platform.client(TIMEOUT_MS).commit(single_write()).await;
    assert_that!(
        outcome,
        err(matches_pattern!(CommitError::NotApplied { .. }))
    );
}

#[tokio::test]
async fn a_commit_without_a_reply_has_an_unknown_outcome() {
    let platform = TestPlatform::spawn().await;
    platform.table.faults().set_mode(Mode::Hang).await;
    let outcome = platform
        .client(SHORT_TIMEOUT_MS)
        .commit(single_write())
        .await;
    let timeout = matches_pattern!(CommitError::Unknown {
        source: matches_pattern!(StoreError::Timeout { .. }),
    });
    assert_that!(outcome, err(timeout));
}

#[tokio::test]
async fn a_commit_whose_connection_is_lost_may_have_been_applied() {
    let platform = TestPlatform::spawn().await;
    platform.table.faults().lose_replies(1);
    let outcome = platform.client(TIMEOUT_MS).commit(single_write()).await;
    let broken = matches_pattern!(CommitError::Unknown {
        source: matches_pattern!(StoreError::ConnectionLost { .. }),
    });
    assert_that!(outcome, err(broken));
    assert_that!(platform.table.rows(""), len(eq(1)));
}

/// A server that answers the first request of each connection with `reply` and closes it, with a
/// counter of the requests.
async fn canned_reply_server(reply: &'static str) -> (HttpTable, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let table = HttpTable::new(listener.local_addr().unwrap(), TIMEOUT_MS);
    let requests = Arc::new(AtomicUsize::new(0));
    let counter = Arc::clone(&requests);
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut buffer = [0; 4_096];
            if stream.read(&mut buffer).await.is_ok_and(|len| len > 0) {
                counter.fetch_add(1, Ordering::Relaxed);
            }
            stream.write_all(reply.as_bytes()).await.unwrap();
        }
    });
    (table, requests)
}

#[tokio::test]
async fn a_request_is_never_sent_twice() {
    for reply in ["", "HTTP/1.1 200 OK\r\ncontent-length: 20\r\n\r\n{\"rev"] {
        let (table, requests) = canned_reply_server(reply).await;
        let outcome = table.commit(single_write()).await;
        assert_that!(outcome, err(matches_pattern!(CommitError::Unknown { .. })));
        assert_that!(requests.load(Ordering::Relaxed), eq(1));
    }
}

#[tokio::test]
async fn the_status_tells_whether_a_commit_may_have_been_applied() {
    let (table, _) = canned_reply_server("HTTP/1.1 429 Slow\r\ncontent-length: 0\r\n\r\n").await;
    let outcome = table.commit(single_write()).await;
    assert_that!(
        outcome,
        err(matches_pattern!(CommitError::NotApplied { .. }))
    );
    let (table, _) = canned_reply_server("HTTP/1.1 503 Down\r\ncontent-length: 0\r\n\r\n").await;
    let outcome = table.commit(single_write()).await;
    assert_that!(outcome, err(matches_pattern!(CommitError::Unknown { .. })));
    let (table, _) = canned_reply_server("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}").await;
    let outcome = table.commit(single_write()).await;
    assert_that!(outcome, err(matches_pattern!(CommitError::Unknown { .. })));
}

#[tokio::test]
async fn objects_are_read_as_they_were_written() {
    let platform = TestPlatform::spawn().await;
    let objects = HttpObjects::new(platform.objects.address(), TIMEOUT_MS);
    let content = vec![0, 255, 7];
    let key = ObjectKey::of(&content);
    assert_that!(objects.get(key.clone()).await, ok(none()));
    objects.put(key.clone(), content.clone()).await.unwrap();
    assert_that!(objects.get(key).await, ok(some(eq(&content))));
}

/// A table service that loses the reply to its first commit and cannot be reached afterwards.
struct DownAfterCommit(TestPlatform);

fn connect_error() -> StoreError {
    StoreError::Connect {
        address: "127.0.0.1:1".parse().unwrap(),
        message: "down".to_owned(),
    }
}

impl TableService for DownAfterCommit {
    fn read(&self, keys: Vec<RowKey>) -> ResultFuture<'_, Vec<Option<Row>>, StoreError> {
        Box::pin(async move {
            if self.0.table.commits() > 0 {
                return Err(connect_error());
            }
            self.0.client(TIMEOUT_MS).read(keys).await
        })
    }

    fn scan(&self, _: RowKey) -> ResultFuture<'_, Vec<Row>, StoreError> {
        Box::pin(async { Err(connect_error()) })
    }

    fn commit(&self, writes: Vec<RowWrite>) -> ResultFuture<'_, Revision, CommitError> {
        Box::pin(async move {
            self.0.table.faults().lose_replies(1);
            self.0.client(TIMEOUT_MS).commit(writes).await
        })
    }
}

#[tokio::test]
async fn a_change_whose_reply_is_lost_before_an_outage_is_unknown() {
    let platform = TestPlatform::spawn().await;
    let objects = Arc::new(HttpObjects::new(platform.objects.address(), TIMEOUT_MS));
    let table = Arc::new(DownAfterCommit(platform));
    let store = ConfigStore::new(table.clone(), objects, unlimited_budget());
    let outcome = store.apply(&change(0, "a")).await;
    // The read that fails in the outage alone would give `NotApplied`, but the change was accepted.
    assert_that!(outcome, err(matches_pattern!(ApplyError::Unknown { .. })));
    assert_that!(table.0.table.commits(), eq(1));
}
