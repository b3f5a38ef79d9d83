//! Fault injection at every step of a task: real entry and agent state machines exchange messages over
//! simulated links, and each run is checked for tasks that start twice, wrong or late answers, and
//! leftover state.

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
