//! The record of a case: what was sent, answered and run.

use std::fs::File;
use std::io::BufWriter;
use std::io::Write;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<BufWriter<File>>>,
    started: Instant,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        let file = BufWriter::new(File::create(path)?);
        Ok(Self { file: Arc::new(Mutex::new(file)), started: Instant::now() })
    }

    pub fn line(&self, text: &str) {
        let seconds = self.started.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        writeln!(file, "{seconds:9.3} {text}").unwrap();
    }

    pub fn flush(&self) {
        self.file.lock().unwrap().flush().unwrap();
    }
}
