//! Standard output as tables or JSON.

mod format;
mod table;

use std::io::Write;

use serde::Serialize;
use snafu::ResultExt;

use crate::error::Error;
use crate::error::OutputSnafu;
use crate::error::RenderSnafu;

pub use format::Format;
pub use table::Table;

/// Writes bytes to standard output; a closed pipe is an error, not a panic.
pub fn write(bytes: &[u8]) -> Result<(), Error> {
    let mut stdout = std::io::stdout().lock();
    stdout.write_all(bytes).context(OutputSnafu)?;
    stdout.flush().context(OutputSnafu)
}

/// Writes one line or block of text.
pub fn print(text: &str) -> Result<(), Error> {
    write(format!("{text}\n").as_bytes())
}

/// Writes a value as indented JSON.
pub fn print_json(value: &impl Serialize) -> Result<(), Error> {
    print(&serde_json::to_string_pretty(value).context(RenderSnafu)?)
}
