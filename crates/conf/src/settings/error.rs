//! Errors of reading a settings file.

use snafu::Snafu;

use crate::ValidationErrors;

/// Error of parsing or validating a settings file.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum SettingsError {
    /// The file is not valid JSON or has a duplicate field.
    #[snafu(display("the settings are not JSON: {source}"))]
    Syntax {
        /// Error of the parser, with line and column.
        source: serde_json::Error,
    },
    /// The file has unknown fields or invalid values.
    #[snafu(transparent)]
    Invalid {
        /// All errors of the file.
        source: ValidationErrors,
    },
}
