//! Addresses of the entries and the token to call them with.

use std::net::SocketAddr;

use super::OptionsError;
use super::Token;
use crate::cli::EntryArgs;

/// Validated form of [`EntryArgs`].
#[derive(Debug, Clone)]
pub struct EntryOptions {
    /// Entries in the order of the command line; at least one.
    pub entries: Vec<SocketAddr>,
    /// Token of a caller or an operator, whichever the command needs.
    pub token: Token,
}

impl TryFrom<EntryArgs> for EntryOptions {
    type Error = OptionsError;

    fn try_from(args: EntryArgs) -> Result<Self, OptionsError> {
        let token = Token::require(&args)?;
        Ok(Self {
            entries: args.entries,
            token,
        })
    }
}
