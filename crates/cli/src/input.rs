//! Reads input documents from files and standard input.

use std::io;
use std::path::Path;
use std::path::PathBuf;

use serde::de::DeserializeOwned;
use snafu::ResultExt;
use snafu::Snafu;

use crate::exit::Exit;

const STANDARD_INPUT: &str = "-";

/// Why an input document was rejected; nothing was sent.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum InputError {
    /// The file cannot be read.
    #[snafu(display("cannot read {}", path.display()))]
    Read {
        /// File from the command line, `-` for standard input.
        path: PathBuf,
        /// Error of reading the file.
        source: io::Error,
    },
    /// The file is not JSON, or a value does not have the expected type.
    #[snafu(display("{}: at {location}", path.display()))]
    Parse {
        /// File from the command line, `-` for standard input.
        path: PathBuf,
        /// Path of the offending value within the document, such as `tasks[2].service`.
        location: String,
        /// Error of the parser.
        source: serde_json::Error,
    },
    /// A job has no tasks.
    #[snafu(display("{}: tasks is empty: a job has at least one task", path.display()))]
    NoTasks {
        /// File from the command line, `-` for standard input.
        path: PathBuf,
    },
}

impl InputError {
    /// Exit code that the command ends with.
    #[must_use]
    pub const fn exit(&self) -> Exit {
        match self {
            Self::Read { .. } => Exit::LocalFailure,
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

/// Reads and deserializes a JSON document; an error names the path of the offending value.
pub fn read_json<T: DeserializeOwned>(path: &Path) -> Result<T, InputError> {
    let text = read(path)?;
    let mut json = serde_json::Deserializer::from_str(&text);
    let parse_error = |location: String, source| InputError::Parse {
        path: path.to_owned(),
        location,
        source,
    };
    let value = serde_path_to_error::deserialize(&mut json)
        .map_err(|error| parse_error(error.path().to_string(), error.into_inner()))?;
    json.end()
        .map_err(|error| parse_error("the end of the document".to_owned(), error))?;
    Ok(value)
}
