//! Every way in which a command can fail.

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

/// Failure of a command.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// The runtime did not start.
    #[snafu(display("cannot start the runtime"))]
    Runtime {
        /// The cause.
        source: io::Error,
    },
    /// Standard output failed.
    #[snafu(display("cannot write to standard output"))]
    Output {
        /// The cause.
        source: io::Error,
    },
    /// A result has no JSON form.
    #[snafu(display("cannot write the result as JSON"))]
    Render {
        /// The cause.
        source: serde_json::Error,
    },
    /// The options are not valid.
    #[snafu(transparent)]
    Options {
        /// The cause.
        source: OptionsError,
    },
    /// An input document is not valid.
    #[snafu(transparent)]
    Input {
        /// The cause.
        source: InputError,
    },
    /// An entry did not answer as it should.
    #[snafu(transparent)]
    Call {
        /// The cause.
        source: CallError,
    },
    /// The configuration was not changed or not reached.
    #[snafu(transparent)]
    Config {
        /// The cause.
        source: ConfigFailure,
    },
    /// The demo failed.
    #[snafu(transparent)]
    Demo {
        /// The cause.
        source: DemoError,
    },
    /// The request can't be explained.
    #[snafu(transparent)]
    Explain {
        /// The cause.
        source: ExplainError,
    },
    /// The mix of a load is not valid.
    #[snafu(transparent)]
    Mix {
        /// The cause.
        source: MixError,
    },
}

impl Error {
    /// The exit code that goes with the failure.
    #[must_use]
    pub fn exit(&self) -> Exit {
        match self {
            Self::Runtime { .. }
            | Self::Output { .. }
            | Self::Render { .. }
            | Self::Demo { .. } => Exit::Local,
            Self::Options { .. } => Exit::Usage,
            Self::Input { source } => source.exit(),
            Self::Call { source } => source.exit(),
            Self::Config { source } => source.exit(),
            Self::Explain { .. } => Exit::UnknownSubmission,
            Self::Mix { .. } => Exit::ConfigInvalid,
        }
    }

    /// The failure and its causes in one line.
    #[must_use]
    pub fn chain(&self) -> String {
        let mut causes: Vec<String> = self.iter_chain().map(ToString::to_string).collect();
        // A transparent variant repeats the text of its source.
        causes.dedup();
        causes.join(": ")
    }
}
