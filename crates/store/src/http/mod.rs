//! The platform over HTTP/1 with JSON bodies.

pub mod protocol;

mod client;
mod object;
mod table;

pub use object::HttpObjects;
pub use table::HttpTable;
