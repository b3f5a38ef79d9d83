//! Faults on real processes under load, judged by the callers' answers and the targets' start logs.

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
