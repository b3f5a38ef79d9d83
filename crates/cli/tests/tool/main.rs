//! Runs the `dragonflyshed` binary against fake entries on loopback ports.

mod bench;
mod config;
mod explain;
mod fake;
mod load;
mod status;
mod submit;
mod usage;
