//! Small stand-ins for the platform and for targets, for tests and the demo; never published.
//!
//! Each listens on a service address and on a control address. A [`fault::Faults`] handle, or
//! `POST /control` on the control address, makes it slow, down, or lose requests or replies.

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
