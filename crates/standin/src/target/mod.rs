//! Stand-in for a target.

mod announce;
mod log;
mod options;
mod service;
mod state;

use std::io;
use std::net::SocketAddr;

pub use announce::AnnounceError;
pub use log::Start;
pub use log::StartLog;
pub use options::TargetOptions;
pub use state::Behaviour;
pub use state::TargetControl;

use crate::listener::Listeners;
use announce::Announcer;
use state::TargetState;

/// A target that runs tasks by waiting, and logs every start.
#[derive(Debug)]
pub struct TargetStandin {
    listeners: Listeners,
    state: TargetState,
}

impl TargetStandin {
    /// Starts a target and announces it to its agent, if it has one.
    ///
    /// # Errors
    ///
    /// An address is in use.
    pub async fn spawn(options: TargetOptions) -> io::Result<Self> {
        let announcer = Announcer::new(options.agent, options.lease_ms, options.offer);
        let state = TargetState::new(announcer.clone());
        let commands = service::commands(state.clone());
        let router = service::router(state.clone());
        let mut listeners = Listeners::start(
            options.listen,
            options.control,
            router,
            commands,
            state.faults(),
        )
        .await?;
        let address = options
            .advertised
            .unwrap_or_else(|| listeners.service.address());
        listeners.control.also(announcer.run(address));
        Ok(Self { listeners, state })
    }

    /// Address on which it takes tasks.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.listeners.service.address()
    }

    /// Address for commands.
    #[must_use]
    pub const fn control_address(&self) -> SocketAddr {
        self.listeners.control.address()
    }

    /// Changes how it treats tasks.
    pub async fn set_behaviour(&self, behaviour: Behaviour) {
        self.state.set_behaviour(behaviour).await;
    }

    /// Starts or stops its heartbeats without a goodbye.
    pub fn set_announcing(&self, announcing: bool) {
        self.state.announcer().set_announcing(announcing);
    }

    /// Tells its agent that it leaves, and announces nothing more.
    ///
    /// # Errors
    ///
    /// The agent did not confirm.
    pub async fn goodbye(&self) -> Result<(), AnnounceError> {
        self.state.announcer().goodbye().await
    }

    /// Every start of a task.
    #[must_use]
    pub const fn starts(&self) -> &StartLog {
        self.state.log()
    }

    /// Tasks that run at present.
    #[must_use]
    pub fn running(&self) -> u32 {
        self.state.running()
    }

    /// Most tasks that ever ran at once.
    #[must_use]
    pub fn max_running(&self) -> u32 {
        self.state.max_running()
    }
}
