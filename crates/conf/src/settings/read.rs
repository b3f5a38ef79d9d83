//! Reading of settings files.

use serde_json::Value;
use snafu::ResultExt;

use super::SettingsError;
use super::error::SyntaxSnafu;
use crate::ValidationErrors;
use crate::fault::ValidationError;
use crate::fault::ok_unless_errors;
use crate::form;
use crate::form::Template;

/// Reads a settings file and checks it whole.
pub(super) fn read<T: Template>(
    json: &str,
    check: impl FnOnce(&T) -> Vec<ValidationError>,
) -> Result<T, SettingsError> {
    let document: Value = serde_json::from_str(json).context(SyntaxSnafu)?;
    let parsed = form::read::<T>(document).map_err(|errors| ValidationErrors { errors })?;
    let found = check(&parsed.value);
    let (settings, errors) = parsed.with_check_errors(found);
    ok_unless_errors((), errors)?;
    // A field that stands twice is lost in a `Value`, but not here.
    serde_json::from_str::<T>(json).context(SyntaxSnafu)?;
    Ok(settings)
}
