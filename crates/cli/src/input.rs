//! Input documents from files and standard input.

use std::io;
use std::path::Path;
use std::path::PathBuf;

use serde::de::DeserializeOwned;
use snafu::ResultExt;
use snafu::Snafu;

use crate::exit::Exit;

/// Path that stands for standard input.
const STANDARD_INPUT: &str = "-";

/// Why an input document cannot be used.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum InputError {
    /// The file cannot be read.
    #[snafu(display("cannot read {}", path.display()))]
    Read {
        /// The file, or `-`.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// The document is not what is expected.
    #[snafu(display("{}: at {at}", path.display()))]
    Parse {
        /// The file, or `-`.
        path: PathBuf,
        /// Path of the value within the document.
        at: String,
        /// The cause.
        source: serde_json::Error,
    },
    /// A job has no tasks.
    #[snafu(display("{}: tasks is empty: a job has at least one task", path.display()))]
    NoTasks {
        /// The file, or `-`.
        path: PathBuf,
    },
}

impl InputError {
    /// The exit code that goes with the failure.
    #[must_use]
    pub const fn exit(&self) -> Exit {
        match self {
            Self::Read { .. } => Exit::Local,
            Self::Parse { .. } | Self::NoTasks { .. } => Exit::Usage,
        }
    }
}

/// Reads a file, or standard input for `-`.
pub fn read(path: &Path) -> Result<String, InputError> {
    let text = if path.as_os_str() == STANDARD_INPUT {
        io::read_to_string(io::stdin())
    } else {
        std::fs::read_to_string(path)
    };
    text.context(ReadSnafu { path })
}

/// Reads a JSON document; an error names the path of the offending value.
pub fn read_json<T: DeserializeOwned>(path: &Path) -> Result<T, InputError> {
    let text = read(path)?;
    let mut json = serde_json::Deserializer::from_str(&text);
    let parse_error = |at: String, source| InputError::Parse {
        path: path.to_owned(),
        at,
        source,
    };
    let value = serde_path_to_error::deserialize(&mut json)
        .map_err(|error| parse_error(error.path().to_string(), error.into_inner()))?;
    json.end()
        .map_err(|error| parse_error("the end of the document".to_owned(), error))?;
    Ok(value)
}
