//! Random identifiers.

use std::str::FromStr;

/// Returns `prefix-` followed by 128 random bits in hexadecimal.
///
/// # Panics
///
/// Panics if the prefix has characters that the identifier type does not allow.
pub fn random_id<T: FromStr>(prefix: &str) -> T {
    let id = format!("{prefix}-{:032x}", rand::random::<u128>());
    match id.parse() {
        Ok(id) => id,
        Err(_) => unreachable!("{id} has only characters that identifiers allow"),
    }
}
