//! HTTP requests of callers and operators.

mod body;
mod key;
mod open;
mod operate;
mod refuse;
mod routes;
mod submit;

pub use open::CorrelationIds;
pub(crate) use open::OpenSubmission;
pub(crate) use refuse::Refusal;
pub(crate) use routes::ApiState;
pub(crate) use routes::SharedState;
pub(crate) use routes::router;
