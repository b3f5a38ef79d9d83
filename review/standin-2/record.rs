//! What was sent, answered and run, with the time of each line.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    started: Instant,
    lines: Arc<Mutex<(File, Vec<(u64, String)>)>>,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).expect("the record can be written");
        Self {
            started: Instant::now(),
            lines: Arc::new(Mutex::new((file, Vec::new()))),
        }
    }

    pub fn now_ms(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_millis()).unwrap()
    }

    /// Adds a line and returns its time.
    pub fn line(&self, text: &str) -> u64 {
        let mut lines = self.lines.lock().unwrap();
        let now_ms = self.now_ms();
        writeln!(lines.0, "{now_ms:>7} ms  {text}").expect("the record can be written");
        lines.1.push((now_ms, text.to_owned()));
        now_ms
    }

    /// All lines so far, with their times.
    pub fn lines(&self) -> Vec<(u64, String)> {
        self.lines.lock().unwrap().1.clone()
    }
}
