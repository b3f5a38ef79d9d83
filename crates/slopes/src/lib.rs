//! Measures what sessions, tasks and configurations cost, and multiplies it with the planned sizes;
//! never published.

mod error;
mod fit;
pub mod measure;
mod page;
mod sizes;
mod slopes;

pub use error::SlopesError;
pub use fit::Fit;
pub use fit::Point;
pub use page::renew;
pub use page::tables;
pub use sizes::Sizes;
pub use slopes::Slope;
pub use slopes::SlopeName;
pub use slopes::Slopes;
