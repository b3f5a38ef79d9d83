//! Faults on real processes under load, judged by the callers' answers and the targets' start logs.

mod config;
mod crash;
mod hostile;
mod leave;
mod links;
#[cfg(feature = "failpoints")]
mod steps;
mod stop;
mod store;
mod support;
