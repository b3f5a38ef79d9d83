//! Progress indicator.

use std::io::IsTerminal;
use std::time::Duration;

use indicatif::ProgressBar;
use indicatif::ProgressStyle;

use super::submission::Submission;

const REDRAW_INTERVAL: Duration = Duration::from_millis(100);

/// A spinner on standard error; does nothing if standard error is not a terminal.
#[derive(Debug)]
pub struct Progress(Option<ProgressBar>);

impl Progress {
    /// Shows the spinner with the name of the submission, its number of tasks and the elapsed time.
    #[must_use]
    pub fn start(submission: &Submission) -> Self {
        if !std::io::stderr().is_terminal() {
            return Self(None);
        }
        let bar = ProgressBar::new_spinner();
        if let Ok(style) = ProgressStyle::with_template("{spinner} {msg} {elapsed_precise}") {
            bar.set_style(style);
        }
        bar.set_message(format!(
            "{}: {} tasks, waiting for the answer (Ctrl-C cancels)",
            submission.name, submission.task_count
        ));
        bar.enable_steady_tick(REDRAW_INTERVAL);
        Self(Some(bar))
    }

    /// Removes the spinner from the terminal.
    pub fn finish(self) {
        if let Some(bar) = self.0 {
            bar.finish_and_clear();
        }
    }
}
