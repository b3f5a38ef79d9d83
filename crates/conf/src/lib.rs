//! Settings files of the two programs, and the configuration that all processes share.
//!
//! Each process has a settings file of its own. The configuration consists of the inventory and the
//! rules; operators change it at run time, and each change results in a new version.

mod check;
mod config;
mod diff;
mod evacuation;
mod fault;
mod form;
mod holder;
mod index;
mod inventory;
mod rules;
mod settings;
mod token;

pub use config::Config;
pub use dfs_wire::session::Evacuations;
pub use diff::ConfigDiff;
pub use diff::DiffError;
pub use diff::Keyed;
pub use diff::SectionDiff;
pub use evacuation::EvacuationChange;
pub use evacuation::EvacuationUpdate;
pub use fault::Constraint;
pub use fault::FieldPath;
pub use fault::ItemKind;
pub use fault::Problem;
pub use fault::ValidationError;
pub use fault::ValidationErrors;
pub use holder::Adoption;
pub use holder::ConfigHolder;
pub use holder::ConfigUpdate;
pub use index::Identity;
pub use index::TokenIndex;
pub use inventory::Group;
pub use inventory::Inventory;
pub use inventory::Operator;
pub use inventory::Queue;
pub use inventory::QueueIndex;
pub use inventory::Service;
pub use inventory::Target;
pub use inventory::Warning;
pub use inventory::check_inventory;
pub use rules::Admission;
pub use rules::Deadlines;
pub use rules::Ejection;
pub use rules::HintMode;
pub use rules::Order;
pub use rules::PlacementPolicy;
pub use rules::PlacementRules;
pub use rules::RetryRules;
pub use rules::Rules;
pub use rules::check_rules;
pub use settings::AgentLimits;
pub use settings::AgentSettings;
pub use settings::EntryLimits;
pub use settings::EntrySettings;
pub use settings::LeaseSettings;
pub use settings::LogLevel;
pub use settings::LogSettings;
pub use settings::MemoryShares;
pub use settings::SettingsError;
pub use settings::StoreSettings;
pub use token::TokenDigest;
