//! Faults on real processes under load, judged by the callers' answers and the targets' start logs.

mod crash;
mod leave;
mod links;
mod stop;
mod support;
