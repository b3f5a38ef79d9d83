//! What lives as long as a request of a caller or operator.

mod body;
mod key;
mod open;
mod operate;
mod refuse;
mod routes;
mod submit;

pub use open::CorrelationIds;
pub(crate) use open::Open;
pub(crate) use refuse::Refusal;
pub(crate) use routes::Native;
pub(crate) use routes::State;
pub(crate) use routes::router;
