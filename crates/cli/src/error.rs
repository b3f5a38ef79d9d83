//! The error type of the commands.

use std::io;

use snafu::ErrorCompat;
use snafu::Snafu;

use crate::client::CallError;
use crate::config::ConfigFailure;
use crate::demo::DemoError;
use crate::exit::Exit;
use crate::explain::ExplainError;
use crate::input::InputError;
use crate::load::MixError;
use crate::options::OptionsError;

/// Failure of a command; decides the exit code.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// The Tokio runtime could not be built.
    #[snafu(display("cannot start the runtime"))]
    Runtime {
        /// Error of the operating system.
        source: io::Error,
    },
    /// Standard output could not be written, for example as the pipe is closed.
    #[snafu(display("cannot write to standard output"))]
    Output {
        /// Error of the operating system.
        source: io::Error,
    },
    /// A request or a result could not be serialized as JSON.
    #[snafu(display("cannot serialize as JSON"))]
    Render {
        /// Error of the serializer.
        source: serde_json::Error,
    },
    /// Options that clap accepts were rejected; nothing was sent.
    #[snafu(transparent)]
    Options {
        /// The error, which is displayed in place of this one.
        source: OptionsError,
    },
    /// An input document could not be read or parsed; nothing was sent.
    #[snafu(transparent)]
    Input {
        /// The error, which is displayed in place of this one.
        source: InputError,
    },
    /// A call to an entry failed or was refused.
    #[snafu(transparent)]
    Call {
        /// The error, which is displayed in place of this one.
        source: CallError,
    },
    /// `inventory`, `rules` or `config` failed.
    #[snafu(transparent)]
    Config {
        /// The error, which is displayed in place of this one.
        source: ConfigFailure,
    },
    /// `demo` failed.
    #[snafu(transparent)]
    Demo {
        /// The error, which is displayed in place of this one.
        source: DemoError,
    },
    /// `explain` found nothing about the request.
    #[snafu(transparent)]
    Explain {
        /// The error, which is displayed in place of this one.
        source: ExplainError,
    },
    /// The mix given to `load` is not valid.
    #[snafu(transparent)]
    Mix {
        /// The error, which is displayed in place of this one.
        source: MixError,
    },
}

impl Error {
    /// Exit code that the command ends with.
    #[must_use]
    pub fn exit(&self) -> Exit {
        match self {
            Self::Runtime { .. }
            | Self::Output { .. }
            | Self::Render { .. }
            | Self::Demo { .. } => Exit::LocalFailure,
            Self::Options { .. } => Exit::Usage,
            Self::Input { source } => source.exit(),
            Self::Call { source } => source.exit(),
            Self::Config { source } => source.exit(),
            Self::Explain { .. } => Exit::UnknownSubmission,
            Self::Mix { .. } => Exit::ConfigInvalid,
        }
    }

    /// Formats the error and its causes in one line.
    #[must_use]
    pub fn chain(&self) -> String {
        let mut causes: Vec<String> = self.iter_chain().map(ToString::to_string).collect();
        // A transparent variant displays the text of its source, so the text comes twice.
        causes.dedup();
        causes.join(": ")
    }
}
