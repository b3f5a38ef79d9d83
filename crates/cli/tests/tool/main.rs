//! Runs the real tool against a fake entry on a loopback port.

mod bench;
mod config;
mod explain;
mod fake;
mod load;
mod status;
mod submit;
mod usage;
