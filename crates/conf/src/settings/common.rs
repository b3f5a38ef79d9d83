//! Checks and example values shared by the settings of entries and agents.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::str::FromStr;

use dfs_ids::IdError;
use dfs_ids::Millis;

use crate::LogSettings;
use crate::StoreSettings;
use crate::check::Checker;
use crate::fault::FieldPath;
use crate::fault::Problem;

pub(super) const MESSAGE_BYTES: RangeInclusive<u32> = 1_024..=256 << 20;
pub(super) const DRAIN_MS: RangeInclusive<Millis> = Millis::new(0)..=Millis::new(3_600_000);
/// The smallest leaves room for the process itself.
pub(super) const MEMORY_MB: RangeInclusive<u32> = 32..=1 << 20;
pub(super) const EXAMPLE_SECRET: &str = "replace-by-a-secret-of-your-own";

const STORE_TIMEOUT_MS: RangeInclusive<Millis> = Millis::new(10)..=Millis::new(60_000);
/// A change of the configuration has to be active everywhere within 13 s, which a longer interval
/// does not allow.
pub(super) const POLL_MS: RangeInclusive<Millis> = Millis::new(10)..=Millis::new(10_000);
const WRITES_PER_S: RangeInclusive<u32> = 1..=10_000;
const MIN_SECRET_BYTES: usize = 16;

pub(super) fn check_secret(checker: &mut Checker, secret: &str) {
    if secret.len() < MIN_SECRET_BYTES {
        let problem = Problem::ShortSecret {
            bytes: secret.len(),
            min_bytes: MIN_SECRET_BYTES,
        };
        checker.add(FieldPath::new("session_secret"), problem);
    }
}

pub(super) fn check_store(checker: &mut Checker, store: &StoreSettings) {
    let field = |name| FieldPath::new("store").field(name);
    checker.dialable(field("table_address"), store.table_address);
    checker.dialable(field("object_address"), store.object_address);
    checker.in_range(field("timeout_ms"), store.timeout_ms, &STORE_TIMEOUT_MS);
    checker.in_range(field("poll_ms"), store.poll_ms, &POLL_MS);
    let writes = store.max_writes_per_s;
    checker.in_range(field("max_writes_per_s"), writes, &WRITES_PER_S);
}

pub(super) fn check_log(checker: &mut Checker, log: &LogSettings) {
    if let Some(address) = log.statsd_address {
        checker.dialable(FieldPath::new("log.statsd_address"), address);
    }
}

/// Whether one host cannot listen on both addresses. Port 0 stands for any free port and never
/// conflicts.
pub(super) fn listen_addresses_conflict(a: SocketAddr, b: SocketAddr) -> bool {
    let overlap = a.ip() == b.ip() || a.ip().is_unspecified() || b.ip().is_unspecified();
    a.port() != 0 && a.port() == b.port() && overlap
}

pub(super) const fn example_address(port: u16) -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), port)
}

/// Parses a name of the example settings.
///
/// # Panics
///
/// Panics if the name is not a valid identifier.
pub(super) fn example_name<T: FromStr<Err = IdError>>(name: &str) -> T {
    name.parse().expect("an identifier")
}
