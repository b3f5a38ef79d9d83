//! Parsing and validation of settings files.

use serde_json::Value;
use snafu::ResultExt;

use super::SettingsError;
use super::error::SyntaxSnafu;
use crate::ValidationErrors;
use crate::fault::ValidationError;
use crate::fault::ok_unless_errors;
use crate::form;
use crate::form::Template;

/// Parses a settings file and runs all checks.
pub(super) fn read<T: Template>(
    json: &str,
    check: impl FnOnce(&T) -> Vec<ValidationError>,
) -> Result<T, SettingsError> {
    let document: Value = serde_json::from_str(json).context(SyntaxSnafu)?;
    let parsed = form::read::<T>(document).map_err(|errors| ValidationErrors { errors })?;
    let check_errors = check(&parsed.value);
    let (settings, errors) = parsed.with_check_errors(check_errors);
    ok_unless_errors((), errors)?;
    // Parsing into a `Value` silently drops duplicate fields; parsing into the type rejects them.
    serde_json::from_str::<T>(json).context(SyntaxSnafu)?;
    Ok(settings)
}
