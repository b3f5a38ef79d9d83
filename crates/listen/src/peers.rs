//! Connections of a listener on which the newest may take the place of the one that has been silent longest.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use crate::Account;
use crate::account::Phase;

/// Open connections by age.
#[derive(Debug, Clone)]
pub struct Peers {
    max_connections: usize,
    open: Arc<Mutex<Open>>,
}

#[derive(Debug, Default)]
struct Open {
    next: u64,
    accounts: BTreeMap<u64, Account>,
}

impl Peers {
    /// Up to so many connections may have no request.
    #[must_use]
    pub fn new(max_connections: usize) -> Self {
        Self {
            max_connections,
            open: Arc::default(),
        }
    }

    /// Adds a connection until the result is dropped. Returns whether the limit is reached, in which case the oldest
    /// connection without a request is evicted.
    #[must_use]
    pub fn add(&self, account: Account) -> (Peer, bool) {
        let mut open = self.lock();
        let is_full = open.accounts.len() >= self.max_connections;
        if is_full {
            let mut accounts = open.accounts.iter();
            let oldest = accounts
                .find(|(_, account)| account.phase() != Phase::Request)
                .map(|(number, _)| *number);
            if let Some(account) = oldest.and_then(|number| open.accounts.remove(&number)) {
                account.evict();
            }
        }
        let number = open.next;
        open.next += 1;
        open.accounts.insert(number, account);
        let peers = self.clone();
        (Peer { peers, number }, is_full)
    }

    fn lock(&self) -> MutexGuard<'_, Open> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// One of the [`Peers`].
#[derive(Debug)]
pub struct Peer {
    peers: Peers,
    number: u64,
}

impl Peer {
    /// The connection no longer counts.
    pub fn leave(self) {}
}

impl Drop for Peer {
    fn drop(&mut self) {
        self.peers.lock().accounts.remove(&self.number);
    }
}
