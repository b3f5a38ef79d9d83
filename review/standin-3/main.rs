//! Stand-ins of the store, the workers, the network and clients for the cases of `review/`, and the cases themselves.
//!
//! `standin-3 CASE FOLDER` exits with 0 if the rule held, 1 if it was broken, and 2 if the case could not run.

mod caller;
mod cell;
mod http;
mod json;
mod proxy;
mod record;
mod store;
mod worker;

mod contained;
mod crowd;
mod silent;

use std::path::Path;
use std::process::ExitCode;

use record::Record;

/// What a case has found.
pub enum Outcome {
    Held,
    Broken,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = arguments.as_slice() else {
        eprintln!("usage: standin-3 CASE FOLDER");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::create(&Path::new(folder).join("record.txt"));
    let Ok(record) = record else {
        eprintln!("cannot write {folder}/record.txt");
        return ExitCode::from(2);
    };
    let outcome = match case.as_str() {
        "crowd" => crowd::play(&record, has_trouble),
        "contained" => contained::play(&record, has_trouble),
        "silent" => silent::play(&record, has_trouble),
        _ => Err(format!("no case {case}")),
    };
    let (word, code) = match outcome {
        Ok(Outcome::Held) => ("the rule held".to_owned(), 0),
        Ok(Outcome::Broken) => ("the rule is BROKEN".to_owned(), 1),
        Err(message) => (format!("could not run: {message}"), 2),
    };
    record.line(&word);
    record.flush();
    println!("{case}: {word}");
    ExitCode::from(code)
}
