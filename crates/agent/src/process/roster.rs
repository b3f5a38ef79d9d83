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
use crate::connection::keep_dialling;

/// Time for which an address of the settings is left alone after it led to an entry that has a
/// session already. It is dialled again to find entries that the presence rows do not show.
const PARK: Duration = Duration::from_mins(1);
/// Time between two looks at parked addresses.
const LOOK: Duration = Duration::from_secs(1);

/// Time between two reads of the presence rows without any session.
const FIND_FIRST: Duration = Duration::from_millis(300);
/// Time between two reads of the presence rows beside sessions; a new entry is found this soon.
const FIND_AGAIN: Duration = Duration::from_secs(5);

/// What the roster learns.
#[derive(Debug, Clone)]
pub(crate) enum RosterEvent {
    /// An address was connected.
    Connected {
        connection: ConnectionId,
        address: SocketAddr,
    },
    /// A connection was lost.
    Disconnected { connection: ConnectionId },
    /// A session was opened.
    Opened {
        connection: ConnectionId,
        entry: EntryId,
    },
    /// Entries that may be dialled, according to one of them.
    Entries(Vec<EntryAddress>),
}

/// Keeps a session with each of the chosen entries.
pub(crate) struct Roster {
    settings: Arc<AgentSettings>,
    incarnation: Incarnation,
    core: CoreHandle,
    sender: mpsc::UnboundedSender<RosterEvent>,
    events: mpsc::UnboundedReceiver<RosterEvent>,
    dialled: BTreeMap<SocketAddr, JoinHandle<()>>,
    connected: BTreeMap<ConnectionId, SocketAddr>,
    /// Chosen entries by address.
    chosen: BTreeMap<SocketAddr, EntryId>,
    parked: BTreeMap<SocketAddr, Instant>,
    presence: Option<Presence>,
    view: PresenceView,
    clock: Clock,
}

impl Roster {
    pub fn new(
        settings: Arc<AgentSettings>,
        incarnation: Incarnation,
        core: CoreHandle,
        sender: mpsc::UnboundedSender<RosterEvent>,
        events: mpsc::UnboundedReceiver<RosterEvent>,
        presence: Option<Presence>,
    ) -> Self {
        Self {
            settings,
            incarnation,
            core,
            sender,
            events,
            dialled: BTreeMap::new(),
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
        let mut look = tokio::time::interval(LOOK);
        let mut find = Box::pin(find_after(self.presence.clone(), Duration::ZERO));
        loop {
            tokio::select! {
                event = self.events.recv() => {
                    let Some(event) = event else { return };
                    self.take(event);
                }
                rows = &mut find => {
                    self.observe(rows);
                    find = Box::pin(find_after(self.presence.clone(), self.find_interval()));
                }
                _ = look.tick() => {}
            }
            self.unpark();
            self.dial_wanted();
        }
    }

    /// Takes the presence rows of one read; a failed one changes nothing.
    fn observe(&mut self, rows: Result<Vec<Row>, StoreError>) {
        let Ok(rows) = rows else { return };
        self.view.observe(&rows, self.clock.now());
        let live = self.view.live().map(|row| EntryAddress {
            entry: row.entry.clone(),
            domain: row.domain.clone(),
            address: row.address,
        });
        let live: Vec<_> = live.collect();
        self.choose(&live);
    }

    /// Entries tell of each other in sessions, so the rows are read often only without one.
    fn find_interval(&self) -> Duration {
        if self.connected.is_empty() {
            FIND_FIRST
        } else {
            FIND_AGAIN
        }
    }

    fn take(&mut self, event: RosterEvent) {
        match event {
            RosterEvent::Connected {
                connection,
                address,
            } => {
                self.connected.insert(connection, address);
            }
            RosterEvent::Disconnected { connection } => {
                self.connected.remove(&connection);
            }
            RosterEvent::Opened { connection, entry } => self.on_opened(connection, &entry),
            RosterEvent::Entries(entries) => self.choose(&entries),
        }
    }

    /// Leaves an address alone if it leads to an entry that is dialled under its own address, since
    /// two connections to one entry would fence each other for ever.
    fn on_opened(&mut self, connection: ConnectionId, entry: &EntryId) {
        let Some(address) = self.connected.get(&connection).copied() else {
            return;
        };
        let is_second = !self.chosen.contains_key(&address)
            && self.chosen.values().any(|chosen| chosen == entry);
        if is_second {
            self.parked.insert(address, Instant::now() + PARK);
        }
    }

    fn choose(&mut self, entries: &[EntryAddress]) {
        let candidates: Vec<_> = entries
            .iter()
            .map(|e| Candidate {
                entry: e.entry.clone(),
                domain: e.domain.clone(),
            })
            .collect();
        let most = self.settings.max_sessions as usize;
        let chosen = select_entries(
            &self.settings.agent,
            &self.settings.domain,
            &candidates,
            most,
        );
        self.chosen = entries
            .iter()
            .filter(|entry| chosen.contains(&entry.entry))
            .map(|entry| (entry.address, entry.entry.clone()))
            .collect();
    }

    /// Without any connection every known address is dialled.
    fn unpark(&mut self) {
        let now = Instant::now();
        let alone = self.connected.is_empty();
        self.parked.retain(|_, until| !alone && now < *until);
    }

    fn dial_wanted(&mut self) {
        let of_settings = self.settings.entry_addresses.iter().copied();
        let unparked = of_settings.filter(|address| !self.parked.contains_key(address));
        let wanted: BTreeSet<_> = unparked.chain(self.chosen.keys().copied()).collect();
        self.dialled.retain(|address, task| {
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
                roster: self.sender.clone(),
            };
            self.dialled
                .entry(address)
                .or_insert_with(|| tokio::spawn(keep_dialling(dial)));
        }
    }
}

/// Reads the presence rows after a while; without a table service it never ends.
async fn find_after(presence: Option<Presence>, wait: Duration) -> Result<Vec<Row>, StoreError> {
    let Some(presence) = presence else {
        return std::future::pending().await;
    };
    tokio::time::sleep(wait).await;
    presence.list().await
}
