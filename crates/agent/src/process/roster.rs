//! Chooses the entries to connect to, and runs one connection task for each.

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
use dfs_ids::TakeoverNumber;
use dfs_log::ConfigEvent;
use dfs_log::ErrorText;
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

/// Time for which a configured address is not dialled after it has led to an entry that has a
/// session under its own address. It is dialled again later to find entries that the presence rows
/// do not show.
const PARK_DURATION: Duration = Duration::from_mins(1);
/// Time between two checks for parked addresses that may be dialled again.
const UNPARK_INTERVAL: Duration = Duration::from_secs(1);

/// Time between two reads of the presence rows while there is no connection.
const LIST_INTERVAL_DISCONNECTED: Duration = Duration::from_millis(300);
/// Time between two reads of the presence rows while there is a connection; a new entry is found
/// within this time.
const LIST_INTERVAL_CONNECTED: Duration = Duration::from_secs(5);

/// Input of the [`DialManager`].
#[derive(Debug, Clone)]
pub(crate) enum DialEvent {
    /// A connection to an address was established.
    Connected {
        connection: ConnectionId,
        address: SocketAddr,
    },
    /// A connection was lost.
    Disconnected { connection: ConnectionId },
    /// The entry at the other end of a connection opened a session.
    SessionOpened {
        connection: ConnectionId,
        entry: EntryId,
    },
    /// An entry sent its list of live entries.
    EntriesChanged(Vec<EntryAddress>),
}

/// Keeps a connection task for each configured address that is not parked and for each chosen
/// entry.
pub(crate) struct DialManager {
    settings: Arc<AgentSettings>,
    incarnation: Incarnation,
    takeover: Option<TakeoverNumber>,
    core: CoreHandle,
    sender: mpsc::UnboundedSender<DialEvent>,
    events: mpsc::UnboundedReceiver<DialEvent>,
    dial_tasks: BTreeMap<SocketAddr, JoinHandle<()>>,
    connected: BTreeMap<ConnectionId, SocketAddr>,
    /// Chosen entries by address.
    chosen: BTreeMap<SocketAddr, EntryId>,
    /// Configured addresses that are not dialled until the given time.
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
            takeover: None,
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

    /// Starts with the configured addresses and then follows the presence rows and the lists that
    /// entries send. `takeover` is the number with which the agent attaches.
    pub async fn run(mut self, takeover: Option<TakeoverNumber>) {
        self.takeover = takeover;
        let mut unpark_timer = tokio::time::interval(UNPARK_INTERVAL);
        let mut listing = Box::pin(list_after(self.presence.clone(), Duration::ZERO));
        loop {
            tokio::select! {
                event = self.events.recv() => {
                    let Some(event) = event else { return };
                    self.handle_event(event);
                }
                rows = &mut listing => {
                    self.handle_listing(rows);
                    listing = Box::pin(list_after(self.presence.clone(), self.list_interval()));
                }
                _ = unpark_timer.tick() => {}
            }
            self.unpark_addresses();
            self.update_dial_tasks();
        }
    }

    /// Chooses among the entries of the presence rows; a failed read changes nothing.
    fn handle_listing(&mut self, rows: Result<Vec<Row>, StoreError>) {
        let Ok(rows) = rows else { return };
        for error in self.view.observe(&rows, self.clock.now()) {
            let error = ErrorText::new(&error);
            dfs_log::emit(ConfigEvent::RowUnreadable { error });
        }
        let live = self.view.live().map(|row| EntryAddress {
            entry: row.entry.clone(),
            domain: row.domain.clone(),
            address: row.address,
        });
        let live: Vec<_> = live.collect();
        self.choose_entries(&live);
    }

    /// Entries send their list of live entries in sessions, so frequent reads are only needed
    /// without one.
    fn list_interval(&self) -> Duration {
        if self.connected.is_empty() {
            LIST_INTERVAL_DISCONNECTED
        } else {
            LIST_INTERVAL_CONNECTED
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
                self.park_if_duplicate(connection, &entry);
            }
            DialEvent::EntriesChanged(entries) => self.choose_entries(&entries),
        }
    }

    /// Parks a configured address if it leads to an entry that is also dialled under its own
    /// address. Two connections to one entry would otherwise keep fencing each other.
    fn park_if_duplicate(&mut self, connection: ConnectionId, entry: &EntryId) {
        let Some(address) = self.connected.get(&connection).copied() else {
            return;
        };
        let is_duplicate = !self.chosen.contains_key(&address)
            && self.chosen.values().any(|chosen| chosen == entry);
        if is_duplicate {
            self.parked.insert(address, Instant::now() + PARK_DURATION);
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

    /// Releases the addresses whose time is over, and all of them while there is no connection.
    fn unpark_addresses(&mut self) {
        let now = Instant::now();
        let is_disconnected = self.connected.is_empty();
        self.parked
            .retain(|_, until| !is_disconnected && now < *until);
    }

    fn update_dial_tasks(&mut self) {
        let configured = self.settings.entry_addresses.iter().copied();
        let unparked = configured.filter(|address| !self.parked.contains_key(address));
        let wanted: BTreeSet<_> = unparked.chain(self.chosen.keys().copied()).collect();
        self.dial_tasks.retain(|address, task| {
            let is_wanted = wanted.contains(address);
            if !is_wanted {
                task.abort();
            }
            is_wanted
        });
        for address in wanted {
            let dial = Dial {
                settings: Arc::clone(&self.settings),
                incarnation: self.incarnation,
                takeover: self.takeover,
                address,
                core: self.core.clone(),
                events: self.sender.clone(),
            };
            self.dial_tasks
                .entry(address)
                .or_insert_with(|| tokio::spawn(keep_session(dial)));
        }
    }
}

/// Reads the presence rows after a delay; never resolves without a table service.
async fn list_after(presence: Option<Presence>, delay: Duration) -> Result<Vec<Row>, StoreError> {
    let Some(presence) = presence else {
        return std::future::pending().await;
    };
    tokio::time::sleep(delay).await;
    presence.list().await
}
