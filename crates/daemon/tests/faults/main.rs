//! Fault injection on real processes under load.
//!
//! Each test checks the answers that callers got against the start logs of the targets.

mod cancel;
mod config;
mod crash;
mod hang;
mod hostile;
mod leave;
mod links;
mod membership;
mod soak;
#[cfg(feature = "failpoints")]
mod steps;
mod stop;
mod store;
mod support;
