//! Validation of the settings of an entry.

use std::ops::RangeInclusive;

use dfs_ids::Millis;

use super::EntryLimits;
use super::EntrySettings;
use super::LeaseSettings;
use super::SettingsError;
use super::common;
use super::read::read;
use crate::LogSettings;
use crate::StoreSettings;
use crate::ValidationErrors;
use crate::check::Checker;
use crate::fault::Constraint;
use crate::fault::FieldPath;
use crate::fault::ValidationError;
use crate::fault::ok_unless_errors;
use crate::form::Template;

/// Time within which a change of the configuration has to be active everywhere.
const CONFIG_BOUND_MS: Millis = Millis::new(13_000);
const LEASE_MS: RangeInclusive<Millis> = Millis::new(30)..=Millis::new(60_000);
const RENEW_MS: RangeInclusive<Millis> = Millis::new(1)..=Millis::new(60_000);
const STARTUP_MS: RangeInclusive<Millis> = Millis::new(1)..=Millis::new(60_000);
const BODY_BYTES: RangeInclusive<u32> = 64..=64 << 20;
/// HTTP is not served with a smaller read buffer.
const HEAD_BYTES: RangeInclusive<u32> = 8_192..=1 << 20;
const HEADERS: RangeInclusive<u32> = 1..=1_024;
const BODY_TIMEOUT_MS: RangeInclusive<Millis> = Millis::new(10)..=Millis::new(600_000);
const IDLE_TIMEOUT_MS: RangeInclusive<Millis> = Millis::new(10)..=Millis::new(86_400_000);
const CONNECTIONS: RangeInclusive<u32> = 1..=1_000_000;
const SESSIONS: RangeInclusive<u32> = 1..=100_000;
const BUFFER_MESSAGES: RangeInclusive<u32> = 1..=1_000_000;
/// Number of bodies of the largest size for which the memory must suffice.
const MIN_BODIES: u64 = 4;
const MIN_BUSY_RENEWALS_PER_LEASE: u64 = 3;

impl EntrySettings {
    /// Parses and validates a settings file.
    ///
    /// # Errors
    ///
    /// The text is not JSON or has invalid fields; the error lists all of them.
    pub fn from_json(json: &str) -> Result<Self, SettingsError> {
        read(json, Self::validation_errors)
    }

    /// Validates every value.
    ///
    /// # Errors
    ///
    /// All errors, in the order of the checks.
    pub fn check(&self) -> Result<(), ValidationErrors> {
        ok_unless_errors((), self.validation_errors())
    }

    /// Valid settings with the defaults and all optional fields, for processes on one machine. They
    /// are printed as an example and serve as the template for validation.
    #[must_use]
    pub fn example() -> Self {
        Self {
            entry: common::example_name("entry-1"),
            domain: common::example_name("domain-1"),
            listen_address: common::example_address(8_080),
            session_address: common::example_address(8_081),
            advertised_address: Some(common::example_address(8_081)),
            session_secret: common::EXAMPLE_SECRET.to_owned(),
            store: StoreSettings::new(
                common::example_address(9_000),
                common::example_address(9_001),
            ),
            lease: LeaseSettings::default(),
            limits: EntryLimits::default(),
            log: LogSettings {
                metrics_address: Some(common::example_address(9_464)),
                statsd_address: Some(common::example_address(8_125)),
                ..LogSettings::default()
            },
        }
    }

    fn validation_errors(&self) -> Vec<ValidationError> {
        let mut checker = Checker::default();
        self.check_addresses(&mut checker);
        common::check_secret(&mut checker, &self.session_secret);
        common::check_store(&mut checker, &self.store);
        common::check_log(&mut checker, &self.log);
        check_polls(&mut checker, &self.store);
        check_lease(&mut checker, &self.lease);
        check_limits(&mut checker, &self.limits);
        checker.into_errors()
    }

    fn check_addresses(&self, checker: &mut Checker) {
        let session = FieldPath::new("session_address");
        let advertised = FieldPath::new("advertised_address");
        if common::listen_addresses_conflict(self.listen_address, self.session_address) {
            let other = FieldPath::new("listen_address");
            let path = session.clone();
            checker.add_contradiction(
                path,
                &self.session_address,
                other,
                Constraint::DistinctPorts,
            );
        }
        match self.advertised_address {
            Some(address) => checker.dialable(advertised, address),
            None if self.session_address.ip().is_unspecified() => {
                let constraint = Constraint::RequiresAdvertised;
                checker.add_contradiction(session, &self.session_address, advertised, constraint);
            }
            None => {}
        }
    }
}

impl Template for EntrySettings {
    fn template() -> Self {
        Self::example()
    }
}

/// Refuses times with which a single lost poll makes a change late.
fn check_polls(checker: &mut Checker, store: &StoreSettings) {
    let is_in_range = common::POLL_MS.contains(&store.poll_ms);
    if is_in_range && store.poll_after_loss_ms() > CONFIG_BOUND_MS {
        let path = FieldPath::new("store").field("timeout_ms");
        let other = FieldPath::new("store").field("poll_ms");
        let constraint = Constraint::PollInTime {
            poll_ms: store.poll_ms,
            poll_after_loss_ms: store.poll_after_loss_ms(),
            bound_ms: CONFIG_BOUND_MS,
        };
        checker.add_contradiction(path, &store.timeout_ms, other, constraint);
    }
}

fn check_lease(checker: &mut Checker, lease: &LeaseSettings) {
    let field = |name| FieldPath::new("lease").field(name);
    checker.in_range(field("lease_ms"), lease.lease_ms, &LEASE_MS);
    checker.in_range(field("busy_renew_ms"), lease.busy_renew_ms, &RENEW_MS);
    checker.in_range(field("idle_renew_ms"), lease.idle_renew_ms, &RENEW_MS);
    checker.in_range(field("fresh_ms"), lease.fresh_ms, &RENEW_MS);
    checker.in_range(field("startup_ms"), lease.startup_ms, &STARTUP_MS);
    if lease
        .busy_renew_ms
        .get()
        .saturating_mul(MIN_BUSY_RENEWALS_PER_LEASE)
        > lease.lease_ms.get()
    {
        let path = field("busy_renew_ms");
        let other = field("lease_ms");
        checker.add_contradiction(path, &lease.busy_renew_ms, other, Constraint::AtMostThird);
    }
    checker.at_most(
        (field("fresh_ms"), lease.fresh_ms),
        (field("lease_ms"), lease.lease_ms),
    );
}

fn check_limits(checker: &mut Checker, limits: &EntryLimits) {
    let field = |name| FieldPath::new("limits").field(name);
    checker.in_range(field("memory_mb"), limits.memory_mb, &common::MEMORY_MB);
    checker.in_range(field("max_body_bytes"), limits.max_body_bytes, &BODY_BYTES);
    checker.in_range(field("max_head_bytes"), limits.max_head_bytes, &HEAD_BYTES);
    checker.in_range(field("max_headers"), limits.max_headers, &HEADERS);
    checker.in_range(
        field("body_timeout_ms"),
        limits.body_timeout_ms,
        &BODY_TIMEOUT_MS,
    );
    let (idle, write) = (limits.idle_timeout_ms, limits.write_timeout_ms);
    checker.in_range(field("idle_timeout_ms"), idle, &IDLE_TIMEOUT_MS);
    checker.in_range(field("write_timeout_ms"), write, &IDLE_TIMEOUT_MS);
    checker.in_range(
        field("max_connections"),
        limits.max_connections,
        &CONNECTIONS,
    );
    checker.in_range(field("max_sessions"), limits.max_sessions, &SESSIONS);
    let buffer = limits.session_buffer_messages;
    checker.in_range(field("session_buffer_messages"), buffer, &BUFFER_MESSAGES);
    let message = limits.max_message_bytes;
    checker.in_range(field("max_message_bytes"), message, &common::MESSAGE_BYTES);
    checker.in_range(field("drain_ms"), limits.drain_ms, &common::DRAIN_MS);
    checker.at_most(
        (field("max_body_bytes"), limits.max_body_bytes),
        (field("max_message_bytes"), limits.max_message_bytes),
    );
    let request_bytes = limits.memory_shares().request_bytes;
    let is_in_range = common::MEMORY_MB.contains(&limits.memory_mb);
    if is_in_range && u64::from(limits.max_body_bytes) * MIN_BODIES > request_bytes {
        let constraint = Constraint::BodiesInMemory {
            bodies: MIN_BODIES,
            request_bytes,
        };
        let path = field("max_body_bytes");
        checker.add_contradiction(path, &limits.max_body_bytes, field("memory_mb"), constraint);
    }
    checker.at_most(
        (field("unready_ms"), limits.unready_ms),
        (field("drain_ms"), limits.drain_ms),
    );
}
