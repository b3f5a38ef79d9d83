//! Faults of settings and of the configuration.

mod path;
mod problem;

use derive_more::Display;
use snafu::Snafu;

pub use path::FieldPath;
pub use problem::Kind;
pub use problem::Problem;
pub use problem::Rule;

/// One fault: where, and what is wrong with which value.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
#[display("{}{problem}", prefix(path))]
pub struct Fault {
    /// Place of the value.
    pub path: FieldPath,
    /// What is wrong with it.
    pub problem: Problem,
}

fn prefix(path: &FieldPath) -> String {
    if path.is_root() {
        String::new()
    } else {
        format!("{path}: ")
    }
}

/// All faults of a document, never none.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("{}", lines(faults)))]
pub struct Faults {
    /// The faults in the order in which they were found.
    pub faults: Vec<Fault>,
}

impl Faults {
    /// The same faults, of a document that is a field of another.
    pub(crate) fn within(self, name: &str) -> impl Iterator<Item = Fault> {
        let outer = FieldPath::new(name);
        self.faults.into_iter().map(move |fault| Fault {
            path: fault.path.inside(&outer),
            problem: fault.problem.inside(&outer),
        })
    }
}

fn lines(faults: &[Fault]) -> String {
    let lines: Vec<String> = faults.iter().map(Fault::to_string).collect();
    lines.join("\n")
}

/// The value if there are no faults.
pub(crate) fn unless_faulty<T>(value: T, faults: Vec<Fault>) -> Result<T, Faults> {
    if faults.is_empty() {
        Ok(value)
    } else {
        Err(Faults { faults })
    }
}
