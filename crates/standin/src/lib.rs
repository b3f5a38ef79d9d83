//! In-memory stand-ins for the platform services and for targets, used by tests and the demo.
//! This crate is never published.
//!
//! Each stand-in listens on a service address and on a control address. A [`fault::Faults`] handle,
//! or `POST /control` on the control address, makes the stand-in slow, unavailable, or lose requests
//! or replies.

mod control;
mod fault;
mod listener;
mod platform;
mod target;

pub use control::Control;
pub use fault::Faults;
pub use fault::Mode;
pub use platform::ObjectStandin;
pub use platform::Platform;
pub use platform::PlatformAddresses;
pub use platform::StatsdStandin;
pub use platform::TableStandin;
pub use target::AnnounceError;
pub use target::Behaviour;
pub use target::Start;
pub use target::StartLog;
pub use target::TargetControl;
pub use target::TargetOptions;
pub use target::TargetStandin;
