//! Runs on a target that checks fencing tokens and leases.

mod bench;
mod directed;
mod random;
mod target;
