//! Digests of bearer tokens. The tokens themselves are never stored.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;
use snafu::Snafu;
use subtle::ConstantTimeEq;

const DIGEST_BYTES: usize = 32;
const HEX_DIGITS_PER_BYTE: usize = 2;

/// SHA-256 digest of a bearer token, written as 64 hexadecimal digits.
///
/// `==` is not constant-time: to verify a caller's token use [`TokenDigest::matches`].
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct TokenDigest([u8; DIGEST_BYTES]);

/// Error for a string that is not a digest.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum DigestError {
    /// The string has another length.
    #[snafu(display("a SHA-256 digest has 64 hexadecimal digits, this one has {digits}"))]
    Length {
        /// Length of the string in bytes.
        digits: usize,
    },
    /// The string has other characters than hexadecimal digits.
    #[snafu(display("{digest:?} is not hexadecimal"))]
    NotHex {
        /// The string.
        digest: String,
    },
}

impl TokenDigest {
    /// Computes the digest of a token.
    #[must_use]
    pub fn of(token: &str) -> Self {
        Self(Sha256::digest(token.as_bytes()).into())
    }

    /// The first eight bytes as a big-endian number, used as key of
    /// [`TokenIndex`](crate::TokenIndex).
    #[must_use]
    pub(crate) fn prefix(&self) -> u64 {
        self.0
            .iter()
            .take(size_of::<u64>())
            .fold(0, |prefix, byte| prefix << u8::BITS | u64::from(*byte))
    }

    /// Compares two digests in constant time.
    #[must_use]
    pub fn matches(&self, other: &Self) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

impl FromStr for TokenDigest {
    type Err = DigestError;

    fn from_str(text: &str) -> Result<Self, DigestError> {
        if text.len() != DIGEST_BYTES * HEX_DIGITS_PER_BYTE {
            return Err(DigestError::Length { digits: text.len() });
        }
        let not_hex = || DigestError::NotHex {
            digest: text.to_owned(),
        };
        let mut bytes = [0; DIGEST_BYTES];
        for (i, byte) in bytes.iter_mut().enumerate() {
            let start = i * HEX_DIGITS_PER_BYTE;
            let pair = text
                .get(start..start + HEX_DIGITS_PER_BYTE)
                .ok_or_else(not_hex)?;
            *byte = u8::from_str_radix(pair, 16).map_err(|_| not_hex())?;
        }
        Ok(Self(bytes))
    }
}

impl fmt::Display for TokenDigest {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for TokenDigest {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "TokenDigest({self})")
    }
}

impl TryFrom<String> for TokenDigest {
    type Error = DigestError;

    fn try_from(text: String) -> Result<Self, DigestError> {
        text.parse()
    }
}

impl From<TokenDigest> for String {
    fn from(digest: TokenDigest) -> Self {
        digest.to_string()
    }
}
