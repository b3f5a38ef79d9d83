//! Options that were checked once, from what clap parsed.

mod entry;
mod token;

use std::io;
use std::path::PathBuf;

use snafu::Snafu;

pub use entry::EntryOptions;
pub use token::Token;

/// Why the options cannot be used.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum OptionsError {
    /// No token was given.
    #[snafu(display("no token: pass --token-file FILE or set DRAGONFLYSHED_TOKEN"))]
    NoToken,
    /// The token file cannot be read.
    #[snafu(display("cannot read token file {}", path.display()))]
    TokenFile {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// The token cannot be sent in a header.
    #[snafu(display("the token is empty or has characters other than visible ASCII"))]
    BadToken,
    /// The load may call loopback addresses only.
    #[snafu(display(
        "entry {entry} is not a loopback address: set allow_remote in the mix to load it"
    ))]
    RemoteEntry {
        /// The entry.
        entry: std::net::SocketAddr,
    },
}
