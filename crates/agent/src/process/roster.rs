//! Which entries the agent dials.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use dfs_conf::AgentSettings;
use dfs_ids::Clock;
use dfs_ids::EntryId;
use dfs_ids::Incarnation;
use dfs_policy::ConnectionId;
use dfs_policy::membership::Candidate;
use dfs_policy::membership::select_entries;
use dfs_store::Presence;
use dfs_store::PresenceView;
use dfs_store::Row;
use dfs_store::StoreError;
use dfs_wire::session::EntryAddress;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

use super::CoreHandle;
use crate::connection::Dial;
use crate::connection::keep_session;

/// Time for which an address of the settings is left alone after it led to an entry that has a
/// session already. It is dialled again to find entries that the presence rows do not show.
const PARK_TIME: Duration = Duration::from_mins(1);
/// Time between two looks at parked addresses.
const UNPARK_INTERVAL: Duration = Duration::from_secs(1);

/// Time between two reads of the presence rows without any session.
const LIST_INTERVAL_WITHOUT_SESSION: Duration = Duration::from_millis(300);
/// Time between two reads of the presence rows beside sessions; a new entry is found this soon.
const LIST_INTERVAL_WITH_SESSION: Duration = Duration::from_secs(5);

/// What the roster learns.
#[derive(Debug, Clone)]
pub(crate) enum DialEvent {
    /// An address was connected.
    Connected {
        connection: ConnectionId,
        address: SocketAddr,
    },
    /// A connection was lost.
    Disconnected { connection: ConnectionId },
    /// A session was opened.
    SessionOpened {
        connection: ConnectionId,
        entry: EntryId,
    },
    /// Entries that may be dialled, according to one of them.
    EntriesChanged(Vec<EntryAddress>),
}

/// Keeps a session with each of the chosen entries.
pub(crate) struct DialManager {
    settings: Arc<AgentSettings>,
    incarnation: Incarnation,
    core: CoreHandle,
    sender: mpsc::UnboundedSender<DialEvent>,
    events: mpsc::UnboundedReceiver<DialEvent>,
    dial_tasks: BTreeMap<SocketAddr, JoinHandle<()>>,
    connected: BTreeMap<ConnectionId, SocketAddr>,
    /// Chosen entries by address.
    chosen: BTreeMap<SocketAddr, EntryId>,
    parked: BTreeMap<SocketAddr, Instant>,
    presence: Option<Presence>,
    view: PresenceView,
    clock: Clock,
}

impl DialManager {
    pub fn new(
        settings: Arc<AgentSettings>,
        incarnation: Incarnation,
        core: CoreHandle,
        sender: mpsc::UnboundedSender<DialEvent>,
        events: mpsc::UnboundedReceiver<DialEvent>,
        presence: Option<Presence>,
    ) -> Self {
        Self {
            settings,
            incarnation,
            core,
            sender,
            events,
            dial_tasks: BTreeMap::new(),
            connected: BTreeMap::new(),
            chosen: BTreeMap::new(),
            parked: BTreeMap::new(),
            presence,
            view: PresenceView::default(),
            clock: Clock::start(),
        }
    }

    /// Starts with the addresses of the settings and follows what entries say.
    pub async fn run(mut self) {
        let mut unpark_timer = tokio::time::interval(UNPARK_INTERVAL);
        let mut listing = Box::pin(list_after(self.presence.clone(), Duration::ZERO));
        loop {
            tokio::select! {
                event = self.events.recv() => {
                    let Some(event) = event else { return };
                    self.handle_event(event);
                }
                rows = &mut listing => {
                    self.update_view(rows);
                    listing = Box::pin(list_after(self.presence.clone(), self.list_interval()));
                }
                _ = unpark_timer.tick() => {}
            }
            self.unpark_addresses();
            self.update_dials();
        }
    }

    /// Takes the presence rows of one read; a failed one changes nothing.
    fn update_view(&mut self, rows: Result<Vec<Row>, StoreError>) {
        let Ok(rows) = rows else { return };
        self.view.observe(&rows, self.clock.now());
        let live = self.view.live().map(|row| EntryAddress {
            entry: row.entry.clone(),
            domain: row.domain.clone(),
            address: row.address,
        });
        let live: Vec<_> = live.collect();
        self.choose_entries(&live);
    }

    /// Entries tell of each other in sessions, so the rows are read often only without one.
    fn list_interval(&self) -> Duration {
        if self.connected.is_empty() {
            LIST_INTERVAL_WITHOUT_SESSION
        } else {
            LIST_INTERVAL_WITH_SESSION
        }
    }

    fn handle_event(&mut self, event: DialEvent) {
        match event {
            DialEvent::Connected {
                connection,
                address,
            } => {
                self.connected.insert(connection, address);
            }
            DialEvent::Disconnected { connection } => {
                self.connected.remove(&connection);
            }
            DialEvent::SessionOpened { connection, entry } => {
                self.handle_session_opened(connection, &entry);
            }
            DialEvent::EntriesChanged(entries) => self.choose_entries(&entries),
        }
    }

    /// Leaves an address alone if it leads to an entry that is dialled under its own address, since
    /// two connections to one entry would fence each other for ever.
    fn handle_session_opened(&mut self, connection: ConnectionId, entry: &EntryId) {
        let Some(address) = self.connected.get(&connection).copied() else {
            return;
        };
        let is_duplicate = !self.chosen.contains_key(&address)
            && self.chosen.values().any(|chosen| chosen == entry);
        if is_duplicate {
            self.parked.insert(address, Instant::now() + PARK_TIME);
        }
    }

    fn choose_entries(&mut self, entries: &[EntryAddress]) {
        let candidates: Vec<_> = entries
            .iter()
            .map(|entry| Candidate {
                entry: entry.entry.clone(),
                domain: entry.domain.clone(),
            })
            .collect();
        let max_sessions = self.settings.max_sessions as usize;
        let chosen = select_entries(
            &self.settings.agent,
            &self.settings.domain,
            &candidates,
            max_sessions,
        );
        self.chosen = entries
            .iter()
            .filter(|entry| chosen.contains(&entry.entry))
            .map(|entry| (entry.address, entry.entry.clone()))
            .collect();
    }

    /// Without any connection every known address is dialled.
    fn unpark_addresses(&mut self) {
        let now = Instant::now();
        let is_disconnected = self.connected.is_empty();
        self.parked
            .retain(|_, until| !is_disconnected && now < *until);
    }

    fn update_dials(&mut self) {
        let configured = self.settings.entry_addresses.iter().copied();
        let unparked = configured.filter(|address| !self.parked.contains_key(address));
        let wanted: BTreeSet<_> = unparked.chain(self.chosen.keys().copied()).collect();
        self.dial_tasks.retain(|address, task| {
            let keep = wanted.contains(address);
            if !keep {
                task.abort();
            }
            keep
        });
        for address in wanted {
            let dial = Dial {
                settings: Arc::clone(&self.settings),
                incarnation: self.incarnation,
                address,
                core: self.core.clone(),
                dial_events: self.sender.clone(),
            };
            self.dial_tasks
                .entry(address)
                .or_insert_with(|| tokio::spawn(keep_session(dial)));
        }
    }
}

/// Reads the presence rows after a while; without a table service it never ends.
async fn list_after(presence: Option<Presence>, wait: Duration) -> Result<Vec<Row>, StoreError> {
    let Some(presence) = presence else {
        return std::future::pending().await;
    };
    tokio::time::sleep(wait).await;
    presence.list().await
}
