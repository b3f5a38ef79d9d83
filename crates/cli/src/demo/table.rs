//! The table of response times.

use super::job::Measured;
use crate::output::Table;

const MILLIS_PER_SECOND: f64 = 1_000.0;

/// Response time of each job against its ideal.
pub fn of_jobs(measured: &[Measured]) -> Table {
    let mut table = Table::of_numbers(&[
        "group",
        "tasks",
        "response ms",
        "ideal ms",
        "response/ideal",
    ]);
    for one in measured {
        let response = one.response.as_secs_f64();
        let ideal = one.ideal().as_secs_f64();
        table.row([
            one.job.group.to_owned(),
            one.job.tasks.to_string(),
            format!("{:.1}", response * MILLIS_PER_SECOND),
            format!("{:.0}", ideal * MILLIS_PER_SECOND),
            format!("{:.2}", response / ideal),
        ]);
    }
    table
}
