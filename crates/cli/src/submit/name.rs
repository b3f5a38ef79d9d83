//! Random names.

use std::str::FromStr;

/// Draws an identifier of 128 random bits after a prefix.
pub fn random_id<T: FromStr>(prefix: &str) -> T {
    let id = format!("{prefix}-{:032x}", rand::random::<u128>());
    match id.parse() {
        Ok(id) => id,
        Err(_) => unreachable!("{id} has only characters that identifiers allow"),
    }
}
