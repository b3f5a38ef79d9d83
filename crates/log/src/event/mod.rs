//! The events that the programs write to their logs, by area.

mod catalogue;
mod config;
mod process;
mod request;
mod session;
mod target;
mod value;

use derive_more::Display;
use derive_more::From;
use dfs_conf::LogLevel;

pub use catalogue::EventKind;
pub use config::ConfigEvent;
pub use config::ConfigSource;
pub use process::ClientLimit;
pub use process::Listener;
pub use process::NotReadyCause;
pub use process::ProcessEvent;
pub use process::ProcessName;
pub use request::RequestEvent;
pub use session::SessionEvent;
pub use target::TargetEvent;
pub use value::AccusedTasks;
pub use value::DomainList;
pub use value::ErrorText;
pub use value::TaskList;

/// A log event.
///
/// `Display` writes its number, its name and its fields as `key=value`.
#[derive(Debug, Clone, PartialEq, Eq, Display, From)]
pub enum Event {
    /// 1xx: life cycle of the process.
    Process(ProcessEvent),
    /// 2xx: sessions between entries and agents.
    Session(SessionEvent),
    /// 3xx: submissions from callers.
    Request(RequestEvent),
    /// 4xx: targets and their tasks.
    Target(TargetEvent),
    /// 5xx: configuration and store.
    Config(ConfigEvent),
}

impl Event {
    /// Number, name, level and fields of the event.
    #[must_use]
    pub const fn kind(&self) -> &'static EventKind {
        match self {
            Self::Process(event) => event.kind(),
            Self::Session(event) => event.kind(),
            Self::Request(event) => event.kind(),
            Self::Target(event) => event.kind(),
            Self::Config(event) => event.kind(),
        }
    }

    /// Level at which the event is logged.
    #[must_use]
    pub const fn level(&self) -> LogLevel {
        self.kind().level
    }

    /// Every kind of event, in ascending order of number.
    pub fn catalogue() -> impl Iterator<Item = &'static EventKind> {
        let areas = [
            ProcessEvent::KINDS,
            SessionEvent::KINDS,
            RequestEvent::KINDS,
            TargetEvent::KINDS,
            ConfigEvent::KINDS,
        ];
        areas.into_iter().flatten()
    }
}
