//! Faults at every step of a task, over real entries and agents joined by an in-memory link.

mod fault;
mod judge;
mod link;
mod matrix_directed;
mod matrix_pairs;
mod matrix_random;
mod matrix_single;
mod node;
mod run;
mod world;
