//! Options with checks that clap cannot do.

mod entry;
mod token;

use std::io;
use std::path::PathBuf;

use snafu::Snafu;

pub use entry::EntryOptions;
pub use token::Token;

/// Why options were rejected; nothing was sent.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum OptionsError {
    /// No token in the options or the environment.
    #[snafu(display("no token: pass --token-file FILE or set DRAGONFLYSHED_TOKEN"))]
    NoToken,
    /// The token file cannot be read.
    #[snafu(display("cannot read token file {}", path.display()))]
    TokenFile {
        /// Value of `--token-file`.
        path: PathBuf,
        /// Error of reading the file.
        source: io::Error,
    },
    /// The token cannot be sent in an HTTP header.
    #[snafu(display("the token is empty or has characters other than visible ASCII"))]
    BadToken,
    /// `load` was given an address other than loopback and the mix does not allow it.
    #[snafu(display(
        "entry {entry} is not a loopback address: set allow_remote in the mix to load it"
    ))]
    RemoteEntry {
        /// Address from the command line.
        entry: std::net::SocketAddr,
    },
}
