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

use crate::listener::Servers;
use announce::Announcer;
use state::TargetState;

/// A target that sleeps for the run time of each task, and logs every start.
#[derive(Debug)]
pub struct TargetStandin {
    servers: Servers,
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
        let control_router = service::control_router(state.clone());
        let router = service::router(state.clone());
        let mut servers = Servers::start(
            options.listen,
            options.control,
            router,
            control_router,
            state.faults(),
        )
        .await?;
        let address = options
            .advertised
            .unwrap_or_else(|| servers.service.address());
        servers.control.spawn(announcer.run(address));
        Ok(Self { servers, state })
    }

    /// Address on which the target accepts tasks.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.servers.service.address()
    }

    /// Address of the control interface.
    #[must_use]
    pub const fn control_address(&self) -> SocketAddr {
        self.servers.control.address()
    }

    /// Changes how the target handles tasks; returns once the listener has followed.
    pub async fn set_behaviour(&self, behaviour: Behaviour) {
        self.state.set_behaviour(behaviour).await;
    }

    /// Starts or stops the heartbeats; sends no goodbye.
    pub fn set_announcing(&self, announcing: bool) {
        self.state.announcer().set_announcing(announcing);
    }

    /// Tells the agent that the target is shutting down, and stops the heartbeats.
    ///
    /// # Errors
    ///
    /// The target has no agent, or the agent did not confirm.
    pub async fn goodbye(&self) -> Result<(), AnnounceError> {
        self.state.announcer().goodbye().await
    }

    /// Log of all task starts.
    #[must_use]
    pub const fn starts(&self) -> &StartLog {
        self.state.log()
    }

    /// Number of tasks running now.
    #[must_use]
    pub fn running(&self) -> u32 {
        self.state.running()
    }

    /// Highest number of tasks that have run at once.
    #[must_use]
    pub fn max_running(&self) -> u32 {
        self.state.max_running()
    }
}
