//! Errors of the demo.

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
        /// Error from the operating system.
        source: std::io::Error,
    },
    /// An entry could not be started.
    #[snafu(display("cannot start an entry"))]
    Entry {
        /// Error of the entry.
        source: dfs_entry::StartError,
    },
    /// An agent could not be started.
    #[snafu(display("cannot start an agent"))]
    Agent {
        /// Error of the agent.
        source: dfs_agent::StartError,
    },
    /// The log of an entry or agent could not be set up.
    #[snafu(display("cannot set up the log"))]
    Log {
        /// Error of the logger.
        source: dfs_log::LogError,
    },
    /// The example inventory, rules or settings do not parse.
    #[snafu(display("the example inventory is not valid"))]
    Example {
        /// Parse error.
        source: serde_json::Error,
    },
    /// A token of the example is not valid.
    #[snafu(transparent)]
    Token {
        /// Why the token was rejected.
        source: OptionsError,
    },
    /// A call to an entry failed.
    #[snafu(transparent)]
    Call {
        /// Error of the call.
        source: CallError,
    },
    /// The pool did not become ready within the time-out.
    #[snafu(display("the pool was not ready within {seconds} s: the machine may be overloaded"))]
    NotReady {
        /// Time-out in seconds.
        seconds: u64,
    },
}
