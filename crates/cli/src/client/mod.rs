//! Client of the HTTP API of entries.

mod call;
mod error;
mod http;

pub use call::Call;
pub use call::Reply;
pub use error::CallError;
pub use http::Client;
