//! Plays a case of the review: `case NAME ROOT FOLDER`. The exit code is that of the case's script.

mod evacuate;
mod http;
mod json;
mod memory;
mod pool;
mod proxy;
mod record;
mod store;
mod worker;

use std::path::Path;
use std::process::ExitCode;

use record::Record;

/// Outcome of a case: whether the rule held.
pub type Verdict = Result<bool, String>;

fn main() -> ExitCode {
    let words: Vec<_> = std::env::args().collect();
    let [_, name, root, folder, record] = words.as_slice() else {
        eprintln!("usage: case NAME ROOT FOLDER RECORD");
        return ExitCode::from(2);
    };
    let (root, folder) = (Path::new(root), Path::new(folder));
    let record = Record::create(Path::new(record));
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let verdict = match name.as_str() {
        "memory" => memory::play(root, folder, &record, has_trouble),
        "evacuate" => evacuate::play(root, folder, &record, has_trouble),
        _ => Err(format!("there is no case {name}")),
    };
    match verdict {
        Ok(true) => {
            record.line("the rule held");
            ExitCode::SUCCESS
        }
        Ok(false) => {
            record.line("the rule was broken");
            ExitCode::from(1)
        }
        Err(error) => {
            record.line(&format!("the case couldn't run: {error}"));
            ExitCode::from(2)
        }
    }
}
