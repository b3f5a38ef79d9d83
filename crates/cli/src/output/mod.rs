//! Writes results to standard output, as tables or JSON.

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

/// Writes bytes to standard output; unlike `print!`, returns an error if the pipe is closed instead
/// of panicking.
pub fn write(bytes: &[u8]) -> Result<(), Error> {
    let mut stdout = std::io::stdout().lock();
    stdout.write_all(bytes).context(OutputSnafu)?;
    stdout.flush().context(OutputSnafu)
}

/// Writes text followed by a newline.
pub fn print(text: &str) -> Result<(), Error> {
    write(format!("{text}\n").as_bytes())
}

/// Writes a value as indented JSON followed by a newline.
pub fn print_json(value: &impl Serialize) -> Result<(), Error> {
    print(&serde_json::to_string_pretty(value).context(RenderSnafu)?)
}
