//! The store traits over HTTP/1; rows travel as JSON, objects as raw bytes.

pub mod protocol;

mod client;
mod object;
mod table;

pub use object::HttpObjects;
pub use table::HttpTable;
