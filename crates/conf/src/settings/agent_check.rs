//! Validation of the settings of an agent.

use std::ops::RangeInclusive;

use dfs_ids::Millis;

use super::AgentSettings;
use super::SettingsError;
use super::common;
use super::read::read;
use crate::LogSettings;
use crate::StoreSettings;
use crate::ValidationErrors;
use crate::check::Checker;
use crate::check::indexed;
use crate::fault::Constraint;
use crate::fault::FieldPath;
use crate::fault::ItemKind;
use crate::fault::ValidationError;
use crate::fault::ok_unless_errors;
use crate::form::Template;

const SESSIONS: RangeInclusive<u32> = 1..=1_024;
const CONNECTIONS: RangeInclusive<u32> = 16..=100_000;
const REDIAL_MS: RangeInclusive<Millis> = Millis::new(1)..=Millis::new(60_000);
const CONNECT_TIMEOUT_MS: RangeInclusive<Millis> = Millis::new(1)..=Millis::new(60_000);
const RUN_TIMEOUT_MS: RangeInclusive<Millis> = Millis::new(1)..=Millis::new(86_400_000);
const ANSWER_BYTES: RangeInclusive<u32> = 64..=256 << 20;
const KEEP_RESULTS_MS: RangeInclusive<Millis> = Millis::new(0)..=Millis::new(3_600_000);

impl AgentSettings {
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
            store: Some(StoreSettings::new(
                common::example_address(9_000),
                common::example_address(9_001),
            )),
            log: LogSettings {
                metrics_address: Some(common::example_address(9_464)),
                statsd_address: Some(common::example_address(8_125)),
                ..LogSettings::default()
            },
            ..Self::new(
                common::example_name("agent-1"),
                common::example_name("domain-1"),
                common::example_address(8_090),
                vec![common::example_address(8_081)],
                common::EXAMPLE_SECRET.to_owned(),
            )
        }
    }

    fn validation_errors(&self) -> Vec<ValidationError> {
        let mut checker = Checker::default();
        self.check_entry_addresses(&mut checker);
        common::check_secret(&mut checker, &self.session_secret);
        common::check_log(&mut checker, &self.log);
        self.check_times(&mut checker);
        self.check_sizes(&mut checker);
        checker.into_errors()
    }

    fn check_entry_addresses(&self, checker: &mut Checker) {
        let path = FieldPath::new("entry_addresses");
        let list = &self.entry_addresses;
        let has_no_entry_source = list.is_empty() && self.store.is_none();
        checker.not_empty(path.clone(), has_no_entry_source, ItemKind::EntryAddress);
        if let Some(store) = &self.store {
            common::check_store(checker, store);
        }
        checker.unique_elements(&path, list);
        for (path, address) in indexed(&path, list) {
            checker.dialable(path.clone(), *address);
            if common::listen_addresses_conflict(self.listen_address, *address) {
                let other = FieldPath::new("listen_address");
                checker.add_contradiction(path, address, other, Constraint::DistinctPorts);
            }
        }
    }

    fn check_times(&self, checker: &mut Checker) {
        let field = |name: &str| FieldPath::new(name);
        checker.in_range(field("redial_ms"), self.redial_ms, &REDIAL_MS);
        checker.in_range(field("redial_max_ms"), self.redial_max_ms, &REDIAL_MS);
        let connect = self.target_connect_timeout_ms;
        checker.in_range(
            field("target_connect_timeout_ms"),
            connect,
            &CONNECT_TIMEOUT_MS,
        );
        let run = self.target_run_timeout_ms;
        checker.in_range(field("target_run_timeout_ms"), run, &RUN_TIMEOUT_MS);
        checker.in_range(
            field("keep_results_ms"),
            self.keep_results_ms,
            &KEEP_RESULTS_MS,
        );
        checker.in_range(field("drain_ms"), self.drain_ms, &common::DRAIN_MS);
        checker.at_most(
            (field("redial_ms"), self.redial_ms),
            (field("redial_max_ms"), self.redial_max_ms),
        );
    }

    fn check_sizes(&self, checker: &mut Checker) {
        let limit = |name| FieldPath::new("limits").field(name);
        let limits = &self.limits;
        checker.in_range(limit("memory_mb"), limits.memory_mb, &common::MEMORY_MB);
        checker.in_range(
            limit("max_connections"),
            limits.max_connections,
            &CONNECTIONS,
        );
        let field = |name: &str| FieldPath::new(name);
        checker.in_range(field("max_sessions"), self.max_sessions, &SESSIONS);
        checker.in_range(
            field("max_answer_bytes"),
            self.max_answer_bytes,
            &ANSWER_BYTES,
        );
        let message = self.max_message_bytes;
        checker.in_range(field("max_message_bytes"), message, &common::MESSAGE_BYTES);
        checker.at_most(
            (field("max_answer_bytes"), self.max_answer_bytes),
            (field("max_message_bytes"), self.max_message_bytes),
        );
    }
}

impl Template for AgentSettings {
    fn template() -> Self {
        Self::example()
    }
}
