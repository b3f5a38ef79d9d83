//! Faults on real processes under load, judged by the callers' answers and the targets' start logs.

mod config;
mod crash;
mod hostile;
mod leave;
mod links;
mod stop;
mod store;
mod support;
