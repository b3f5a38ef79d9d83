//! Capacity measurements: measures the cost of sessions, tasks and configurations, and extrapolates
//! it linearly to the planned deployment. Internal tool, not published.

mod error;
mod fit;
pub mod measure;
mod page;
mod sizes;
mod slopes;

pub use error::SlopesError;
pub use fit::Fit;
pub use fit::Point;
pub use page::replace_tables;
pub use page::tables;
pub use sizes::Sizes;
pub use slopes::Slope;
pub use slopes::SlopeName;
pub use slopes::Slopes;
