//! The bearer token and its sources.

use std::fmt;
use std::path::Path;

use serde::Deserialize;
use snafu::OptionExt;
use snafu::ResultExt;
use snafu::ensure;

use super::BadTokenSnafu;
use super::NoTokenSnafu;
use super::OptionsError;
use super::TokenFileSnafu;
use crate::cli::EntryArgs;

const TOKEN_VARIABLE: &str = "DRAGONFLYSHED_TOKEN";

/// A bearer token of visible ASCII characters; its `Debug` output hides it.
#[derive(Clone, PartialEq, Eq, Deserialize)]
#[serde(try_from = "String")]
pub struct Token(String);

impl Token {
    /// Trims white space and checks that the token can be sent in an HTTP header.
    pub fn new(text: &str) -> Result<Self, OptionsError> {
        let token = text.trim();
        let valid = !token.is_empty() && token.chars().all(|c| c.is_ascii_graphic());
        ensure!(valid, BadTokenSnafu);
        Ok(Self(token.to_owned()))
    }

    /// Returns the token from `--token-file`, `--token` or the environment, in this order; `None`
    /// if none of them is set.
    pub fn find(args: &EntryArgs) -> Result<Option<Self>, OptionsError> {
        if let Some(path) = &args.token_file {
            return Self::read(path).map(Some);
        }
        let token = args.token.clone();
        token
            .or_else(|| std::env::var(TOKEN_VARIABLE).ok())
            .map(|text| Self::new(&text))
            .transpose()
    }

    /// Like [`Token::find`], but fails if no token is set.
    pub fn require(args: &EntryArgs) -> Result<Self, OptionsError> {
        Self::find(args)?.context(NoTokenSnafu)
    }

    /// Returns the value of the `Authorization` header.
    #[must_use]
    pub fn authorization(&self) -> String {
        format!("Bearer {}", self.0)
    }

    fn read(path: &Path) -> Result<Self, OptionsError> {
        let text = std::fs::read_to_string(path).context(TokenFileSnafu { path })?;
        Self::new(&text)
    }
}

impl TryFrom<String> for Token {
    type Error = OptionsError;

    fn try_from(text: String) -> Result<Self, OptionsError> {
        Self::new(&text)
    }
}

impl fmt::Debug for Token {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str("Token(..)")
    }
}
