//! Reading of settings files.

use serde_json::Value;
use snafu::ResultExt;

use super::SettingsError;
use super::error::SyntaxSnafu;
use crate::Faults;
use crate::fault::Fault;
use crate::fault::unless_faulty;
use crate::form;
use crate::form::Template;

/// Reads a settings file and checks it whole.
pub(super) fn read<T: Template>(
    json: &str,
    check: impl FnOnce(&T) -> Vec<Fault>,
) -> Result<T, SettingsError> {
    let document: Value = serde_json::from_str(json).context(SyntaxSnafu)?;
    let form = form::read::<T>(document).map_err(|faults| Faults { faults })?;
    let found = check(&form.value);
    let (settings, faults) = form.with(found);
    unless_faulty((), faults)?;
    // A field that stands twice is lost in a `Value`, but not here.
    serde_json::from_str::<T>(json).context(SyntaxSnafu)?;
    Ok(settings)
}
