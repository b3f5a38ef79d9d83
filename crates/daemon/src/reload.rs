//! Reloading of the settings file.

use std::path::PathBuf;

use dfs_conf::LogLevel;
use dfs_log::ErrorText;
use dfs_log::ProcessEvent;
use snafu::Snafu;

/// Why a changed settings file is rejected.
#[derive(Debug, Snafu)]
#[snafu(display("{message}: the settings read at startup stay in force"))]
struct ReloadError {
    message: String,
}

/// The settings file of this process, with its last content to detect changes.
pub struct SettingsFile {
    path: PathBuf,
    /// Validates a file content and returns its log level, the only setting applied without a
    /// restart.
    validate: fn(&str) -> Result<LogLevel, String>,
    /// Content at the last read; `None` if that read failed.
    last_text: Option<String>,
}

impl SettingsFile {
    /// Reads the file as the baseline: later reloads act only on changes from it.
    pub fn new(path: PathBuf, validate: fn(&str) -> Result<LogLevel, String>) -> Self {
        let text = std::fs::read_to_string(&path).ok();
        Self {
            path,
            validate,
            last_text: text,
        }
    }

    /// Reads the file again; if it changed, validates it, applies its log level and logs the
    /// outcome.
    ///
    /// A failed read is logged only if the previous read succeeded.
    pub fn reload(&mut self) {
        let text = match std::fs::read_to_string(&self.path) {
            Ok(text) => text,
            Err(error) => {
                if self.last_text.take().is_some() {
                    self.reject(&error.to_string());
                }
                return;
            }
        };
        if self.last_text.as_ref() == Some(&text) {
            return;
        }
        match (self.validate)(&text) {
            Ok(level) => {
                dfs_log::set_level(level);
                dfs_log::emit(ProcessEvent::SettingsReloaded { level });
            }
            Err(message) => self.reject(&message),
        }
        self.last_text = Some(text);
    }

    fn reject(&self, message: &str) {
        let message = format!("{}: {message}", self.path.display());
        let error = ErrorText::new(&ReloadError { message });
        dfs_log::emit(ProcessEvent::SettingsRejected { error });
    }
}
