//! Reading the settings file again.

use std::path::PathBuf;

use dfs_conf::LogLevel;
use dfs_log::ErrorText;
use dfs_log::ProcessEvent;
use snafu::Snafu;

/// Why a changed settings file is not used.
#[derive(Debug, Snafu)]
#[snafu(display("{message}: the settings of the start stay in force"))]
struct ReloadError {
    message: String,
}

/// The settings file of this process.
pub struct SettingsFile {
    path: PathBuf,
    /// Checks a text and returns its log level, which is the one setting that changes at once.
    check: fn(&str) -> Result<LogLevel, String>,
    /// The text that was read last; none if it could not be read.
    text: Option<String>,
}

impl SettingsFile {
    /// A file that was just read.
    pub fn new(path: PathBuf, check: fn(&str) -> Result<LogLevel, String>) -> Self {
        let text = std::fs::read_to_string(&path).ok();
        Self { path, check, text }
    }

    /// Reads the file again; a change is checked and said in the log.
    pub fn reload(&mut self) {
        let text = match std::fs::read_to_string(&self.path) {
            Ok(text) => text,
            Err(error) => {
                if self.text.take().is_some() {
                    self.reject(&error.to_string());
                }
                return;
            }
        };
        if self.text.as_ref() == Some(&text) {
            return;
        }
        match (self.check)(&text) {
            Ok(level) => {
                dfs_log::set_level(level);
                dfs_log::emit(ProcessEvent::SettingsReloaded { level });
            }
            Err(message) => self.reject(&message),
        }
        self.text = Some(text);
    }

    fn reject(&self, message: &str) {
        let message = format!("{}: {message}", self.path.display());
        let error = ErrorText::new(&ReloadError { message });
        dfs_log::emit(ProcessEvent::SettingsRejected { error });
    }
}
