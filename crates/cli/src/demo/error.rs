//! Why the demo failed.

use snafu::Snafu;

use crate::client::CallError;
use crate::options::OptionsError;

/// Why the demo failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum DemoError {
    /// A stand-in could not be started.
    #[snafu(display("cannot start a stand-in on the loopback interface"))]
    Standin {
        /// What the system says.
        source: std::io::Error,
    },
    /// An entry could not be started.
    #[snafu(display("cannot start an entry"))]
    Entry {
        /// What failed.
        source: dfs_entry::StartError,
    },
    /// An agent could not be started.
    #[snafu(display("cannot start an agent"))]
    Agent {
        /// What failed.
        source: dfs_agent::StartError,
    },
    /// Logs could not be set up.
    #[snafu(display("cannot set up the log"))]
    Log {
        /// What failed.
        source: dfs_log::LogError,
    },
    /// A name or document of the demo is not valid.
    #[snafu(display("the example inventory is not valid"))]
    Example {
        /// What the library says.
        source: serde_json::Error,
    },
    /// A token of the example is not valid.
    #[snafu(transparent)]
    Token {
        /// What is wrong.
        source: OptionsError,
    },
    /// An entry did not answer as it should.
    #[snafu(transparent)]
    Call {
        /// What failed.
        source: CallError,
    },
    /// The pool was not ready in time.
    #[snafu(display("the pool was not ready within {seconds} s: the machine may be overloaded"))]
    NotReady {
        /// The wait.
        seconds: u64,
    },
}
