//! Settings of processes, and the configuration: inventory and rules.

mod config;
mod inventory;
mod rules;
mod settings;
mod token;

pub use config::Config;
pub use inventory::Group;
pub use inventory::Inventory;
pub use inventory::Operator;
pub use inventory::Service;
pub use inventory::Target;
pub use rules::Admission;
pub use rules::Deadlines;
pub use rules::Ejection;
pub use rules::HintMode;
pub use rules::Order;
pub use rules::PlacementPolicy;
pub use rules::PlacementRules;
pub use rules::RetryRules;
pub use rules::Rules;
pub use settings::AgentSettings;
pub use settings::EntryLimits;
pub use settings::EntrySettings;
pub use settings::LeaseSettings;
pub use settings::LogLevel;
pub use settings::LogSettings;
pub use settings::StoreSettings;
pub use token::TokenDigest;
