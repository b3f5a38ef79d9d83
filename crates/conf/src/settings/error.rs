//! Why settings are not accepted.

use snafu::Snafu;

use crate::ValidationErrors;

/// Why a settings file is not accepted.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum SettingsError {
    /// The file is not JSON.
    #[snafu(display("the settings are not JSON: {source}"))]
    Syntax {
        /// Where and why.
        source: serde_json::Error,
    },
    /// The file has errors.
    #[snafu(transparent)]
    Faulty {
        /// All of them.
        source: ValidationErrors,
    },
}
